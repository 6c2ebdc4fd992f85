package claims

import (
	"fmt"
	"testing"
	"time"
)

// Guards against keys that are granted again after a restart of all daemons: the next owners of the shard know only what the
// store holds, and their clocks, or that of the owner that sealed the key, may be a minute off.
func TestClaimsOutlastAllDaemons(t *testing.T) {
	for _, off := range []time.Duration{-2 * time.Minute, -time.Minute, 0, time.Minute, 2 * time.Minute} {
		for _, claimed := range []int{1, 9} { // open, and sealed
			p := &platform{segments: map[string]Segment{}}
			now := time.Unix(1_000_000, 0)
			begin := now
			grant := func(o *owner, id string, key Key, want Outcome) {
				t.Helper()
				o.s.Step(now, Claim{Key: key, ClaimID: id})
				var results []Result
				now, results = run(o, p, now, 100*time.Millisecond)
				if len(results) != 1 || results[0].Outcome != want {
					t.Fatalf("clock off by %v, %d claimed: got results %+v, want one with outcome %d", off, claimed, results, want)
				}
			}
			start := func(name string) *owner {
				o := newOwner(name)
				o.s.SetRetention(time.Minute)
				return o
			}
			key := func(i int) Key { return MakeKey("c", "s", fmt.Sprint(i)) }
			o := start("a")
			for i := range claimed {
				grant(o, fmt.Sprint("first", i), key(i), Granted)
			}
			for life, passed := range []time.Duration{0, 20 * time.Second, 55 * time.Second} {
				o = start(fmt.Sprint("next", life))
				now = begin.Add(passed + off)
				grant(o, fmt.Sprint("other", life), MakeKey("c", "s", fmt.Sprint("other", life)), Granted)
				grant(o, fmt.Sprint("again", life), key(0), Duplicate)
			}
		}
	}
}

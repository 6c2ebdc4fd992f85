package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Guards against two holders, and against fences that fall, where all daemons end at once, again and again, and nobody remembers
// what was held: the record is all that is left. The store may come back from a copy meanwhile, and writes of ended daemons may
// be applied late.
func TestLeaseOutlastsAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{store: store{version: storeversion.Version{Generation: 1}}}
		now := time.Unix(1_000_000, 0)
		first := rapid.Bool().Draw(t, "first start")
		var daemons []*daemon
		startAll := func() {
			daemons = nil
			for _, name := range []string{"a", "b", "c"} {
				d := &daemon{m: New(Options{Self: name, Term: term, Margin: term / 4, FirstStart: first})}
				d.m.Step(now, Candidate{Yes: true})
				if first { // all know the generation of a first start, as in TestLeaseOneHolderThroughRestoresAndRestarts
					d.m.Step(now, PeerState{Generation: s.version.Generation})
				}
				daemons = append(daemons, d)
			}
			first = false
		}
		startAll()
		s.copyNow()
		var newest newestHold
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			newest.check(t, now, daemons)
			switch rapid.IntRange(0, 29).Draw(t, "event") {
			case 0:
				s.restore(rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy"))
			case 1:
				s.copyNow()
			case 2:
				s.revision += uint64(rapid.IntRange(1, 3).Draw(t, "others"))
			case 3, 4:
				if len(s.late) > 0 {
					s.applyLate(rapid.IntRange(0, len(s.late)-1).Draw(t, "late"))
				}
			case 5:
				for _, d := range daemons { // writes in flight are applied late, or never
					if d.waiting && d.out.Write != nil {
						s.late = append(s.late, *d.out.Write)
					}
				}
				startAll()
			}
			d := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			stepRestored(t, now, d, s)
			newest.check(t, now, daemons)
		}
	})
}

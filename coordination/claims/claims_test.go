package claims

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// platform is the platform's object store with conditional writes.
type platform struct {
	head     Head
	version  storeversion.Version
	segments map[string]Segment
	writes   int
}

func (p *platform) put(w Write) bool {
	if w.Seal != nil {
		p.segments[w.SealName] = *w.Seal
	}
	if w.ExpectedVersion != p.version {
		return false
	}
	p.writes++
	p.head = w.Head
	p.version.Revision++
	return true
}

func (p *platform) read() ReadDone {
	e := ReadDone{Head: p.head, Version: p.version, Segments: map[string]Segment{}}
	for _, ref := range p.head.Sealed {
		seg, ok := p.segments[ref.Name]
		if !ok {
			return ReadDone{Err: true} // another owner has merged the segment meanwhile
		}
		e.Segments[ref.Name] = seg
	}
	return e
}

type owner struct {
	s       *Shard
	out     Ready
	waiting bool
	late    []Write // unanswered writes that may still be applied
}

func newOwner(name string) *owner {
	return &owner{s: NewShard(Options{Owner: name, Interval: 20 * time.Millisecond, RetryWait: 200 * time.Millisecond, Retention: time.Hour, MaxOpen: 4})}
}

// claimInput is an operation of a claim history: a claim or release of a key.
type claimInput struct {
	key     Key
	claimID string
	release bool
}

// model is one register per key; it holds the claim id.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[Key][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(claimInput).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, in, out := state.(string), input.(claimInput), output.(Outcome)
		switch {
		case in.release && out == Granted:
			return holder == in.claimID, ""
		case in.release && holder == in.claimID:
			return true, "" // no answer: the release may take effect now or later
		case in.release:
			return true, holder
		case out == Granted:
			return holder == "" || holder == in.claimID, in.claimID
		case out == Unavailable && holder == "":
			return true, in.claimID // no answer: the claim may take effect now or later
		case out == Unavailable:
			return true, holder
		default:
			return holder != "" && holder != in.claimID, holder
		}
	},
}

// Checks that a key is granted to only one claim id until that claim is released,
// while several daemons act as owners of the shard at once, writes and their
// responses are lost, and writes are applied late.
func TestClaimsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{segments: map[string]Segment{}}
		owners := []*owner{newOwner("a"), newOwner("b"), newOwner("c")}
		now := time.Unix(1_000_000, 0)
		calls := map[claimInput]int64{}
		var history []porcupine.Operation
		clock := int64(0)
		tick := func() int64 { clock++; return clock }
		var granted []claimInput
		next := 0
		ask := func(o *owner, in claimInput) {
			calls[in] = tick()
			if in.release {
				o.s.Step(now, Release{Key: in.key, ClaimID: in.claimID})
			} else {
				o.s.Step(now, Claim{Key: in.key, ClaimID: in.claimID})
			}
		}
		add := func(in claimInput, out Outcome, end int64) {
			history = append(history, porcupine.Operation{Input: in, Call: calls[in], Output: out, Return: end})
			delete(calls, in)
		}
		collect := func(results []Result) {
			for _, r := range results {
				in := claimInput{r.Key, r.ClaimID, r.Release}
				if r.Outcome == Unavailable {
					continue // the operation stays open: it may take effect at any later time
				}
				add(in, r.Outcome, tick())
				if r.Outcome == Granted && !r.Release {
					granted = append(granted, in)
				}
			}
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			o := owners[rapid.IntRange(0, 2).Draw(t, "owner")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				next++
				ask(o, claimInput{key: MakeKey("c", "s", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))), claimID: fmt.Sprintf("claim%d", next)})
			case 1:
				switch {
				case len(o.late) > 0:
					p.put(o.late[0])
					o.late = o.late[1:]
				case len(granted) > 0:
					in := granted[0]
					granted = granted[1:]
					in.release = true
					ask(o, in)
				}
			default:
				stepOwner(t, now, o, p, collect)
			}
		}
		for in := range calls {
			add(in, Unavailable, math.MaxInt64)
		}
		for _, part := range model.Partition(history) {
			if !porcupine.CheckOperations(model, part) {
				t.Fatalf("the history of one key is not linearizable:\n%s", format(part))
			}
		}
	})
}

func format(history []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range history {
		in := op.Input.(claimInput)
		fmt.Fprintf(&b, "%s release=%v outcome=%d from %d to %d\n", in.claimID, in.release, op.Output, op.Call, op.Return)
	}
	return b.String()
}

func stepOwner(t *rapid.T, now time.Time, o *owner, p *platform, collect func([]Result)) {
	if !o.waiting {
		o.out = o.s.Ready(now)
		for _, ref := range o.out.Expired {
			delete(p.segments, ref.Name)
		}
		collect(o.out.Results)
		o.waiting = o.out.Read || o.out.Write != nil
		return
	}
	o.waiting = false
	if o.out.Read {
		if rapid.IntRange(0, 5).Draw(t, "outage") == 0 {
			o.s.Step(now, ReadDone{Err: true})
			return
		}
		o.s.Step(now, p.read())
		return
	}
	switch rapid.IntRange(0, 5).Draw(t, "write") {
	case 0:
		o.late = append(o.late, *o.out.Write)
		o.s.Step(now, WriteDone{Outcome: protocol.WriteUnknown})
	case 1:
		p.put(*o.out.Write)
		o.s.Step(now, WriteDone{Outcome: protocol.WriteUnknown})
	default:
		if p.put(*o.out.Write) {
			o.s.Step(now, WriteDone{Outcome: protocol.WriteOK, Version: p.version})
		} else {
			o.s.Step(now, WriteDone{Outcome: protocol.WriteConflict})
		}
	}
}

// run drives one owner without faults for the time d.
func run(o *owner, p *platform, now time.Time, d time.Duration) (time.Time, []Result) {
	var results []Result
	for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
		r := o.s.Ready(now)
		results = append(results, r.Results...)
		for _, ref := range r.Expired {
			delete(p.segments, ref.Name)
		}
		if r.Read {
			o.s.Step(now, p.read())
		}
		if r.Write != nil {
			if p.put(*r.Write) {
				o.s.Step(now, WriteDone{Outcome: protocol.WriteOK, Version: p.version})
			} else {
				o.s.Step(now, WriteDone{Outcome: protocol.WriteConflict})
			}
		}
	}
	return now, results
}

// Checks that the writes per second don't grow with the number of claims, and
// that no claim is lost when another owner takes over.
func TestClaimsWritesStayFlat(t *testing.T) {
	const maxWritesASecond = 55 // one append every 20 ms, plus those that seal segments
	for _, rate := range []int{10, 100, 1000} {
		p := &platform{segments: map[string]Segment{}}
		o := newOwner("a")
		o.s.opt.MaxOpen = DefaultMaxOpen
		now := time.Unix(1_000_000, 0)
		granted := 0
		for i := range rate {
			o.s.Step(now, Claim{Key: MakeKey("c", "s", fmt.Sprint(i)), ClaimID: fmt.Sprint(i)})
			var results []Result
			now, results = run(o, p, now, time.Second/time.Duration(rate))
			granted += len(results)
		}
		writes := p.writes
		now, results := run(o, p, now, time.Second)
		if granted += len(results); granted != rate {
			t.Errorf("%d of %d claims granted, want all", granted, rate)
		}
		if refs := len(p.head.Sealed); refs > 2*mergeFanIn || refs != len(p.segments) {
			t.Errorf("%d claims: the head lists %d segments, the platform stores %d", rate, refs, len(p.segments))
		}
		if writes > maxWritesASecond {
			t.Errorf("%d claims per second took %d writes, want at most %d", rate, writes, maxWritesASecond)
		}
		next := newOwner("b")
		for i := range rate {
			next.s.Step(now, Claim{Key: MakeKey("c", "s", fmt.Sprint(i)), ClaimID: "again" + fmt.Sprint(i)})
		}
		_, results = run(next, p, now, time.Second)
		for _, r := range results {
			if r.Outcome != Duplicate {
				t.Fatalf("claim %s after a takeover: got outcome %d, want Duplicate", r.ClaimID, r.Outcome)
			}
		}
		if len(results) != rate {
			t.Errorf("%d of %d claims answered after a takeover, want all", len(results), rate)
		}
	}
}

// Checks that a released key can be claimed again, and that a sealed claim stays
// until its retention ends.
func TestClaimsReleaseAndRetention(t *testing.T) {
	p := &platform{segments: map[string]Segment{}}
	o := newOwner("a")
	now := time.Unix(1_000_000, 0)
	k := MakeKey("c", "s", "k")
	expect := func(want Outcome) {
		t.Helper()
		var results []Result
		now, results = run(o, p, now, 100*time.Millisecond)
		if len(results) != 1 || results[0].Outcome != want {
			t.Fatalf("got results %+v, want one with outcome %d", results, want)
		}
	}
	o.s.Step(now, Claim{Key: k, ClaimID: "1"})
	expect(Granted)
	o.s.Step(now, Claim{Key: k, ClaimID: "2"})
	expect(Duplicate)
	o.s.Step(now, Release{Key: k, ClaimID: "1"})
	expect(Granted)
	o.s.Step(now, Claim{Key: k, ClaimID: "3"})
	expect(Granted)
	for i := range 8 { // enough claims to seal k
		o.s.Step(now, Claim{Key: MakeKey("c", "s", fmt.Sprint("f", i)), ClaimID: fmt.Sprint("f", i)})
		expect(Granted)
	}
	o.s.Step(now, Claim{Key: k, ClaimID: "4"})
	expect(Duplicate)
	// A retention that has become longer, or that is not known yet, holds for what was claimed before.
	for i, retention := range []time.Duration{3 * time.Hour, math.MaxInt64} {
		o.s.SetRetention(retention)
		now = now.Add(time.Hour)
		o.s.Step(now, Claim{Key: MakeKey("c", "s", fmt.Sprint("kept", i)), ClaimID: fmt.Sprint("kept", i)})
		expect(Granted)
		o.s.Step(now, Claim{Key: k, ClaimID: fmt.Sprint("again", i)})
		expect(Duplicate)
	}
	o.s.SetRetention(time.Hour)
	o.s.Step(now, Claim{Key: MakeKey("c", "s", "later"), ClaimID: "5"})
	expect(Granted)
	o.s.Step(now, Claim{Key: k, ClaimID: "6"})
	expect(Granted)
}

package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// restore restores the platform from a copy: writes acknowledged after the copy are lost.
func (p *platform) restore(c platform) {
	generation := p.version.Generation + 1
	p.head, p.segments = c.head, map[string]Segment{}
	for name, seg := range c.segments {
		p.segments[name] = seg
	}
	p.version = storeversion.Version{Generation: generation, Revision: c.version.Revision}
}

func (p *platform) copyNow() platform {
	c := platform{head: p.head, version: p.version, segments: map[string]Segment{}}
	for name, seg := range p.segments {
		c.segments[name] = seg
	}
	return c
}

// carryOut carries out the reads and writes of an owner for two seconds and returns the outcomes of
// its claims. Like the platform's client, it does not send a condition of an older generation.
func carryOut(p *platform, o *owner, now *time.Time) map[string]Outcome {
	outcomes := map[string]Outcome{}
	for range 40 {
		*now = now.Add(50 * time.Millisecond)
		r := o.s.Ready(*now)
		for _, res := range r.Results {
			outcomes[res.ClaimID] = res.Outcome
		}
		switch {
		case r.Read:
			o.s.Step(*now, p.read())
		case r.Write != nil && r.Write.ExpectedVersion.Generation == p.version.Generation && p.put(*r.Write):
			o.s.Step(*now, WriteDone{Outcome: protocol.WriteOK, Version: p.version})
		case r.Write != nil:
			o.s.Step(*now, WriteDone{Outcome: protocol.WriteConflict, Version: p.version.WithRevision(0)})
		}
	}
	return outcomes
}

// Guards against a request that runs a second time because the platform lost its claim in a restore:
// the owner writes the claims that it has granted again, also without a new request.
func TestClaimsOutlastARestore(t *testing.T) {
	for _, n := range []int{1, 3, 40} {
		now := time.Unix(1_000_000, 0)
		p := &platform{segments: map[string]Segment{}, version: storeversion.Version{Generation: 1}}
		o := newOwner("a")
		c := p.copyNow()
		for i := range n {
			o.s.Step(now, Claim{Key: MakeKey("c", "s", fmt.Sprint(i)), ClaimID: fmt.Sprint("first", i)})
			if got := carryOut(p, o, &now); got[fmt.Sprint("first", i)] != Granted {
				t.Fatalf("claim %d of %d: got %v, want Granted", i, n, got)
			}
		}
		p.restore(c)
		o.s.Step(now, GenerationUpdate{Generation: p.version.Generation})
		carryOut(p, o, &now)
		next := newOwner("b")
		for i := range n {
			for _, claimant := range []*owner{o, next} {
				id := fmt.Sprint("again", i, claimant.s.opt.Owner)
				claimant.s.Step(now, Claim{Key: MakeKey("c", "s", fmt.Sprint(i)), ClaimID: id})
				if got := carryOut(p, claimant, &now); got[id] != Duplicate {
					t.Fatalf("claim %d of %d at %s after the restore: got %v, want Duplicate", i, n, claimant.s.opt.Owner, got)
				}
			}
		}
	}
}

// Guards against a former owner that, after a restore, writes a claim again which another owner has
// released.
func TestFormerOwnerRestoresNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := &platform{segments: map[string]Segment{}, version: storeversion.Version{Generation: 1}}
	a, b := newOwner("a"), newOwner("b")
	c := p.copyNow()
	key, other := MakeKey("c", "s", "1"), MakeKey("c", "s", "2")
	a.s.Step(now, Claim{Key: key, ClaimID: "x"})
	carryOut(p, a, &now)
	b.s.Step(now, Release{Key: key, ClaimID: "x"})
	carryOut(p, b, &now)
	a.s.Step(now, Claim{Key: other, ClaimID: "y"}) // meets b's write
	r := a.s.Ready(now.Add(time.Second))
	if r.Write == nil || p.put(*r.Write) {
		t.Fatalf("got %+v, want a write that conflicts with the release by b", r)
	}
	a.s.Step(now, WriteDone{Outcome: protocol.WriteConflict, Version: p.version.WithRevision(0)})
	p.restore(c)
	carryOut(p, a, &now)
	a.s.Step(now, Claim{Key: key, ClaimID: "z"})
	if got := carryOut(p, a, &now); got["z"] != Granted {
		t.Fatalf("got %v, want Granted", got)
	}
}

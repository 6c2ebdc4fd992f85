package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const term = 6 * time.Second

// store is the platform's object with conditional writes.
type store struct {
	rec     Record
	version storeversion.Version
}

func (s *store) put(w Write) bool {
	if w.ExpectedVersion.Revision != s.version.Revision {
		return false
	}
	s.rec = w.Record
	s.version.Revision++
	return true
}

// daemon is a machine with its outstanding action.
type daemon struct {
	m        *Machine
	out      Ready
	waiting  bool
	frozenTo time.Time
}

// holds is the newest hold observed so far, by any daemon.
type newestHold struct {
	fence  uint64
	holder string
}

// check verifies that at most one daemon holds the lease, that fences are neither issued twice nor
// decrease, and that no daemon reports a first hold after a hold of another one.
func (h *newestHold) check(t *rapid.T, now time.Time, daemons []*daemon) {
	holders := 0
	for _, d := range daemons {
		fence, ok := d.m.Holds(now)
		if !ok {
			continue
		}
		holders++
		self := d.m.opt.Self
		if fence < h.fence || fence == h.fence && self != h.holder {
			t.Fatalf("fence %d of %s follows fence %d of %s", fence, self, h.fence, h.holder)
		}
		if fence > h.fence && h.fence > 0 && d.m.FirstHold() {
			t.Fatalf("%s reports a first hold, but another daemon has held the lease", self)
		}
		h.fence, h.holder = fence, self
	}
	if holders > 1 {
		t.Fatalf("%d daemons hold the lease at once", holders)
	}
}

// Checks in random histories that two daemons never hold the lease at once and
// that fences increase, while daemons freeze, release the lease or resign, reads fail,
// and writes or their responses are lost.
func TestLeaseOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		start := time.Unix(1_000_000, 0)
		now := start
		var daemons []*daemon
		for _, name := range []string{"a", "b", "c"} {
			d := &daemon{m: New(Options{Self: name, Term: term, Margin: term / 4})}
			d.m.Step(now, Candidate{Yes: true})
			daemons = append(daemons, d)
		}
		var newest newestHold
		check := func() { newest.check(t, now, daemons) }
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			d := daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			check()
			if now.Before(d.frozenTo) {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				d.frozenTo = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "freeze")) * time.Second)
				continue
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
					d.m.Step(now, Release{})
				}
			case 2:
				if rapid.IntRange(0, 4).Draw(t, "resign") == 0 {
					d.m.Step(now, Resign{})
				}
			}
			step(t, now, d, s)
			check()
		}
	})
}

// step lets the platform answer the outstanding action, or else asks the machine for the next one.
func step(t *rapid.T, now time.Time, d *daemon, s *store) {
	if !d.waiting {
		d.out = d.m.Ready(now)
		d.waiting = d.out.Read || d.out.Write != nil
		return
	}
	d.waiting = false
	if d.out.Read {
		if rapid.IntRange(0, 4).Draw(t, "outage") == 0 {
			d.m.Step(now, ReadDone{Err: true})
			return
		}
		d.m.Step(now, ReadDone{Found: !s.version.Absent(), Record: s.rec, Version: s.version})
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "write") {
	case 0: // lost before it took effect
		d.m.Step(now, WriteDone{Outcome: protocol.WriteUnknown})
	case 1: // response lost after the write took effect
		s.put(*d.out.Write)
		d.m.Step(now, WriteDone{Outcome: protocol.WriteUnknown})
	default:
		if s.put(*d.out.Write) {
			d.m.Step(now, WriteDone{Outcome: protocol.WriteOK, Version: s.version})
		} else {
			d.m.Step(now, WriteDone{Outcome: protocol.WriteConflict})
		}
	}
}

// Checks that a single candidate gets the lease, keeps it while the platform
// answers, and renews it no more often than every third of the term.
func TestLeaseKept(t *testing.T) {
	s := &store{}
	now := time.Unix(1_000_000, 0)
	m := New(Options{Self: "a", Term: term, Margin: term / 4})
	m.Step(now, Candidate{Yes: true})
	writes := 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		r := m.Ready(now)
		if r.Read {
			m.Step(now, ReadDone{Found: !s.version.Absent(), Record: s.rec, Version: s.version})
		}
		if r.Write != nil {
			writes++
			s.put(*r.Write)
			m.Step(now, WriteDone{Outcome: protocol.WriteOK, Version: s.version})
		}
	}
	if fence, ok := m.Holds(now); !ok || fence != 1 {
		t.Fatalf("got fence %d, held %v; want fence 1, held", fence, ok)
	}
	// One minute: a renewal every third of the term.
	if writes > 32 {
		t.Errorf("%d writes per minute, want at most 32", writes)
	}
}

// Guards against a daemon that resigns and keeps the lease, or takes it back though it is no candidate.
func TestResignedLeaseIsFree(t *testing.T) {
	s := &store{}
	now := time.Unix(1_000_000, 0)
	a, b := New(Options{Self: "a", Term: term, Margin: term / 4}), New(Options{Self: "b", Term: term, Margin: term / 4})
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for _, m := range []*Machine{a, b} {
				r := m.Ready(now)
				if r.Read {
					m.Step(now, ReadDone{Found: !s.version.Absent(), Record: s.rec, Version: s.version})
				}
				if r.Write != nil {
					outcome := protocol.WriteConflict
					if s.put(*r.Write) {
						outcome = protocol.WriteOK
					}
					m.Step(now, WriteDone{Outcome: outcome, Version: s.version})
				}
			}
		}
	}
	a.Step(now, Candidate{Yes: true})
	run(time.Second)
	a.Step(now, Candidate{Yes: false})
	a.Step(now, Resign{})
	b.Step(now, Candidate{Yes: true})
	run(term / 2)
	if _, held := a.Holds(now); held {
		t.Error("the daemon that has resigned holds the lease")
	}
	if fence, held := b.Holds(now); !held || fence != 2 {
		t.Errorf("the other daemon holds the lease %v under fence %d before the term is over, want fence 2", held, fence)
	}
}

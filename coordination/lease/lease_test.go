package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const term = 6 * time.Second

// store is the platform's object with conditional updates.
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

// daemon is one machine with what it has asked for.
type daemon struct {
	m        *Machine
	out      Ready
	waiting  bool
	frozenTo time.Time
}

// holds is the newest hold that was seen, by any daemon.
type holds struct {
	fence  uint64
	holder string
}

// check asks that one daemon holds at the most, that no fence is given out twice or falls, and that
// nobody takes itself for the first holder after another.
func (h *holds) check(t *rapid.T, now time.Time, daemons []*daemon) {
	holders := 0
	for _, d := range daemons {
		fence, ok := d.m.Holds(now)
		if !ok {
			continue
		}
		holders++
		self := d.m.opt.Self
		if fence < h.fence || fence == h.fence && self != h.holder {
			t.Fatalf("fence %d of %s after %d of %s", fence, self, h.fence, h.holder)
		}
		if fence > h.fence && h.fence > 0 && d.m.FirstHold() {
			t.Fatalf("%s takes itself for the first holder after another", self)
		}
		h.fence, h.holder = fence, self
	}
	if holders > 1 {
		t.Fatalf("%d holders", holders)
	}
}

// Two daemons never hold the lease at once, and fences rise, whatever is
// delayed, lost, frozen or released.
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
		var seen holds
		check := func() { seen.check(t, now, daemons) }
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
			}
			step(t, now, d, s)
			check()
		}
	})
}

// step lets the platform answer what is out, or asks for more.
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
	case 1: // answer lost after it took effect
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

// A lone candidate gets the lease and keeps it while the platform answers.
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
		t.Fatalf("fence %d, held %v", fence, ok)
	}
	// One minute: a renewal every third of the term.
	if writes > 32 {
		t.Errorf("%d writes a minute, at most 32 allowed", writes)
	}
}

package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// restoredStore is a store that can be restored from older copies of itself: writes acknowledged
// after the copy are lost, and their revisions are assigned again.
type restoredStore struct {
	store
	revision uint64
	copies   []restoredStore
	late     []Write // unanswered writes that may still be applied at any time
}

func (s *restoredStore) put(w Write) bool {
	if !s.store.put(w) {
		return false
	}
	s.revision = max(s.revision+1, s.version.Revision)
	s.version.Revision = s.revision
	return true
}

// copyNow makes a copy that the store can be restored from.
func (s *restoredStore) copyNow() {
	s.copies = append(s.copies, restoredStore{store: s.store, revision: s.revision})
}

// restore restores the store from one of its copies and drops the later copies.
func (s *restoredStore) restore(i int) {
	c, generation := s.copies[i], s.version.Generation+1
	s.store, s.revision, s.copies = c.store, c.revision, s.copies[:i+1]
	s.version.Generation = generation
}

// carryOutLate applies one unanswered write if its condition holds now.
func (s *restoredStore) applyLate(i int) {
	w := s.late[i]
	s.late = append(s.late[:i:i], s.late[i+1:]...)
	s.put(w)
}

// Guards against two holders at once and against fences that are issued twice or decrease, while
// the store is restored from older copies any number of times and applies writes late.
func TestLeaseOneHolderThroughRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{store: store{version: storeversion.Version{Generation: 1}}}
		now := time.Unix(1_000_000, 0)
		var daemons []*daemon
		for _, name := range []string{"a", "b", "c"} {
			d := &daemon{m: New(Options{Self: name, Term: term, Margin: term / 4})}
			d.m.Step(now, Candidate{Yes: true})
			daemons = append(daemons, d)
		}
		s.copyNow()
		var newest newestHold
		check := func() { newest.check(t, now, daemons) }
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			check()
			switch rapid.IntRange(0, 19).Draw(t, "store") {
			case 0:
				s.restore(rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy"))
			case 1, 2:
				s.copyNow()
			case 3, 4:
				s.revision += uint64(rapid.IntRange(1, 3).Draw(t, "others"))
			case 5, 6:
				if len(s.late) > 0 {
					s.applyLate(rapid.IntRange(0, len(s.late)-1).Draw(t, "late"))
				}
			}
			d := daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			if rapid.IntRange(0, 99).Draw(t, "stop") == 0 {
				d.m.Step(now, Release{})
			}
			stepRestored(t, now, d, s)
			check()
		}
	})
}

// stepRestored lets the store answer the outstanding action, or else asks the machine for the next
// one.
func stepRestored(t *rapid.T, now time.Time, d *daemon, s *restoredStore) {
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
	w := *d.out.Write
	switch rapid.IntRange(0, 5).Draw(t, "write") {
	case 0: // applied later, or never
		s.late = append(s.late, w)
		d.m.Step(now, WriteDone{Outcome: protocol.WriteUnknown})
	case 1: // response lost after the write took effect
		s.put(w)
		d.m.Step(now, WriteDone{Outcome: protocol.WriteUnknown})
	default:
		if s.put(w) {
			d.m.Step(now, WriteDone{Outcome: protocol.WriteOK, Version: s.version})
		} else {
			d.m.Step(now, WriteDone{Outcome: protocol.WriteConflict})
		}
	}
}

// Guards against the same faults while daemons also restart, one at a time, and learn of fences and
// generations from the others: the next process of a host counts the record of the process before
// as its own, but not if a restored store has brought that record back.
func TestLeaseOneHolderThroughRestoresAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{store: store{version: storeversion.Version{Generation: 1}}}
		now := time.Unix(1_000_000, 0)
		first := rapid.Bool().Draw(t, "first start")
		begin := func(name string) *daemon {
			d := &daemon{m: New(Options{Self: name, Term: term, Margin: term / 4, FirstStart: first})}
			d.m.Step(now, Candidate{Yes: true})
			return d
		}
		daemons := []*daemon{begin("a"), begin("b"), begin("c")}
		for _, d := range daemons {
			d.m.Step(now, PeerState{Generation: s.version.Generation})
		}
		first = false
		s.copyNow()
		var newest newestHold
		check := func() { newest.check(t, now, daemons) }
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			check()
			switch rapid.IntRange(0, 19).Draw(t, "store") {
			case 0:
				s.restore(rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy"))
			case 1, 2:
				s.copyNow()
			case 3, 4:
				s.revision += uint64(rapid.IntRange(1, 3).Draw(t, "others"))
			case 5, 6:
				if len(s.late) > 0 {
					s.applyLate(rapid.IntRange(0, len(s.late)-1).Draw(t, "late"))
				}
			}
			i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
			if rapid.IntRange(0, 19).Draw(t, "restart") == 0 {
				daemons[i] = begin(daemons[i].m.opt.Self)
			}
			state := PeerState{Fence: newest.fence}
			if rapid.Bool().Draw(t, "generation known") {
				state.Generation = s.version.Generation
			}
			daemons[i].m.Step(now, state)
			stepRestored(t, now, daemons[i], s)
			check()
		}
	})
}

// Guards against a first start that still counts after a restore: the store may have lost the record
// of the lease, also if it reported no generation before.
func TestFirstStartCountsInItsGenerationOnly(t *testing.T) {
	for _, generations := range [][2]uint64{{0, 1}, {1, 2}} {
		now := time.Unix(1_000_000, 0)
		m := New(Options{Self: "a", Term: term, Margin: term / 4, FirstStart: true})
		if r := m.Ready(now); !r.Read {
			t.Fatalf("got %+v before the first read, want a read", r)
		}
		m.Step(now, ReadDone{Version: storeversion.Version{Generation: generations[0]}})
		m.Step(now, PeerState{Generation: generations[1]})
		m.Step(now, Candidate{Yes: true})
		if r := m.Ready(now); !r.Read {
			t.Fatalf("got %+v in a generation that has not been read, want a read", r)
		}
		m.Step(now, ReadDone{Version: storeversion.Version{Generation: generations[1]}})
		for passed := time.Duration(0); passed < term; passed += term / 10 {
			if r := m.Ready(now.Add(passed)); r.Write != nil {
				t.Fatalf("generations %v: lease taken %v after the first read of the later generation, want a whole term", generations, passed)
			} else if r.Read {
				m.Step(now.Add(passed), ReadDone{Version: storeversion.Version{Generation: generations[1]}})
			}
		}
		if r := m.Ready(now.Add(2 * term)); r.Write == nil || m.FirstHold() {
			t.Fatalf("generations %v: got %+v two terms later, first hold %v; want a write and no first hold", generations, r, m.FirstHold())
		}
	}
}

// Guards against a fence that is issued again because a restore lost it and no daemon knows of it.
func TestFencesRiseThroughGenerations(t *testing.T) {
	now, highest := time.Unix(1_000_000, 0), uint64(0)
	for generation := uint64(1); generation < 5; generation++ {
		version := storeversion.Version{Generation: generation, Revision: 3}
		copied := Record{Holder: "x", Fence: 4, Term: term, Generation: 1}
		for range 20 {
			m := New(Options{Self: "a", Term: term, Margin: term / 4})
			m.Step(now, Candidate{Yes: true})
			m.Ready(now)
			m.Step(now, ReadDone{Found: true, Record: copied, Version: version})
			now = now.Add(2 * term)
			r := m.Ready(now)
			if r.Write == nil {
				t.Fatalf("generation %d: got %+v two terms later, want a write", generation, r)
			}
			if fence := r.Write.Record.Fence; fence <= highest {
				t.Fatalf("generation %d: fence %d follows fence %d", generation, fence, highest)
			}
			highest, copied = r.Write.Record.Fence, r.Write.Record
			version.Revision++
		}
	}
}

// Package lease decides when a daemon holds a lease that is kept as one
// object and moved by conditional updates. It is a state machine without
// I/O: feed it events with Step, carry out what Ready returns.
package lease

import (
	"errors"
	"fmt"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Record is the object that the lease is kept in.
//
// It grants the lease only in the generation of the store in which it was written. Read in a later
// one it is of the copy that the store came back from, or of a write that was carried out late on a
// condition that had lost its meaning.
type Record struct {
	Holder     string        `json:"holder"` // empty after a release
	Fence      uint64        `json:"fence"`  // rises with each new holder
	Term       time.Duration `json:"term_ns"`
	Renewals   uint64        `json:"renewals"`
	WriteID    string        `json:"write_id"`             // tells a lost answer's write from others
	Generation uint64        `json:"generation,omitempty"` // of the store, of the version that was replaced
}

// ErrNotFound says that the platform answered and has no such object.
var ErrNotFound = errors.New("no such object")

// Event is an input of the machine.
type Event interface{ leaseEvent() }

// Tick passes time on.
type Tick struct{}

// ReadDone reports a read of the object.
type ReadDone struct {
	Err     bool
	Found   bool
	Record  Record
	Version storeversion.Version // without a revision, where there is no object
}

// WriteDone reports the write that Ready asked for last.
type WriteDone struct {
	Outcome protocol.WriteOutcome
	Version storeversion.Version // after WriteOK
}

// Release gives the lease up, for a planned stop.
type Release struct{}

// Candidate says whether this daemon should try to take the lease.
type Candidate struct{ Yes bool }

// Heard tells what others know: the highest generation of the store, and the highest fence that
// was given out.
type PeerState struct {
	Generation uint64
	Fence      uint64
}

func (Tick) leaseEvent()      {}
func (ReadDone) leaseEvent()  {}
func (WriteDone) leaseEvent() {}
func (Release) leaseEvent()   {}
func (Candidate) leaseEvent() {}
func (PeerState) leaseEvent() {}

// Write is a conditional update of the object.
type Write struct {
	Record          Record
	ExpectedVersion storeversion.Version // absent: the object must not exist
}

// Ready is what the caller has to do now. At most one of the fields is set.
type Ready struct {
	Read  bool
	Write *Write
}

// Options configure a Machine.
type Options struct {
	Self string
	Term time.Duration
	// Margin is the part of the term by which a holder stops early.
	Margin time.Duration
	// FirstStart says that the whole system starts for the first time: where there is no record,
	// nobody has held the lease. Otherwise a restored store may have lost it.
	FirstStart bool
}

// Machine is the lease as one daemon sees it.
type Machine struct {
	opt       Options
	candidate bool
	releasing bool

	seen       Record               // last record read
	found      bool                 // the object exists
	version    storeversion.Version // of seen
	firstSeen  time.Time            // when version was first seen by this daemon
	haveRead   bool
	readFailed bool // the last read had no answer

	generation      uint64 // of the store, the highest heard of
	firstGeneration uint64 // heard of first, 0 where the store named none
	everRead        bool
	highest         uint64 // fence that was given out, as far as is known

	busy    bool      // a read or a write is out
	pending *Record   // write without a known result
	sentAt  time.Time // when pending was sent
	nextAt  time.Time // next read or renewal

	own    Record    // by which the lease is held, or was last
	until  time.Time // held until then by this daemon's own clock
	first  bool      // nobody has held the lease before own
	former bool      // the record says who has
	writes uint64
}

// New returns a machine that holds nothing.
func New(opt Options) *Machine { return &Machine{opt: opt} }

// Holds returns the fencing number while the lease is held at now.
//
// Invariant: until is counted from before the write that took or renewed the
// lease was sent, less the margin; every taker waits a whole term from its own
// first sight of that write. So two daemons whose clocks run at the same rate
// never both hold. Where the store has lost the write, takers wait a whole term
// from their first sight of the generation that has: only who holds by its own
// clock writes the lease again before.
func (m *Machine) Holds(now time.Time) (fence uint64, ok bool) {
	if m.until.IsZero() || !now.Before(m.until) {
		return 0, false
	}
	return m.own.Fence, true
}

// TakeoverAt returns when this daemon expects to hold a lease that it does not
// hold yet, if nothing more is heard of another holder; zero when that is not
// known, as while the platform does not answer.
func (m *Machine) TakeoverAt(now time.Time) time.Time {
	if !m.candidate || m.readFailed {
		return time.Time{}
	}
	soon := now.Add(m.opt.Term / 8) // a read or a write is on its way
	if !m.haveRead || m.pending != nil || m.free() {
		return soon
	}
	if at := m.firstSeen.Add(max(m.seen.Term, m.opt.Term)); at.After(soon) {
		return at
	}
	return soon
}

// FormerUnknown reports whether somebody may have held the lease before the present hold whom no
// record names, since the store came back from a copy.
func (m *Machine) FormerUnknown() bool { return !m.first && !m.former }

// FormerHolder returns who held the lease last, as the record read last says; empty where it has been
// released, or where what was read is of before the store came back from a copy: others may have
// held it since.
func (m *Machine) FormerHolder() string {
	if !m.granted() {
		return ""
	}
	return m.seen.Holder
}

// First reports whether nobody has held the lease before the present hold.
func (m *Machine) FirstHold() bool { return m.first }

// Until returns the end of the current hold; zero when none.
func (m *Machine) HeldUntil() time.Time { return m.until }

// Fence returns that of the present hold, or of the last one; zero before the first.
func (m *Machine) Fence() uint64 { return m.own.Fence }

// Seen returns the last record known.
func (m *Machine) LastRecord() Record { return m.seen }

// Step takes one event at a time that never runs backwards.
func (m *Machine) Step(now time.Time, e Event) {
	switch e := e.(type) {
	case Candidate:
		m.candidate = e.Yes
	case Release:
		m.releasing = true
		m.nextAt = now
	case PeerState:
		m.heard(now, e)
	case ReadDone:
		m.readDone(now, e)
	case WriteDone:
		m.writeDone(now, e)
	}
}

func (m *Machine) heard(now time.Time, e PeerState) {
	m.highest = max(m.highest, e.Fence)
	before := m.generation
	m.hearGeneration(e.Generation)
	if before < m.generation && m.haveRead {
		m.nextAt = now
	}
}

// current reports whether what was read last is of the store's present generation, as far as is
// known. It is no condition for a write otherwise.
func (m *Machine) current() bool { return m.haveRead && m.version.Generation == m.generation }

func (m *Machine) hearGeneration(g uint64) {
	if m.firstGeneration == 0 && !m.everRead {
		m.firstGeneration = g
	}
	m.generation = max(m.generation, g)
}

func (m *Machine) readDone(now time.Time, e ReadDone) {
	m.busy = false
	m.hearGeneration(e.Version.Generation)
	m.readFailed = e.Err || e.Version.Generation < m.generation
	if m.readFailed {
		m.nextAt = now.Add(m.opt.Term / 8)
		return
	}
	if !m.haveRead || e.Version != m.version {
		m.firstSeen = now
	}
	m.haveRead, m.everRead = true, true
	m.found, m.version, m.seen = e.Found, e.Version, e.Record
	m.highest = max(m.highest, e.Record.Fence)
	m.nextAt = now.Add(m.opt.Term / 4)
	p := m.pending
	m.pending = nil
	if p != nil && m.granted() && m.seen.WriteID == p.WriteID {
		// The lost answer's write took effect.
		m.adopt(*p)
		return
	}
	// A pending write that is not the current content can still take effect
	// late. It is conditional, so it then costs the next write a conflict
	// and nothing else.
	if m.lost() {
		m.until = time.Time{}
	}
	if m.mayTake(now) {
		m.nextAt = now
	}
}

// granted reports whether the record read last grants what it says.
func (m *Machine) granted() bool { return m.found && m.seen.Generation == m.version.Generation }

// lost reports whether what was read last says that somebody else may hold the lease. A record that
// grants nothing does not, nor does one that is missing from a later generation of the store.
func (m *Machine) lost() bool {
	if !m.found {
		return m.version.Generation == m.own.Generation
	}
	return m.granted() && m.seen.WriteID != m.own.WriteID && m.seen.Holder != m.opt.Self
}

func (m *Machine) writeDone(now time.Time, e WriteDone) {
	m.busy = false
	m.hearGeneration(e.Version.Generation)
	switch e.Outcome {
	case protocol.WriteOK:
		if e.Version.Generation != m.pending.Generation {
			// The condition was met by another content of the same revision.
			m.pending = nil
			m.readAgain(now)
			return
		}
		m.version, m.found = e.Version, true
		m.firstSeen = now
		m.adopt(*m.pending)
	case protocol.WriteConflict:
		// Whoever has written waits for the end of this hold, if it is not over.
		m.pending = nil
		m.readAgain(now)
	case protocol.WriteUnknown:
		m.readAgain(now)
	}
}

func (m *Machine) readAgain(now time.Time) {
	m.haveRead = false
	m.nextAt = now
}

// adopt makes a write that took effect the current record.
func (m *Machine) adopt(r Record) {
	m.pending = nil
	m.seen, m.own = r, r
	m.highest = max(m.highest, r.Fence)
	if r.Holder != m.opt.Self {
		m.until = time.Time{}
		return
	}
	m.until = m.sentAt.Add(m.opt.Term - m.opt.Margin)
	m.nextAt = m.sentAt.Add(m.opt.Term / 3)
}

// Ready returns the next action, if any.
func (m *Machine) Ready(now time.Time) Ready {
	if m.busy || now.Before(m.nextAt) {
		return Ready{}
	}
	_, held := m.Holds(now)
	if m.releasing && !held {
		return Ready{}
	}
	if !held && !m.candidate && m.haveRead {
		return Ready{}
	}
	if held && m.current() {
		r := m.own
		r.Renewals++
		if m.releasing {
			r.Holder = ""
			m.until = time.Time{}
		}
		return m.write(now, r)
	}
	if m.mayTake(now) {
		m.first, m.former = m.neverHeld(), m.granted()
		return m.write(now, Record{Holder: m.opt.Self, Fence: m.nextFence(), Term: m.opt.Term})
	}
	m.busy = true
	return Ready{Read: true}
}

// mayTake reports whether the lease may be taken: it is free, or what was read is unchanged for a
// whole term since this daemon first saw it.
func (m *Machine) mayTake(now time.Time) bool {
	if !m.current() || !m.candidate || m.releasing || m.pending != nil {
		return false
	}
	return m.free() || !now.Before(m.firstSeen.Add(max(m.seen.Term, m.opt.Term)))
}

// free reports whether nobody can hold the lease.
func (m *Machine) free() bool {
	if !m.found {
		return m.neverHeld()
	}
	// Self names this process alone, so its own record is free to it.
	return m.granted() && (m.seen.Holder == "" || m.seen.Holder == m.opt.Self)
}

// neverHeld reports whether nobody has ever held the lease. A store that has come back from a copy
// may have lost the record.
func (m *Machine) neverHeld() bool {
	if m.found || m.highest > 0 {
		return false
	}
	return m.version.Generation == 0 || m.opt.FirstStart && m.version.Generation == m.firstGeneration
}

const (
	// fenceBits is the part of a fence that counts the holders within a generation of the store.
	fenceBits = 20
	// maxFenceGeneration keeps fences below 2^40, which leaves room for those who number what they
	// do under one. Beyond it, fences rise by what is known of those given out.
	maxFenceGeneration = 1<<20 - 1
)

// nextFence returns a fence above all that were given out. What a restored store has lost of them
// may be known to nobody, so each generation begins above all of the one before.
func (m *Machine) nextFence() uint64 {
	return max(m.highest, min(m.version.Generation, maxFenceGeneration)<<fenceBits) + 1
}

func (m *Machine) write(now time.Time, r Record) Ready {
	m.writes++
	r.Generation = m.version.Generation
	r.WriteID = fmt.Sprintf("%s-%d-%d", m.opt.Self, now.UnixNano(), m.writes)
	m.pending, m.sentAt, m.busy = &r, now, true
	return Ready{Write: &Write{Record: r, ExpectedVersion: m.version}}
}

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
type Record struct {
	Holder   string        `json:"holder"` // empty after a release
	Fence    uint64        `json:"fence"`  // rises with each new holder
	Term     time.Duration `json:"term_ns"`
	Renewals uint64        `json:"renewals"`
	WriteID  string        `json:"write_id"` // tells a lost answer's write from others
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

func (Tick) leaseEvent()      {}
func (ReadDone) leaseEvent()  {}
func (WriteDone) leaseEvent() {}
func (Release) leaseEvent()   {}
func (Candidate) leaseEvent() {}

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

	busy    bool      // a read or a write is out
	pending *Record   // write without a known result
	sentAt  time.Time // when pending was sent
	nextAt  time.Time // next read or renewal

	until  time.Time // held until then by this daemon's own clock
	writes uint64
}

// New returns a machine that holds nothing.
func New(opt Options) *Machine { return &Machine{opt: opt} }

// Holds returns the fencing number while the lease is held at now.
//
// Invariant: until is counted from before the write that took or renewed the
// lease was sent, less the margin; every taker waits a whole term from its own
// first sight of that write. So two daemons whose clocks run at the same rate
// never both hold.
func (m *Machine) Holds(now time.Time) (fence uint64, ok bool) {
	if m.until.IsZero() || !now.Before(m.until) {
		return 0, false
	}
	return m.seen.Fence, true
}

// TakeoverAt returns when this daemon expects to hold a lease that it does not
// hold yet, if nothing more is heard of another holder; zero when that is not
// known, as while the platform does not answer.
func (m *Machine) TakeoverAt(now time.Time) time.Time {
	if !m.candidate || m.readFailed {
		return time.Time{}
	}
	soon := now.Add(m.opt.Term / 8) // a read or a write is on its way
	if !m.haveRead || m.pending != nil || !m.found || m.seen.Holder == "" || m.seen.Holder == m.opt.Self {
		return soon
	}
	if at := m.firstSeen.Add(max(m.seen.Term, m.opt.Term)); at.After(soon) {
		return at
	}
	return soon
}

// Until returns the end of the current hold; zero when none.
func (m *Machine) Until() time.Time { return m.until }

// Seen returns the last record known.
func (m *Machine) Seen() Record { return m.seen }

// Step takes one event at a time that never runs backwards.
func (m *Machine) Step(now time.Time, e Event) {
	switch e := e.(type) {
	case Candidate:
		m.candidate = e.Yes
	case Release:
		m.releasing = true
		m.nextAt = now
	case ReadDone:
		m.readDone(now, e)
	case WriteDone:
		m.writeDone(now, e)
	}
}

func (m *Machine) readDone(now time.Time, e ReadDone) {
	m.busy = false
	m.readFailed = e.Err
	if e.Err {
		m.nextAt = now.Add(m.opt.Term / 8)
		return
	}
	if !m.haveRead || e.Version != m.version {
		m.firstSeen = now
	}
	m.haveRead = true
	m.found, m.version = e.Found, e.Version
	m.nextAt = now.Add(m.opt.Term / 4)
	if p := m.pending; p != nil && e.Found && e.Record.WriteID == p.WriteID {
		// The lost answer's write took effect.
		m.adopt(*p)
		return
	}
	// A pending write that is not the current content can still take effect
	// late. It is conditional, so it then costs the next write a conflict
	// and nothing else.
	if m.seen.WriteID != e.Record.WriteID && e.Record.Holder != m.opt.Self {
		m.until = time.Time{}
	}
	m.seen = e.Record
	m.pending = nil
	if m.mayTake(now) {
		m.nextAt = now
	}
}

func (m *Machine) writeDone(now time.Time, e WriteDone) {
	m.busy = false
	switch e.Outcome {
	case protocol.WriteOK:
		m.version, m.found = e.Version, true
		m.firstSeen = now
		m.adopt(*m.pending)
	case protocol.WriteConflict:
		m.pending = nil
		m.until = time.Time{}
		m.nextAt = now
		m.haveRead = false
	case protocol.WriteUnknown:
		m.nextAt = now
		m.haveRead = false
	}
}

// adopt makes a write that took effect the current record.
func (m *Machine) adopt(r Record) {
	m.pending = nil
	m.seen = r
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
	if held && m.haveRead {
		r := m.seen
		r.Renewals++
		if m.releasing {
			r.Holder = ""
			m.until = time.Time{}
		}
		return m.write(now, r)
	}
	if m.mayTake(now) {
		return m.write(now, Record{Holder: m.opt.Self, Fence: m.seen.Fence + 1, Term: m.opt.Term})
	}
	m.busy = true
	return Ready{Read: true}
}

// mayTake reports whether the lease is free: absent, released, or unchanged
// for a whole term since this daemon first saw it.
func (m *Machine) mayTake(now time.Time) bool {
	if !m.haveRead || !m.candidate || m.releasing || m.pending != nil {
		return false
	}
	if !m.found || m.seen.Holder == "" || m.seen.Holder == m.opt.Self {
		return true // Self names this process alone, so its own record is free to it
	}
	return !now.Before(m.firstSeen.Add(max(m.seen.Term, m.opt.Term)))
}

func (m *Machine) write(now time.Time, r Record) Ready {
	m.writes++
	r.WriteID = fmt.Sprintf("%s-%d-%d", m.opt.Self, now.UnixNano(), m.writes)
	m.pending, m.sentAt, m.busy = &r, now, true
	return Ready{Write: &Write{Record: r, ExpectedVersion: m.version}}
}

// Package lease decides when a daemon holds a lease that is stored as one
// object and changed by conditional writes. Machine is a state machine without
// I/O: callers pass events and the time to Step, and carry out the action that
// Ready returns.
package lease

import (
	"errors"
	"fmt"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Record is the stored object of a lease.
//
// A record grants the lease only in the generation of the store in which it was written. A record
// of an earlier generation comes from the copy that the store was restored from, or from a write
// that was applied late: its expected revision then matched other content of the restored store.
type Record struct {
	Holder     string        `json:"holder"` // empty after a release
	Fence      uint64        `json:"fence"`  // increases with each new holder
	Term       time.Duration `json:"term_ns"`
	Renewals   uint64        `json:"renewals"`
	WriteID    string        `json:"write_id"`             // identifies a write whose response was lost
	Generation uint64        `json:"generation,omitempty"` // of the store, taken from the version that this record replaced
}

// ErrNotFound is returned when the platform answered and has no such object.
var ErrNotFound = errors.New("no such object")

// Event is an input of the machine.
type Event interface{ leaseEvent() }

// Tick only passes the time.
type Tick struct{}

// ReadDone reports a read of the object.
type ReadDone struct {
	Err     bool
	Found   bool
	Record  Record
	Version storeversion.Version // without a revision if there is no object
}

// WriteDone reports the result of the last write that Ready requested.
type WriteDone struct {
	Outcome protocol.WriteOutcome
	Version storeversion.Version // of the written object after WriteOK; otherwise only its generation is used
}

// Release gives up the lease for a planned stop.
type Release struct{}

// Resign gives up the lease that this daemon holds, if it holds one, so that another one can take it at
// once. This daemon takes it again only as a candidate.
type Resign struct{}

// Candidate sets whether this daemon should try to take the lease.
type Candidate struct{ Yes bool }

// PeerState holds the highest generation of the store and the highest issued fence that this daemon
// has learned of, also from other daemons.
type PeerState struct {
	Generation uint64
	Fence      uint64
}

func (Tick) leaseEvent()      {}
func (ReadDone) leaseEvent()  {}
func (WriteDone) leaseEvent() {}
func (Release) leaseEvent()   {}
func (Resign) leaseEvent()    {}
func (Candidate) leaseEvent() {}
func (PeerState) leaseEvent() {}

// Write is a conditional write of the object.
type Write struct {
	Record          Record
	ExpectedVersion storeversion.Version // absent: the object must not exist
}

// Ready is the action that the caller must carry out now. At most one of the fields is set.
type Ready struct {
	Read  bool
	Write *Write
}

// Options configure a Machine.
type Options struct {
	Self string
	Term time.Duration
	// Margin is how long before the end of the term a holder stops to rely on the lease.
	Margin time.Duration
	// FirstStart is set when the whole system starts for the first time: if there is no record,
	// the lease has never been held. Otherwise a restored store may have lost the record.
	FirstStart bool
}

// Machine is one daemon's view of the lease. It is not safe for concurrent use.
type Machine struct {
	opt       Options
	candidate bool
	releasing bool
	resigning bool // the lease is given up with the next write

	record     Record               // last record read or written
	found      bool                 // the object exists
	version    storeversion.Version // of record
	firstSeen  time.Time            // when this daemon first read or wrote version
	haveRead   bool
	readFailed bool // the last read failed, or its answer was of an earlier generation

	generation      uint64 // highest known generation of the store
	firstGeneration uint64 // first known generation, 0 if the store reported none
	everRead        bool
	highestFence    uint64 // highest known fence

	busy    bool      // a read or a write is in flight
	pending *Record   // write without a known result
	sentAt  time.Time // when pending was sent
	nextAt  time.Time // next read or renewal

	own         Record    // record under which this daemon holds the lease, or held it last
	heldUntil   time.Time // end of the hold by this daemon's own clock
	firstHold   bool      // nobody held the lease before own
	formerKnown bool      // the record that own replaced names the former holder
	writes      uint64
}

// New returns a machine that does not hold the lease.
func New(opt Options) *Machine { return &Machine{opt: opt} }

// Holds returns the fence of the lease and whether this daemon holds it at now.
//
// Invariant: the end of a hold is the time at which the write that took or
// renewed the lease was sent, plus the term, less the margin; every other daemon
// waits a whole term after it first reads that write. So two daemons whose clocks
// run at the same rate never hold the lease at the same time. If a restored store
// has lost the write, other daemons wait a whole term after they first read the
// new generation: before that, only a daemon that holds the lease by its own
// clock writes the lease again.
func (m *Machine) Holds(now time.Time) (fence uint64, ok bool) {
	if m.heldUntil.IsZero() || !now.Before(m.heldUntil) {
		return 0, false
	}
	return m.own.Fence, true
}

// TakeoverAt returns when this daemon expects to hold a lease that it does not
// hold yet, provided that no other holder renews it; zero if that is unknown,
// for example while the platform does not answer.
func (m *Machine) TakeoverAt(now time.Time) time.Time {
	if !m.candidate || m.readFailed {
		return time.Time{}
	}
	soon := now.Add(m.opt.Term / 8) // the next read or write is due or in flight
	if !m.haveRead || m.pending != nil || m.free() {
		return soon
	}
	if at := m.firstSeen.Add(max(m.record.Term, m.opt.Term)); at.After(soon) {
		return at
	}
	return soon
}

// FormerUnknown reports whether a daemon that no record names may have held the lease before the
// current hold, because the store was restored from a copy.
func (m *Machine) FormerUnknown() bool { return !m.firstHold && !m.formerKnown }

// FormerHolder returns the holder that the last known record names. It is empty if the lease was
// released, or if the record is older than a restore of the store: other daemons may have held the
// lease since.
func (m *Machine) FormerHolder() string {
	if !m.granted() {
		return ""
	}
	return m.record.Holder
}

// FirstHold reports whether nobody held the lease before the current hold.
func (m *Machine) FirstHold() bool { return m.firstHold }

// HeldUntil returns the end of the current hold, or of the last one if it has run
// out; zero if there was none, or it was released or lost.
func (m *Machine) HeldUntil() time.Time { return m.heldUntil }

// Fence returns the fence of the current hold, or of the last one; zero before the first.
func (m *Machine) Fence() uint64 { return m.own.Fence }

// LastRecord returns the last known record.
func (m *Machine) LastRecord() Record { return m.record }

// Step passes one event to the machine; now must never decrease.
func (m *Machine) Step(now time.Time, e Event) {
	switch e := e.(type) {
	case Candidate:
		m.candidate = e.Yes
	case Release:
		m.releasing = true
		m.nextAt = now
	case Resign:
		if _, held := m.Holds(now); held {
			m.resigning, m.nextAt = true, now
		}
	case PeerState:
		m.observePeers(now, e)
	case ReadDone:
		m.readDone(now, e)
	case WriteDone:
		m.writeDone(now, e)
	}
}

func (m *Machine) observePeers(now time.Time, e PeerState) {
	m.highestFence = max(m.highestFence, e.Fence)
	before := m.generation
	m.observeGeneration(e.Generation)
	if before < m.generation && m.haveRead {
		m.nextAt = now
	}
}

// current reports whether the last read is of the highest known generation of the store. Otherwise
// its version can't be the condition of a write.
func (m *Machine) current() bool { return m.haveRead && m.version.Generation == m.generation }

func (m *Machine) observeGeneration(g uint64) {
	if m.firstGeneration == 0 && !m.everRead {
		m.firstGeneration = g
	}
	m.generation = max(m.generation, g)
}

func (m *Machine) readDone(now time.Time, e ReadDone) {
	m.busy = false
	m.observeGeneration(e.Version.Generation)
	m.readFailed = e.Err || e.Version.Generation < m.generation
	if m.readFailed {
		m.nextAt = now.Add(m.opt.Term / 8)
		return
	}
	if !m.haveRead || e.Version != m.version {
		m.firstSeen = now
	}
	m.haveRead, m.everRead = true, true
	m.found, m.version, m.record = e.Found, e.Version, e.Record
	m.highestFence = max(m.highestFence, e.Record.Fence)
	m.nextAt = now.Add(m.opt.Term / 4)
	p := m.pending
	m.pending = nil
	if p != nil && m.granted() && m.record.WriteID == p.WriteID {
		// The write took effect; only its response was lost.
		m.adopt(*p)
		return
	}
	// A pending write that is not the current content can still be applied
	// late. It is conditional, so all that this can cause is a conflict of
	// the next write.
	if m.lost() {
		m.heldUntil = time.Time{}
	}
	if m.mayTake(now) {
		m.nextAt = now
	}
}

// granted reports whether the last known record grants the lease to the holder that it names: the
// record was written in the generation in which it was read.
func (m *Machine) granted() bool { return m.found && m.record.Generation == m.version.Generation }

// lost reports whether the last read shows that another daemon may hold the lease. A record that
// grants nothing doesn't show this, nor does a record missing from a later generation of the store.
func (m *Machine) lost() bool {
	if !m.found {
		return m.version.Generation == m.own.Generation
	}
	return m.granted() && m.record.WriteID != m.own.WriteID && m.record.Holder != m.opt.Self
}

func (m *Machine) writeDone(now time.Time, e WriteDone) {
	m.busy = false
	m.observeGeneration(e.Version.Generation)
	switch e.Outcome {
	case protocol.WriteOK:
		if e.Version.Generation != m.pending.Generation {
			// Other content of the same revision, in another generation, met the condition.
			m.pending = nil
			m.readAgain(now)
			return
		}
		m.version, m.found = e.Version, true
		m.firstSeen = now
		m.adopt(*m.pending)
	case protocol.WriteConflict:
		// Another daemon takes the lease only after this hold is over, so heldUntil stays as it is.
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

// adopt makes the record of a write that took effect the current one.
func (m *Machine) adopt(r Record) {
	m.pending = nil
	m.record, m.own = r, r
	m.highestFence = max(m.highestFence, r.Fence)
	if r.Holder != m.opt.Self {
		m.heldUntil = time.Time{}
		return
	}
	m.heldUntil = m.sentAt.Add(m.opt.Term - m.opt.Margin)
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
		if m.releasing || m.resigning {
			r.Holder = ""
			m.heldUntil, m.resigning = time.Time{}, false
		}
		return m.write(now, r)
	}
	if m.mayTake(now) {
		m.firstHold, m.formerKnown = m.neverHeld(), m.granted()
		return m.write(now, Record{Holder: m.opt.Self, Fence: m.nextFence(), Term: m.opt.Term})
	}
	m.busy = true
	return Ready{Read: true}
}

// mayTake reports whether this daemon may take the lease: it is free, or the record has not changed
// for a whole term since this daemon first read it.
func (m *Machine) mayTake(now time.Time) bool {
	if !m.current() || !m.candidate || m.releasing || m.pending != nil {
		return false
	}
	return m.free() || !now.Before(m.firstSeen.Add(max(m.record.Term, m.opt.Term)))
}

// free reports whether nobody can hold the lease.
func (m *Machine) free() bool {
	if !m.found {
		return m.neverHeld()
	}
	// Self identifies this process, so nobody else holds the lease under its own record.
	return m.granted() && (m.record.Holder == "" || m.record.Holder == m.opt.Self)
}

// neverHeld reports whether the lease has certainly never been held. A missing record alone doesn't
// show this: a store that was restored from a copy may have lost it.
func (m *Machine) neverHeld() bool {
	if m.found || m.highestFence > 0 {
		return false
	}
	return m.version.Generation == 0 || m.opt.FirstStart && m.version.Generation == m.firstGeneration
}

const (
	// fenceBits is the number of low bits of a fence that count the holders within a generation of
	// the store.
	fenceBits = 20
	// maxFenceGeneration keeps fences below 2^40, which leaves bits for holders that number their
	// actions under a fence. In later generations, a new fence only exceeds the highest known fence.
	maxFenceGeneration = 1<<20 - 1
)

// nextFence returns a fence above all issued fences. A restored store may have lost fences that no
// daemon knows, so the fences of each generation start above all those of the generation before.
func (m *Machine) nextFence() uint64 {
	return max(m.highestFence, min(m.version.Generation, maxFenceGeneration)<<fenceBits) + 1
}

func (m *Machine) write(now time.Time, r Record) Ready {
	m.writes++
	r.Generation = m.version.Generation
	r.WriteID = fmt.Sprintf("%s-%d-%d", m.opt.Self, now.UnixNano(), m.writes)
	m.pending, m.sentAt, m.busy = &r, now, true
	return Ready{Write: &Write{Record: r, ExpectedVersion: m.version}}
}

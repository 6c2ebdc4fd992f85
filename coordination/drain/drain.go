// Package drain decides the steps of a planned stop: a graceful shutdown that
// cuts off no request in progress. It is a state machine without I/O.
package drain

import "time"

// Phase of a daemon's life.
type Phase string

// The phases, in order.
const (
	// Serving takes new requests and is named in address answers.
	Serving Phase = "serving"
	// Lingering is named in no new answer, but still takes requests, since
	// callers hold older answers.
	Lingering Phase = "lingering"
	// Finishing takes no new requests and finishes those in progress.
	Finishing Phase = "finishing"
	// Done has nothing left to do.
	Done Phase = "done"
)

// SpreadTime is how long it may take until all peers know that this daemon
// leaves; until then they may name it in new answers.
const PropagationTime = 2 * time.Second

// Machine is the shutdown of one daemon.
type Machine struct {
	phase Phase
	since time.Time
	ttl   time.Duration
}

// New returns a serving machine.
func New() *Machine { return &Machine{phase: Serving} }

// Phase returns the present phase.
func (m *Machine) Phase() Phase { return m.phase }

// Stop begins the shutdown. ttl is the longest life of an address answer.
func (m *Machine) Stop(now time.Time, ttl time.Duration) {
	if m.phase == Serving {
		m.phase, m.since, m.ttl = Lingering, now, ttl
	}
}

// Step passes time on. inProgress counts requests not yet answered; released
// says that every lease has been given up.
func (m *Machine) Step(now time.Time, inProgress int, released bool) Phase {
	if m.phase == Lingering && !now.Before(m.since.Add(m.ttl+PropagationTime)) {
		m.phase = Finishing
	}
	if m.phase == Finishing && inProgress == 0 && released {
		m.phase = Done
	}
	return m.phase
}

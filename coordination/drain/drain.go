// Package drain decides the steps of a graceful shutdown, which interrupts no
// request in progress. It is a state machine without I/O.
package drain

import "time"

// Phase is the phase of a daemon's shutdown.
type Phase string

// The phases, in order.
const (
	// Serving: the daemon takes new requests and is listed in address answers.
	Serving Phase = "serving"
	// Lingering: the daemon is listed in no new address answer, but still takes
	// requests, since callers hold older answers.
	Lingering Phase = "lingering"
	// Finishing: the daemon takes no new requests and finishes those in progress.
	Finishing Phase = "finishing"
	// Done: the daemon may exit.
	Done Phase = "done"
)

// PropagationTime is how long it may take until all peers have been notified
// that this daemon is leaving. Until then they may list it in new answers.
const PropagationTime = 2 * time.Second

// Machine is the shutdown of one daemon.
type Machine struct {
	phase Phase
	since time.Time
	ttl   time.Duration
}

// New returns a machine in the phase Serving.
func New() *Machine { return &Machine{phase: Serving} }

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Stop begins the shutdown; later calls have no effect. ttl is the longest time
// for which an address answer is valid.
func (m *Machine) Stop(now time.Time, ttl time.Duration) {
	if m.phase == Serving {
		m.phase, m.since, m.ttl = Lingering, now, ttl
	}
}

// Step advances the machine to now and returns its phase. inProgress is the
// number of requests not yet answered; released says that every lease has been
// released.
func (m *Machine) Step(now time.Time, inProgress int, released bool) Phase {
	if m.phase == Lingering && !now.Before(m.since.Add(m.ttl+PropagationTime)) {
		m.phase = Finishing
	}
	if m.phase == Finishing && inProgress == 0 && released {
		m.phase = Done
	}
	return m.phase
}

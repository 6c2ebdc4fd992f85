package balance

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// silence is this daemon's state of an endpoint that may pause: a sound one may be silent for up to 2 s and go on.
type silence struct {
	heardAt time.Time // the last sign of life, or the start of the first running request if that is later
	marks   int       // consecutive times that requests have left it because it was silent
	// markedAt is the last such time. Requests avoid the endpoint until avoidUntil, and while others of this daemon
	// wait there for a sign of life.
	markedAt, avoidUntil time.Time
}

// avoided reports whether requests avoid a silent endpoint now, at which the given number of this daemon's requests run.
func (s *silence) avoided(now time.Time, running int) bool {
	return s.marks > 0 && (now.Before(s.avoidUntil) || running > 0 && now.Before(s.markedAt.Add(maxAvoid)))
}

// Heard records a sign of life of an endpoint, which ends its avoidance for silence.
func (b *Balancer) Heard(now time.Time, id fleet.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).silence = silence{heardAt: now}
}

// QuietFor returns for how long an endpoint has given no sign of life although requests of this daemon run there; zero if
// none run there.
func (b *Balancer) QuietFor(now time.Time, id fleet.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	if l.own.Running == 0 {
		return 0
	}
	return now.Sub(l.silence.heardAt)
}

// MarkSilent keeps requests away from an endpoint that a request has left because of its silence, until it gives a sign of
// life. It returns the least time if no request of this daemon waits there for one. That time doubles with each further
// mark after its end, up to maxAvoid: many requests notice the same silence.
func (b *Balancer) MarkSilent(now time.Time, id fleet.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.load(id).silence
	if !now.Before(s.avoidUntil) {
		s.avoidUntil = now.Add(min(maxAvoid, avoidFirst<<min(s.marks, 8)))
		s.marks++
		s.markedAt = now
	}
	return s.avoidUntil.Sub(now)
}

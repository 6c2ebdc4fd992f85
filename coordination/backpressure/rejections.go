package backpressure

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// rejectionShare is the share of the rejections that an endpoint bears in a second which all
	// daemons together use. Each uses its own part without knowing of the others'.
	rejectionShare = 0.5
	// A daemon that was rejected sends nothing for at least minRejectionPause and at most
	// maxRejectionPause.
	minRejectionPause = 100 * time.Millisecond
	maxRejectionPause = 5 * time.Second
	// rejectionLimitTTL is how long an endpoint's rejection limit counts without a further word of it.
	rejectionLimitTTL = 10 * time.Second
)

// rejectionLimit is how many requests an endpoint can reject in a second for lack of room before it
// crashes.
type rejectionLimit struct {
	perSecond int // zero: none is known
	heardAt   time.Time
	slots     int // requests that the endpoint works on at once, by its declaration
	// running counts the requests of this daemon that were admitted since the limit is known, and
	// unanswered those of them of which it is not known yet whether they are rejected.
	running, unanswered int
}

func (l *rejectionLimit) known(now time.Time) bool {
	return l.perSecond > 0 && now.Sub(l.heardAt) < rejectionLimitTTL
}

// SetRejectionLimit processes the rejection limit that an incarnation reports, to this daemon or to
// another one, or that it reports none any more. slots is the number of requests that the endpoint
// works on at once. It reports whether that is new.
func (t *Tracker) SetRejectionLimit(now, heardAt time.Time, inc fleet.Incarnation, l protocol.RejectionLimit, slots int) bool {
	if !l.Present && t.HasNoReport(inc.ID) {
		return false
	}
	e := t.findOrAdd(now, inc)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	r := &e.rejections
	if heardAt.Before(r.heardAt) {
		return false
	}
	changed := r.known(now) != l.Present || l.Present && r.perSecond != l.PerSecond
	r.perSecond, r.heardAt = l.PerSecond, heardAt
	if slots > 0 {
		r.slots = slots
	}
	return changed
}

// ObserveRejection processes an answer by which an endpoint has rejected a request of this daemon for
// lack of room. If the endpoint reports a rejection limit, a pause begins that is long enough that
// the rejections of all daemons stay below the limit. It reports whether one begins.
func (t *Tracker) ObserveRejection(now time.Time, inc fleet.Incarnation) bool {
	e := t.find(inc)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	if !e.rejections.known(now) {
		return false
	}
	d := min(maxRejectionPause, max(minRejectionPause, time.Duration(float64(time.Second)/t.rejectionRate(e))))
	begins := !now.Before(e.pauseUntil)
	e.pauseUntil = later(e.pauseUntil, now.Add(d))
	e.resuming, e.probedAt = true, time.Time{}
	return begins
}

// rejectionRate returns how many requests a second an endpoint may reject of this daemon.
func (t *Tracker) rejectionRate(e *entry) float64 {
	return rejectionShare * float64(e.rejections.perSecond) / float64(t.daemons.Load())
}

// mostRunning returns how many requests this daemon may have at an endpoint that reports a rejection
// limit: its part of the slots, at least one.
func (t *Tracker) mostRunning(e *entry) int {
	return max(1, e.rejections.slots/int(t.daemons.Load()))
}

// mostUnanswered returns how many requests of this daemon an endpoint may reject at once: its part of
// the limit, at least one.
func (t *Tracker) mostUnanswered(e *entry) int {
	return max(1, int(t.rejectionRate(e)))
}

// full reports whether this daemon has as many requests at an endpoint as it may.
func (t *Tracker) full(now time.Time, e *entry) bool {
	r := &e.rejections
	return r.known(now) && (r.running >= t.mostRunning(e) || r.unanswered >= t.mostUnanswered(e))
}

// Answered records that an endpoint has not rejected a request whose admission was Counted.
func (t *Tracker) Answered(inc fleet.Incarnation) {
	if e := t.find(inc); e != nil {
		e.rejections.unanswered = max(0, e.rejections.unanswered-1)
		e.mu.Unlock()
	}
}

// Ended records the end of a request whose admission was Counted; answered reports whether Answered
// was called for it.
func (t *Tracker) Ended(inc fleet.Incarnation, answered bool) {
	e := t.find(inc)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.rejections.running = max(0, e.rejections.running-1)
	if !answered {
		e.rejections.unanswered = max(0, e.rejections.unanswered-1)
	}
}

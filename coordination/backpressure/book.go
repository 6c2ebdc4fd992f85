// Package backpressure decides whether a request may go to an endpoint now, from the backpressure
// signals in the endpoint's answers: that it leaves, that it wants a pause, or that its rate limit
// is used up. All signals hold for one incarnation of the endpoint. The package does no I/O:
// callers pass signals and the time, and apply the decisions that it returns.
//
// Invariants: an incarnation that has reported leaving is never open again; a pause ends at its
// time and not earlier, whatever other signals arrive.
package backpressure

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Reason says why an endpoint is not open.
type Reason string

// The reasons.
const (
	None    Reason = ""
	Leaving Reason = "endpoint-leaving"
	Paused  Reason = "endpoint-paused"
	Limited Reason = "endpoints-limited"
	Full    Reason = "endpoints-full"
)

// Decision says whether a request may go to an endpoint now.
type Decision struct {
	Open bool
	// LastResort: the endpoint leaves, but may still serve requests that no other endpoint can
	// serve.
	LastResort bool
	Reason     Reason
	// OpensIn is the time until the endpoint is open. It is meaningless if the endpoint is open or
	// leaves.
	OpensIn time.Duration
	// Counted: the caller of Admit must call Ended when the request has ended.
	Counted bool
}

// Closed reports whether the endpoint takes no requests at all now.
func (d Decision) Closed() bool { return !d.Open && !d.LastResort }

// Options configure a Tracker.
type Options struct {
	// LeaveWithin is how long after an endpoint has reported leaving requests may still arrive
	// there.
	LeaveWithin time.Duration
	Seed        uint64 // randomizes when daemons resume after a pause
}

const (
	// lastResortShare is the share of Options.LeaveWithin during which a leaving endpoint serves as
	// a last resort. The rest is for requests in transit.
	lastResortShare = 0.75
	// probeEvery is the time between two requests to an endpoint whose pause is over, until an
	// answer shows that it takes requests again.
	probeEvery = 100 * time.Millisecond
	// retention is how long the state of an endpoint that is not listed is kept: its entry in the
	// list may return.
	retention = 10 * time.Minute
)

// Tracker holds the backpressure signals that one daemon has received. It is safe for concurrent
// use. Decisions on endpoints without signals take no lock.
type Tracker struct {
	opt     Options
	daemons atomic.Int64
	entries atomic.Pointer[map[string]*entry] // by id; the map is replaced when an id is added or removed

	mu sync.Mutex // guards the replacement of entries; locked before the mutex of an entry

	rngMu sync.Mutex
	rng   *rand.Rand
}

// entry is the state of the latest incarnation of an id that has sent a signal.
type entry struct {
	mu          sync.Mutex
	incarnation fleet.Incarnation
	// closesAt is when a leaving endpoint takes no more requests; zero if it does not leave.
	closesAt   time.Time
	pauseUntil time.Time
	spread     time.Duration // included in pauseUntil of the current pause
	// resuming: since the pause began, no answer has shown that the endpoint takes requests again.
	resuming     bool
	probedAt     time.Time
	limitedUntil time.Time // the rate limit is used up until then
	limit        limit.Report
	limitEnded   bool      // a report has ended the limit
	lastSignal   time.Time // time of the latest signal
	rejections   rejectionLimit
	queue        queue
}

// New returns a tracker without signals.
func New(opt Options) *Tracker {
	t := &Tracker{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0))}
	t.entries.Store(&map[string]*entry{})
	t.daemons.Store(1)
	return t
}

// SetDaemons sets how many daemons share the requests.
func (t *Tracker) SetDaemons(daemons int) { t.daemons.Store(int64(max(1, daemons))) }

// HasNoReport reports whether no incarnation of an id has sent a signal. It is cheaper than Peek.
func (t *Tracker) HasNoReport(id string) bool { return (*t.entries.Load())[id] == nil }

// find returns the locked entry of an incarnation, nil if there is none.
func (t *Tracker) find(inc fleet.Incarnation) *entry {
	e := (*t.entries.Load())[inc.ID]
	if e == nil {
		return nil
	}
	e.mu.Lock()
	if !e.incarnation.Matches(inc) {
		e.mu.Unlock()
		return nil
	}
	return e
}

// findOrAdd returns the locked entry of an incarnation, and adds one if needed. It returns nil if a
// later incarnation is known.
func (t *Tracker) findOrAdd(now time.Time, inc fleet.Incarnation) *entry {
	t.mu.Lock()
	e := (*t.entries.Load())[inc.ID]
	if e == nil {
		e = &entry{incarnation: inc}
		next := maps.Clone(*t.entries.Load())
		next[inc.ID] = e
		t.entries.Store(&next)
	}
	t.mu.Unlock()
	e.mu.Lock()
	switch {
	case inc.Before(e.incarnation):
		e.mu.Unlock()
		return nil
	case !e.incarnation.Matches(inc):
		e.reset(inc)
	case e.incarnation.StartUnixMs == 0:
		e.incarnation = inc
	}
	e.lastSignal = now
	return e
}

// reset clears the entry for another incarnation.
func (e *entry) reset(inc fleet.Incarnation) {
	e.incarnation, e.closesAt, e.pauseUntil, e.spread, e.resuming, e.probedAt = inc, time.Time{}, time.Time{}, 0, false, time.Time{}
	e.limitedUntil, e.limit, e.limitEnded, e.rejections, e.queue = time.Time{}, limit.Report{}, false, rejectionLimit{}, queue{}
}

// SetLeaving processes the report that an incarnation leaves, received from itself or from another
// daemon. ready is the latest time at which the platform's list is known to have shown it as not
// leaving, zero if there is none. It reports whether the report is new.
func (t *Tracker) SetLeaving(now time.Time, inc fleet.Incarnation, ready time.Time) bool {
	e := t.findOrAdd(now, inc)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	if !e.closesAt.IsZero() {
		return false
	}
	e.closesAt = now
	if !ready.IsZero() {
		e.closesAt = earlier(now, ready).Add(time.Duration(lastResortShare * float64(t.opt.LeaveWithin)))
	}
	return true
}

// IsLeaving reports whether an incarnation has reported leaving.
func (t *Tracker) IsLeaving(inc fleet.Incarnation) bool {
	e := t.find(inc)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	return !e.closesAt.IsZero()
}

// ObservePause processes an incarnation's request that this daemon send nothing for a while. slots
// is the number of requests that the endpoint works on at once. The latest end of several pauses
// counts. It reports whether a pause begins.
func (t *Tracker) ObservePause(now time.Time, inc fleet.Incarnation, d time.Duration, slots int) bool {
	e := t.findOrAdd(now, inc)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	begins := !now.Before(e.pauseUntil)
	if begins {
		e.spread = t.randomSpread(d, slots)
	}
	e.pauseUntil = later(e.pauseUntil, now.Add(d+e.spread))
	e.resuming, e.probedAt = true, time.Time{}
	return begins
}

// randomSpread returns how much later than the endpoint has asked for this daemon resumes. Each
// daemon sends one request first. The spread is so long that in each second as many daemons resume
// as the endpoint has slots, so that they do not all resume at once.
func (t *Tracker) randomSpread(d time.Duration, slots int) time.Duration {
	all := time.Duration(float64(t.daemons.Load()) / float64(max(1, slots)) * float64(time.Second))
	t.rngMu.Lock()
	defer t.rngMu.Unlock()
	return time.Duration(t.rng.Float64() * float64(min(d, all)))
}

// ObserveAnswer processes an answer without a pause to a request sent at the given time: an
// endpoint that answers a request sent after its pause is open again. It reports whether that is
// new.
func (t *Tracker) ObserveAnswer(now, sent time.Time, inc fleet.Incarnation) bool {
	e := t.find(inc)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	if !e.resuming || now.Before(e.pauseUntil) || sent.Before(e.pauseUntil) {
		return false
	}
	e.resuming = false
	return true
}

// SetLimit sets the rate limit that an incarnation reports, or that it reports none any more.
func (t *Tracker) SetLimit(now time.Time, inc fleet.Incarnation, r limit.Report) {
	e := t.findOrAdd(now, inc)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.limit, e.limitEnded = r, !r.Limited
	if e.limitEnded {
		e.limitedUntil = time.Time{}
	}
}

// CloseFor closes an endpoint whose rate limit is used up for the given time. A limit that has ended
// meanwhile closes nothing.
func (t *Tracker) CloseFor(now time.Time, inc fleet.Incarnation, d time.Duration) {
	e := t.findOrAdd(now, inc)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	if !e.limitEnded {
		e.limitedUntil = now.Add(d)
	}
}

// Peek decides whether a request could go to an endpoint now, without admitting it.
func (t *Tracker) Peek(now time.Time, inc fleet.Incarnation, r Request) Decision {
	e := t.find(inc)
	if e == nil {
		return Decision{Open: true}
	}
	defer e.mu.Unlock()
	return t.decideFor(now, e, r)
}

// Admit decides on a request immediately before it is sent. If the pause of the endpoint has just
// ended, an admitted request closes the endpoint for probeEvery. A decision with LastResort admits
// the request, too.
func (t *Tracker) Admit(now time.Time, inc fleet.Incarnation, r Request) Decision {
	e := t.find(inc)
	if e == nil {
		return Decision{Open: true}
	}
	defer e.mu.Unlock()
	d := t.decideFor(now, e, r)
	if d.Closed() {
		return d
	}
	if e.resuming {
		e.probedAt = now
	}
	if e.rejections.known(now) {
		e.rejections.running++
		e.rejections.unanswered++
		d.Counted = true
	}
	return d
}

// decideFor is decide for one request: the endpoint is not open if other requests wait before this
// one.
func (t *Tracker) decideFor(now time.Time, e *entry, r Request) Decision {
	d := e.decide(now)
	if !d.Closed() && t.full(now, e) {
		return Decision{Reason: Full, OpensIn: probeEvery}
	}
	if d.Closed() || !e.ordered(now) || e.queue.ahead(r) == 0 {
		return d
	}
	reason := Limited
	switch {
	case e.resuming:
		reason = Paused
	case !e.limit.Limited:
		reason = Full
	}
	return Decision{Reason: reason, OpensIn: probeEvery}
}

// decide returns the decision that follows from the signals of an incarnation.
func (e *entry) decide(now time.Time) Decision {
	opens, reason := e.limitedUntil, Limited
	if e.resuming {
		if until := later(e.pauseUntil, e.nextProbe()); until.After(opens) {
			opens, reason = until, Paused
		}
	}
	switch {
	case !e.closesAt.IsZero() && !now.Before(e.closesAt):
		return Decision{Reason: Leaving}
	case now.Before(opens):
		return Decision{Reason: reason, OpensIn: opens.Sub(now)}
	case !e.closesAt.IsZero():
		return Decision{LastResort: true, Reason: Leaving}
	}
	return Decision{Open: true}
}

// nextProbe returns when the next request may go to an endpoint that resumes.
func (e *entry) nextProbe() time.Time {
	if e.probedAt.IsZero() {
		return time.Time{}
	}
	return e.probedAt.Add(probeEvery)
}

// LimitOf returns the rate limit that an incarnation reports.
func (t *Tracker) LimitOf(inc fleet.Incarnation) (limit.Report, bool) {
	e := t.find(inc)
	if e == nil {
		return limit.Report{}, false
	}
	defer e.mu.Unlock()
	return e.limit, e.limit.Limited
}

// Prune removes endpoints that are not listed and have sent no signal for longer than retention.
func (t *Tracker) Prune(now time.Time, listed func(fleet.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.entries.Load())
	maps.DeleteFunc(next, func(_ string, e *entry) bool { return e.prunable(now, listed) })
	if len(next) < len(*t.entries.Load()) {
		t.entries.Store(&next)
	}
}

func (e *entry) prunable(now time.Time, listed func(fleet.Incarnation) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastSignal) > retention && now.After(e.pauseUntil) && !listed(e.incarnation)
}

// Counts returns the number of endpoints that leave and the number that are paused.
func (t *Tracker) Counts(now time.Time) (leaving, paused int) {
	for _, e := range *t.entries.Load() {
		e.mu.Lock()
		if !e.closesAt.IsZero() {
			leaving++
		}
		if now.Before(e.pauseUntil) {
			paused++
		}
		e.mu.Unlock()
	}
	return leaving, paused
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/coordination/stall"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

const (
	// A streaming request that may be repeated is taken from a silent endpoint after the route's
	// MaxWait divided by silenceDivisor, both before the first event and between two events while
	// the pace of the stream is unknown.
	silenceDivisor = 2
	// minSilence is the minimum timeout, so that ordinary pauses don't count as silence.
	minSilence = 250 * time.Millisecond
	// silenceRecheck is the interval of checking whether another endpoint can take a request from
	// a silent endpoint, and whether the endpoint of a silent stream is gone.
	silenceRecheck = 100 * time.Millisecond
	// examineInterval is the time between two checks of the endpoint of a silent stream. It doubles up
	// to maxExamineInterval. examineTimeout bounds a check.
	examineInterval    = 500 * time.Millisecond
	maxExamineInterval = 4 * time.Second
	examineTimeout     = time.Second
)

// silenceBounds returns the bounds of the time for which an endpoint may be silent before another
// one is tried. Pauses up to the route's target for the gap between events are no silence.
func silenceBounds(q *request) stall.Bounds {
	if q.route.Kind != routing.Streaming {
		t := max(q.route.LatencyTarget, minSilence)
		return stall.Bounds{Min: t, Max: t}
	}
	return stall.Bounds{Min: max(minSilence, q.route.GapTarget), Max: max(q.route.MaxWait/silenceDivisor, minSilence)}
}

var (
	errSilent       = errors.New("the endpoint was silent for too long")
	errEndpointGone = errors.New("the endpoint is gone, and its stream is silent")
)

// silenceWatch abandons an attempt when its endpoint is silent for too long and another endpoint can
// take the request. It abandons a silent stream also when a check of its endpoint shows that it has ended
// (coordination/stall): its caller then learns so before its deadline. Parts of the answer that arrive
// after that are dropped.
type silenceWatch struct {
	server   *Server
	request  *request
	endpoint *fleet.Endpoint
	stream   bool // the answer is a stream: watch it between events, too
	bounds   stall.Bounds
	cancel   context.CancelCauseFunc
	timer    *time.Timer // nil if the attempt is never abandoned
	// deciding is held by a check while it decides, so that no other one overlaps it.
	deciding sync.Mutex

	mu      sync.Mutex
	state   int
	stopped bool
	relayed bool // the attempt goes through another daemon
	// movable: another endpoint may take the request.
	movable bool
	writing bool // a write to the caller is in progress: the endpoint is not silent
	pace    stall.Pace
	lastAt  time.Time // when the attempt began, or the time of the last events
	// life is what the last check of the endpoint has shown during the present silence.
	life reach.Life
	// endExamine ends the check in progress; nil if there is none. examineAt is the time of the next one,
	// and examineWait the time between the last two.
	endExamine  context.CancelFunc
	examineAt   time.Time
	examineWait time.Duration
}

// States of the answer in a silenceWatch.
const (
	answerWaiting   = iota
	answerBegun     // parts of it were forwarded
	answerAbandoned // another endpoint takes the request; the retry was taken out of the budget
	answerLost      // the endpoint is gone
)

// watch starts a watch of an attempt at an endpoint; cancel ends the attempt. more reports whether
// another attempt may follow. Without one, or if the request may not be repeated, the watch abandons
// the attempt only if it is a stream whose endpoint is gone.
func (s *Server) watch(q *request, e *fleet.Endpoint, more bool, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{
		server: s, request: q, endpoint: e, stream: q.route.Kind == routing.Streaming, bounds: silenceBounds(q), cancel: cancel,
		movable: more && q.route.Repeatable(), lastAt: time.Now(),
	}
	if w.stream || w.movable {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(w.firstCheck(), w.check)
	}
	return w
}

// firstCheck is the silence after which the attempt is checked for the first time.
func (w *silenceWatch) firstCheck() time.Duration { return min(w.bounds.Min, paths.SuspectAfter) }

// setRelayed records that the attempt goes through another daemon.
func (w *silenceWatch) setRelayed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relayed = true
}

// check runs when the timer fires: it abandons the attempt, or sets the timer for the next check.
func (w *silenceWatch) check() {
	w.deciding.Lock()
	defer w.deciding.Unlock()
	w.mu.Lock()
	silentSince, patience, movable := w.lastAt, w.pace.Patience(w.bounds), w.movable
	silence := time.Since(silentSince)
	ended, relayed, begun := w.stopped || w.state > answerBegun, w.relayed, w.stream && w.state == answerBegun
	w.mu.Unlock()
	if ended {
		return
	}
	pathLost := !relayed && w.server.opt.Paths.SilentlyLost(w.endpoint.Address)
	if pathLost {
		patience = min(w.bounds.Min, paths.SuspectAfter)
	}
	if silence >= paths.SuspectAfter {
		w.server.opt.Paths.Suspect(w.endpoint.Address)
	}
	evidence, lost := w.lost(silentSince, patience, movable, begun)
	switch {
	case lost && w.abandon(answerLost, silence, unpaid):
		w.server.opt.Log.Info(decisions.EventStreamLost, "request", w.request.call.ID, "endpoint", w.endpoint.ID, "silence_ms", silence.Milliseconds(),
			"replaced", evidence.Replaced, "unlisted", evidence.Unlisted, "leaving", evidence.Leaving, "check", evidence.Life.String(), "may_move", movable)
		w.cancel(errEndpointGone)
	case movable && silence >= patience && (pathLost || w.server.takesOver(w.request, w.endpoint, begun, silence)) && w.abandon(answerAbandoned, silence, w.payRetry):
		w.cancel(errSilent)
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer.Reset(untilCheck(silence, patience))
	}
}

// payRetry takes the retry of the watched attempt out of the budget, and reserves another one: if the other endpoint does
// not take the request, it returns to the silent one, which may have gone on.
func (w *silenceWatch) payRetry() bool {
	return w.server.opt.Retries.SpendAndReserve(w.request.service.Name)
}

// unpaid is the payment for ending an attempt that is lost in any case.
func unpaid() bool { return true }

// untilCheck returns the time until the next check: an interval, or less if the patience ends sooner.
func untilCheck(silence, patience time.Duration) time.Duration {
	if left := patience - silence; left > 0 {
		return min(left, silenceRecheck)
	}
	return silenceRecheck
}

// lost reports whether the answer is a stream that counts as lost after its silence since the given time,
// and what this daemon knows about its endpoint.
func (w *silenceWatch) lost(silentSince time.Time, patience time.Duration, movable, begun bool) (stall.Evidence, bool) {
	silence := time.Since(silentSince)
	if !w.stream || silence < w.bounds.Min {
		return stall.Evidence{}, false
	}
	evidence := w.server.evidence(w.endpoint)
	if !evidence.Unlisted && !w.server.opt.Balancer.MarkedUnreachable(clock.Now(), w.endpoint.Incarnation()) {
		return evidence, false
	}
	evidence.Life = w.examine(silentSince)
	after, lost := stall.LostAfter(evidence, stall.Stream{
		Movable: movable && w.server.hasOther(w.request, w.endpoint, begun), Stopping: w.server.opt.Draining(), Patience: patience, Bounds: w.bounds,
	})
	return evidence, lost && silence >= after
}

// examine returns what the last check of the endpoint has shown during the silence since the given time, and
// begins the next one if it is due. It does nothing once that silence has ended.
func (w *silenceWatch) examine(silentSince time.Time) reach.Life {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lastAt.Equal(silentSince) {
		return reach.LifeNotKnown
	}
	if now := time.Now(); !w.stopped && w.endExamine == nil && !now.Before(w.examineAt) {
		w.examineWait = min(max(examineInterval, 2*w.examineWait), maxExamineInterval)
		w.examineAt = now.Add(w.examineWait)
		var ctx context.Context
		ctx, w.endExamine = context.WithTimeout(context.Background(), examineTimeout)
		go w.checkLife(ctx, w.endExamine, silentSince)
	}
	return w.life
}

// checkLife checks whether the endpoint is up, which has been silent since the given time.
func (w *silenceWatch) checkLife(ctx context.Context, end context.CancelFunc, silentSince time.Time) {
	defer end()
	life := w.server.opt.Paths.Life(ctx, w.endpoint.Address, clock.Now().Add(-time.Since(silentSince)))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExamine = nil
	if w.stopped || !w.lastAt.Equal(silentSince) {
		return
	}
	w.life = life
	w.timer.Reset(0)
}

// evidence returns what this daemon knows about an endpoint that may be gone, without a check.
func (s *Server) evidence(e *fleet.Endpoint) stall.Evidence {
	present := s.opt.View().ByID[e.ID]
	same := present != nil && present.Incarnation().Matches(e.Incarnation())
	return stall.Evidence{
		Replaced: present != nil && e.Incarnation().Before(present.Incarnation()),
		Unlisted: !same,
		Leaving:  e.Leaving || same && present.Leaving,
	}
}

// stop ends the watch, so that it does not abandon the attempt any more.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.endExamine != nil {
		w.endExamine()
	}
	if w.timer != nil {
		w.timer.Stop()
	}
}

// beginAnswer marks the answer as begun before parts of it are written to the caller, and reports
// whether they may be: not after the attempt was abandoned.
func (w *silenceWatch) beginAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state > answerBegun {
		return false
	}
	w.state, w.writing = answerBegun, true
	return true
}

// observeEvents restarts the time of silence after events were written to the caller. resumable
// reports whether the stream can continue at another endpoint after them.
func (w *silenceWatch) observeEvents(resumable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.movable = w.movable && resumable
	w.writing = false
	w.lastAt = time.Now()
	w.life, w.examineAt, w.examineWait = reach.LifeNotKnown, time.Time{}, 0
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.firstCheck())
	}
}

// observeArrival adds the arrival of events to the pace of the stream, except that of the first ones.
func (w *silenceWatch) observeArrival() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == answerBegun {
		w.pace.Observe(time.Since(w.lastAt))
	}
}

// abandon abandons the attempt if it is still as silent as the caller of abandon saw it and pay allows
// it, and reports whether it did. An answer that is not a stream is complete when it begins, so it
// is not abandoned after that.
func (w *silenceWatch) abandon(state int, silence time.Duration, pay func() bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.writing || time.Since(w.lastAt) < silence || w.state > answerBegun || w.state == answerBegun && !w.stream || !pay() {
		return false
	}
	w.state = state
	return true
}

// result completes the failure of the watched attempt; nil for none. An abandoned attempt has its
// retry taken out of the budget, and another one reserved.
func (w *silenceWatch) result(f *failure) *failure {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case f == nil:
	case w.state == answerAbandoned:
		f.retryPaid, f.silent = true, true
	case w.state == answerLost && f.verdict != protocol.NotRun:
		f.reason, f.err = reasonEndpointGone, errEndpointGone
	}
	return f
}

// reasonEndpointGone is the reason of a failed attempt whose silent stream was ended because its
// endpoint is gone.
const reasonEndpointGone = "endpoint-gone"

// abandoned reports whether the attempt was abandoned.
func (w *silenceWatch) abandoned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state > answerBegun
}

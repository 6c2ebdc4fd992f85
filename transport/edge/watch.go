package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

const (
	// A streaming request that may be repeated is taken from a silent endpoint after the route's
	// MaxWait divided by silenceDivisor, both before the first event and between two events.
	silenceDivisor = 2
	// minSilence is the minimum timeout, so that ordinary pauses don't count as silence.
	minSilence = 250 * time.Millisecond
	// silenceRecheck is the interval of checking whether another endpoint can take a request from
	// a silent endpoint.
	silenceRecheck = 100 * time.Millisecond
)

// silenceTimeout returns how long an endpoint may be silent before another one is tried.
func silenceTimeout(q *request) time.Duration {
	t := q.route.MaxWait / silenceDivisor
	if q.route.Kind != routing.Streaming {
		t = q.route.LatencyTarget
	}
	return max(t, minSilence)
}

var errSilent = errors.New("the endpoint was silent for too long")

// silenceWatch abandons an attempt when its endpoint is silent for too long and another endpoint can
// take the request. Parts of the answer that arrive after that are dropped.
type silenceWatch struct {
	state         atomic.Int32
	betweenEvents bool          // the answer is a stream: watch it between events, too
	after         time.Duration // the time of silence after which the attempt is abandoned
	timer         *time.Timer   // nil if the attempt is never abandoned
	stopped       atomic.Bool   // the watch was stopped
}

// States of the answer in a silenceWatch.
const (
	answerWaiting = iota
	answerBegun
	answerAbandoned
)

// watch starts a watch of an attempt at an endpoint; cancel ends the attempt. more reports whether
// another attempt may follow; without one, or if the request may not be repeated, the watch never
// abandons the attempt.
func (s *Server) watch(q *request, e *fleet.Endpoint, more bool, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{after: silenceTimeout(q), betweenEvents: q.route.Kind == routing.Streaming}
	if !more || !q.route.Repeatable() {
		return w
	}
	w.timer = time.AfterFunc(time.Hour, func() {
		switch {
		case w.stopped.Load():
		case s.hasOther(q, e.ID) && w.abandon(s.opt.Budget.Spend):
			cancel(errSilent)
		default:
			w.timer.Reset(silenceRecheck)
		}
	})
	w.timer.Reset(w.after)
	return w
}

// stop ends the watch, so that it does not abandon the attempt any more.
func (w *silenceWatch) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// beginAnswer marks the answer as begun, and reports whether its parts may be forwarded: not after
// the attempt was abandoned.
func (w *silenceWatch) beginAnswer() bool {
	return w.state.CompareAndSwap(answerWaiting, answerBegun) || w.state.Load() == answerBegun
}

// observeEvents restarts the time of silence after events were forwarded. resumable reports whether
// the stream can continue at another endpoint after them; if not, the watch ends.
func (w *silenceWatch) observeEvents(resumable bool) {
	if w.timer == nil {
		return
	}
	if !w.betweenEvents || !resumable {
		w.stop()
		return
	}
	w.timer.Reset(w.after)
}

// abandon abandons the attempt if spend allows the retry, and reports whether it did. An answer that
// is not a stream is complete when it begins, so it is not abandoned after that.
func (w *silenceWatch) abandon(spend func() bool) bool {
	state := w.state.Load()
	if state == answerAbandoned || state == answerBegun && !w.betweenEvents || !spend() {
		return false
	}
	return w.state.CompareAndSwap(state, answerAbandoned)
}

// abandoned reports whether the attempt was abandoned. Its retry was then taken out of the budget.
func (w *silenceWatch) abandoned() bool { return w.state.Load() == answerAbandoned }

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
	// silencePart is the part of a caller's patience after which a request that
	// may be repeated is taken from an endpoint that is silent: before the
	// first event of a stream, or between two.
	silencePart = 2
	// minSilence keeps ordinary pauses from looking like silence.
	minSilence = 250 * time.Millisecond
	// silenceRecheck is the pause before it is looked again whether another
	// endpoint can take a request from one that is silent.
	silenceRecheck = 100 * time.Millisecond
)

// silenceTime is how long an endpoint may be silent before another is tried.
func silenceTime(q *request) time.Duration {
	t := q.route.MaxWait / silencePart
	if q.route.Kind != routing.Streaming {
		t = q.route.LatencyTarget
	}
	return max(t, minSilence)
}

var errSilent = errors.New("the endpoint was silent for too long")

// silenceWatch gives an attempt up when its endpoint is silent for too long and
// another one can take the request. A part of the answer that comes just after
// goes to nobody.
type silenceWatch struct {
	state  atomic.Int32
	within bool          // also between two events of a stream
	after  time.Duration // of silence
	timer  *time.Timer   // nil where nothing is given up on
	ended  atomic.Bool   // there is nothing to give up any more
}

const (
	answerWaiting = iota
	answerBegun
	answerGivenUp
)

// watch begins to watch an attempt, if another one may follow.
func (s *Server) watch(q *request, e *fleet.Endpoint, more bool, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{after: silenceTime(q), within: q.route.Kind == routing.Streaming}
	if !more || !q.route.Repeatable() {
		return w
	}
	w.timer = time.AfterFunc(time.Hour, func() {
		switch {
		case w.ended.Load():
		case s.hasOther(q, e.ID) && w.giveUp(s.opt.Budget.Spend):
			cancel(errSilent)
		default:
			w.timer.Reset(silenceRecheck)
		}
	})
	w.timer.Reset(w.after)
	return w
}

// stop ends the watch: nothing is given up any more.
func (w *silenceWatch) stop() {
	w.ended.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// begin reports whether a part of the answer may go to the caller.
func (w *silenceWatch) begin() bool {
	return w.state.CompareAndSwap(answerWaiting, answerBegun) || w.state.Load() == answerBegun
}

// heard notes that events have been handed on. resumable says that the stream
// can go on elsewhere after them.
func (w *silenceWatch) heard(resumable bool) {
	if w.timer == nil {
		return
	}
	if !w.within || !resumable {
		w.stop()
		return
	}
	w.timer.Reset(w.after)
}

// giveUp gives the answer up, if spend allows the retry. One that is not a
// stream is whole when it begins.
func (w *silenceWatch) giveUp(spend func() bool) bool {
	state := w.state.Load()
	if state == answerGivenUp || state == answerBegun && !w.within || !spend() {
		return false
	}
	return w.state.CompareAndSwap(state, answerGivenUp)
}

// gaveUp reports whether the answer was given up on, so that its retry is paid
// for.
func (w *silenceWatch) gaveUp() bool { return w.state.Load() == answerGivenUp }

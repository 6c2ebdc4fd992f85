package inbound

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/hangup"
)

// Causes of the end of a request's context.
var (
	// ErrCallerGone: the caller's connection is broken.
	ErrCallerGone = errors.New("the caller has closed the connection")
	// ErrSendingClosed: the caller has closed its sending side, and the work was given up. It may read on.
	ErrSendingClosed = errors.New("the caller has closed its sending side, and its answer has not begun in time")
)

// Work is the work on a request. It is safe for concurrent use.
type Work struct {
	cancel   context.CancelCauseFunc
	unfollow func() bool // ends the wait for the end of the caller's bytes
	conn     *Conn

	mu        sync.Mutex
	work      hangup.Work
	probe     func() error // nil: the answer cannot be probed
	probing   bool
	grace     *time.Timer // runs once the caller has closed its sending side; nil before
	graceOver bool
	givenUp   bool
	stopped   bool
}

// Follow returns a context for the work on a request. It ends with ErrCallerGone when the caller's connection breaks, and
// with ErrSendingClosed when the work is given up because the caller has closed its sending side; net/http's own context
// does not tell the two apart. Stop must be called when the request has ended.
func Follow(r *http.Request) (context.Context, *Work) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	w := &Work{cancel: cancel, conn: Of(r)}
	w.unfollow = context.AfterFunc(r.Context(), w.callerEnded)
	return ctx, w
}

// Stop ends the context of the work.
func (w *Work) Stop() {
	w.unfollow()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.grace != nil {
		w.grace.Stop()
	}
	w.cancel(nil)
}

// callerEnded is called when the caller's bytes have ended.
func (w *Work) callerEnded() {
	if w.conn == nil || w.conn.End() != SendingClosed {
		w.cancel(ErrCallerGone)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.grace = time.AfterFunc(hangup.Grace, w.endGrace)
		w.startProbes()
	}
}

// SetProbe sets what writes a byte that belongs to no event of the answer, and fails if the caller is gone. It is called from another
// goroutine once the caller has closed its sending side.
func (w *Work) SetProbe(probe func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probe = probe
	w.startProbes()
}

// startProbes begins to probe the caller if it has closed its sending side. The caller holds w.mu.
func (w *Work) startProbes() {
	if w.probe != nil && w.grace != nil && !w.probing && !w.stopped {
		w.probing = true
		time.AfterFunc(0, w.tryProbe)
	}
}

func (w *Work) tryProbe() {
	w.mu.Lock()
	probe, stopped := w.probe, w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if probe() != nil {
		w.cancel(ErrCallerGone)
		return
	}
	time.AfterFunc(hangup.ProbeEvery, w.tryProbe)
}

func (w *Work) endGrace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.graceOver = true
	w.decide()
}

// decide gives the work up if hangup decides so. The caller holds w.mu.
func (w *Work) decide() {
	if w.graceOver && !w.stopped && !w.givenUp && w.work.GivenUp() {
		w.givenUp = true
		w.cancel(ErrSendingClosed)
	}
}

// SetUnsafe records whether an endpoint that runs the request may change something.
func (w *Work) SetUnsafe(unsafe bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work.Unsafe = unsafe
}

// SetSent records whether an endpoint may have the request.
func (w *Work) SetSent(sent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work.Sent = sent
	w.decide()
}

// Begin records that the answer begins, before its first bytes are written. It returns false if the work was given up.
func (w *Work) Begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work.Begun = w.work.Begun || !w.givenUp
	return w.work.Begun
}

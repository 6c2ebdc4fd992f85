package paths

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// SuspectAfter is the silence after which the path of an attempt is checked.
	SuspectAfter = 400 * time.Millisecond
	// silentRecheck is the interval of looking whether the path of an attempt is known to be silent.
	silentRecheck = 100 * time.Millisecond
)

// ErrSilentPath is the cause of the end of an attempt whose path has become silent.
var ErrSilentPath = errors.New("the path to the endpoint is silent")

// attemptWatch ends an attempt whose path has become silent.
type attemptWatch struct {
	paths   *Controller
	address string
	end     context.CancelCauseFunc

	mu        sync.Mutex
	timer     *time.Timer
	suspected bool
	stopped   bool // the attempt has ended, or goes through another daemon
}

// ReleaseSilent returns a context for an attempt that may be repeated. It ends with ErrSilentPath when
// the own path, over which the attempt was sent, is silent although another daemon reaches the
// endpoint. The caller must call stop.
func (c *Controller) ReleaseSilent(ctx context.Context, address string) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &attemptWatch{paths: c, address: address, end: cancel}
	w.mu.Lock()
	w.timer = time.AfterFunc(SuspectAfter, w.look)
	w.mu.Unlock()
	return WithObserver(ctx, func(Hop) { w.stop() }), func() {
		w.stop()
		cancel(nil)
	}
}

func (w *attemptWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *attemptWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return
	case w.paths.SilentlyLost(w.address):
		w.end(ErrSilentPath)
		return
	case !w.suspected || w.paths.unconfirmed(w.address):
		w.suspected = true
		w.paths.Suspect(w.address)
	}
	w.timer.Reset(silentRecheck)
}

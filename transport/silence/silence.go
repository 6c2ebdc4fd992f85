// Package silence handles connections that have stopped working without an error: they stay open,
// but requests on them are never answered. Only a timeout detects such a connection, and other
// connections of the same age have often failed with it.
package silence

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Transport closes its idle connections when a request times out, so that the next request does not
// wait on another silent connection.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil && errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return resp, err
}

// TransferTimeout bounds the transfer of an answer of the platform's store after the answer has
// begun. One megabyte, the largest object, takes 0.84 s over an otherwise unused link of 10 Mbit/s;
// this timeout is met with a quarter of that link. A shorter one would cut off answers on a loaded
// link, and the repeated requests would load it further.
const TransferTimeout = 3500 * time.Millisecond

// Limits bounds a request in two steps: the time until its answer begins, and the time for the
// transfer. A silent connection exceeds the first limit; the time for the transfer depends on the
// size of the answer and on the link.
type Limits struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Limit returns a context that is cancelled if the answer has not begun within the time begin. The
// caller must call Extend when the answer has begun, and End when the request has ended.
func Limit(ctx context.Context, begin time.Duration) (context.Context, *Limits) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &Limits{ctx: ctx, cancel: cancel}
	l.timer = time.AfterFunc(begin, func() { cancel(context.DeadlineExceeded) })
	return ctx, l
}

// Extend replaces the time limit by that for the transfer of an answer that has begun.
func (l *Limits) Extend(transfer time.Duration) { l.timer.Reset(transfer) }

// End releases the timer and the context.
func (l *Limits) End() {
	l.timer.Stop()
	l.cancel(nil)
}

// Explain returns the error of a request. If a limit has ended the request, the result also wraps
// context.DeadlineExceeded.
func (l *Limits) Explain(err error) error {
	if errors.Is(err, context.Canceled) && errors.Is(context.Cause(l.ctx), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}

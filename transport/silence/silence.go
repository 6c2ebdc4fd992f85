// Package silence deals with connections that have died without a sign: they
// stay open, and nothing that is sent on them is answered. Only a timeout shows
// one, and others of the same age have often died with it.
package silence

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Transport closes its idle connections when a request has had no answer in
// time, so that the next one does not wait on another dead connection.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil && errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return resp, err
}

// TransferTimeout bounds the transfer of an answer of the platform's store that has
// begun. A megabyte, the largest object, takes 0.84 s over a link of 10 Mbit/s that
// nothing else uses; here a quarter of the link is enough. An answer that is cut off
// is asked for again, and fills the link once more.
const TransferTimeout = 3500 * time.Millisecond

// Limits bounds a request in two steps: a time in which its answer must begin, and
// another for the transfer. A connection that has died shows in the first; what the
// second takes hangs on the size of the answer and on the link.
type Limits struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Limit returns a context that ends when the answer has not begun within a time. End
// must be called.
func Limit(ctx context.Context, begin time.Duration) (context.Context, *Limits) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &Limits{ctx: ctx, cancel: cancel}
	l.timer = time.AfterFunc(begin, func() { cancel(context.DeadlineExceeded) })
	return ctx, l
}

// Extend gives an answer that has begun a time for its transfer.
func (l *Limits) Extend(transfer time.Duration) { l.timer.Reset(transfer) }

// End releases what the limits hold.
func (l *Limits) End() {
	l.timer.Stop()
	l.cancel(nil)
}

// Explain returns the error of a request, with the reason why its context ended.
func (l *Limits) Explain(err error) error {
	if errors.Is(err, context.Canceled) && errors.Is(context.Cause(l.ctx), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}

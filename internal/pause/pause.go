// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It does not wait for a time that is over: with
// the race detector, Go 1.26.8 can crash in a test's virtual time where a select meets
// a timer that has already expired.
func For(ctx context.Context, d time.Duration) {
	Until(ctx, time.Now().Add(d), nil)
}

// Until waits until a time, until early is closed, or until ctx ends.
func Until(ctx context.Context, end time.Time, early <-chan struct{}) {
	d := time.Until(end)
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-t.C:
	}
}

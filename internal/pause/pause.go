// Package pause waits for a time or an earlier event.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. If d is not positive it returns at once, without a
// timer: with the race detector and a test's virtual time, Go 1.26.8 can crash in a
// select on a timer that has already expired.
func For(ctx context.Context, d time.Duration) {
	Until(ctx, time.Now().Add(d), nil)
}

// Until waits until end, until early is closed or receives a value, or until ctx ends. A nil
// early never ends the wait.
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

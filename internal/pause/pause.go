// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Until waits until a time, until early is closed, or until ctx ends.
func Until(ctx context.Context, end time.Time, early <-chan struct{}) {
	t := time.NewTimer(max(0, time.Until(end)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-t.C:
	}
}

package waiting

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

func TestJoin(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		starts, past  time.Duration
		join          bool
		maxRetryAfter time.Duration
	}{
		{"a slot is free", 0, 0, true, 0},
		{"a slot is free, request already late", 0, time.Second, true, 0},
		{"short queue, request in time", 150 * ms, 0, true, 0},
		{"longer queue, request late", 151 * ms, 0, false, 151 * ms},
		{"short queue, but time already spent", 100 * ms, 60 * ms, false, 100 * ms},
		{"queue of a minute, retry delay limited by the time left", time.Minute, 0, false, 4 * time.Second},
	} {
		d := Join(QueueInput{StartsIn: c.starts, Elapsed: c.past, TimeLeft: 12 * time.Second, Target: 400 * ms})
		if d.Wait != c.join {
			t.Errorf("%s: Wait = %v", c.name, d.Wait)
		}
		if !d.Wait && (d.RetryAfter < protocol.MinRetryAfter || d.RetryAfter > c.maxRetryAfter) {
			t.Errorf("%s: RetryAfter = %v, want at most %v", c.name, d.RetryAfter, c.maxRetryAfter)
		}
	}
}

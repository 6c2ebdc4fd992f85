package waiting

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

func TestJoin(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		what           string
		starts, past   time.Duration
		join           bool
		comeBackWithin time.Duration
	}{
		{"a slot is free", 0, 0, true, 0},
		{"a slot is free, late already", 0, time.Second, true, 0},
		{"a queue in which it is in time", 150 * ms, 0, true, 0},
		{"a queue in which it is late", 151 * ms, 0, false, 151 * ms},
		{"its time was spent before", 100 * ms, 60 * ms, false, 100 * ms},
		{"a queue of minutes", time.Minute, 0, false, 4 * time.Second},
	} {
		d := Join(QueueInput{StartsIn: c.starts, Elapsed: c.past, TimeLeft: 12 * time.Second, Target: 400 * ms})
		if d.Wait != c.join {
			t.Errorf("%s: joins %v", c.what, d.Wait)
		}
		if !d.Wait && (d.RetryAfter < protocol.MinRetryAfter || d.RetryAfter > c.comeBackWithin) {
			t.Errorf("%s: come back in %v, want at most %v", c.what, d.RetryAfter, c.comeBackWithin)
		}
	}
}

package clock

import (
	"testing"
	"time"
)

// A machine that is not suspended has both clocks alike, however busy it is.
func TestNoSuspensionIsReported(t *testing.T) {
	for range 1000 {
		if s := Suspended(); s != 0 {
			t.Fatalf("suspended for %v", s)
		}
	}
	if d := time.Until(Now()); d > time.Second || d < -time.Second {
		t.Fatalf("differs by %v", d)
	}
}

func BenchmarkNow(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Now()
	}
}

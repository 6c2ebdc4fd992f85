package clock

import (
	"testing"
	"time"
)

// On a host that is not suspended the two clocks do not diverge, even under load.
func TestNoSuspensionIsReported(t *testing.T) {
	for range 1000 {
		if s := Suspended(); s != 0 {
			t.Fatalf("Suspended() = %v on a host that is not suspended", s)
		}
	}
	if d := time.Until(Now()); d > time.Second || d < -time.Second {
		t.Fatalf("Now differs from time.Now by %v", d)
	}
}

func BenchmarkNow(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Now()
	}
}

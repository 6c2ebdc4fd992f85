package clock

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns a time as time.Now would return it at the same moment if the time of day had been set d later: the
// seconds are above the 30 bits of the nanoseconds in the first word, and the monotonic reading is in the second.
func stepped(at time.Time, d time.Duration) time.Time {
	*(*uint64)(unsafe.Pointer(&at)) += uint64(int64(d/time.Second)) << 30 // #nosec G103 -- no function of time does this
	return at
}

// Guards against steps of the time of day in what is counted by Unix times, such as the windows of quotas and the versions of
// limits.
func TestStepOfTheTimeOfDayIsNoTime(t *testing.T) {
	start := time.Now()
	for _, d := range []time.Duration{-time.Hour, -time.Minute, time.Minute, time.Hour} {
		now := start.Add(3 * time.Second)
		set := stepped(now, d)
		if got := set.UnixNano() - now.UnixNano(); got != int64(d) || set.Sub(start) != 3*time.Second {
			t.Fatalf("the test's clock was set by %v, want %v", time.Duration(got), d)
		}
		if got := steady(start, set); got.UnixNano() != now.UnixNano() || got.Sub(start) != 3*time.Second {
			t.Errorf("a step of %v makes the time %v, want %v", d, got, now)
		}
	}
}

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

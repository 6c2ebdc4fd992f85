package residency

import (
	"fmt"
	"testing"
	"time"
)

// worstWindow returns the largest number of times, in order, that lie within a window.
func worstWindow(times []time.Time, window time.Duration) int {
	first, worst := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against more loads from the store in a window than it takes where many models are wanted at once: orders that are not
// answered yet count, too.
func TestBurstKeepsTheRateOfTheStore(t *testing.T) {
	const window, factor = 5 * time.Second, 1.1
	w := newSimCluster(160, 40)
	w.p = New(Options{Holder: "h", InitialStoreConcurrency: 100, RateWindow: window, RateFactor: factor})
	w.p.Configure(Config{Service: "s", Engine: w.conf})
	w.p.SetLease(w.now, Lease{Held: true, Fence: w.fence, First: true, OrdersFrom: w.now})
	w.entries()
	var starts []time.Time
	w.accepted = func(o Order) {
		if !o.Unload && o.Level == Store {
			starts = append(starts, w.now)
		}
	}
	for range 20 {
		for i := 120; i < 160; i++ {
			w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i)})
		}
		w.run(100 * time.Millisecond)
	}
	allowed := int(w.conf.LoadsPerSecond*window.Seconds()*factor + 3)
	if worst := worstWindow(starts, window); worst > allowed {
		t.Errorf("%d loads from the store began within %v, %d are allowed", worst, window, allowed)
	}
}

package residency

import (
	"fmt"
	"testing"
	"time"
)

// shareStore slows down loads from the store when more than the given number are in
// progress, as the platform's store does.
func (w *simCluster) shareStore(concurrency int) {
	w.beforeStep = func(step time.Duration) {
		n := 0
		for _, e := range w.engines {
			if e.fromStore {
				n++
			}
		}
		for _, e := range w.engines {
			if e.fromStore && n > concurrency {
				e.doneAt = e.doneAt.Add(time.Duration(float64(step) * (1 - float64(concurrency)/float64(n))))
			}
		}
	}
}

// The planner learns how many loads the weight store serves at once from their duration,
// starting from the same estimate.
func TestPlacesOfTheStoreAreLearned(t *testing.T) {
	for _, concurrency := range []int{1, 2, 4, 9} {
		w := newSimCluster(0, 24)
		w.conf.Models, w.conf.LoadsPerSecond = testEngine(400).Models, 100
		w.p = New(Options{Holder: "h", InitialStoreConcurrency: 2, RateWindow: 5 * time.Second, RateFactor: 1.1})
		w.p.Configure(Config{Service: "s", Engine: w.conf})
		w.p.SetLease(w.now, Lease{Held: true, Fence: 1, First: true, OrdersFrom: w.now})
		w.entries()
		w.shareStore(concurrency)
		next := 0
		for range 70 {
			for range 4 {
				w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", next%400)})
				next++
			}
			w.run(time.Second)
		}
		if got := w.p.StoreConcurrency().Estimate; got < concurrency || got > concurrency+1 {
			t.Errorf("store concurrency %d: learned %d", concurrency, got)
		}
	}
}

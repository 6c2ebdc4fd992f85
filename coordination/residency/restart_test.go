package residency

import (
	"fmt"
	"testing"
	"time"
)

// Guards against more loads from the store in a window than it takes, where the coordinator's daemon ends with all others and
// comes back at once: the next planner does not know what its former life began in the window.
func TestLoadsFromTheStoreOutlastAllDaemons(t *testing.T) {
	const window, factor = 5 * time.Second, 1.1
	w := newSimCluster(160, 40)
	restart := func() {
		w.takeOver()
		w.p = New(Options{Holder: "h", InitialStoreConcurrency: 100, RateWindow: window, RateFactor: factor})
		w.p.Configure(Config{Service: "s", Engine: w.conf})
		w.p.SetLease(w.now, Lease{Held: true, Fence: w.fence, First: w.fence == 2, OrdersFrom: w.now})
		w.entries()
	}
	restart()
	var starts []time.Time
	w.accepted = func(o Order) {
		if !o.Unload && o.Level == Store {
			starts = append(starts, w.now)
		}
	}
	allowed := int(w.conf.LoadsPerSecond*window.Seconds()*factor + 3)
	for life := range 4 {
		for range 10 + 5*life {
			for i := 120; i < 160; i++ {
				w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i)})
			}
			w.run(100 * time.Millisecond)
		}
		restart()
	}
	if worst := worstWindow(starts, window); worst > allowed {
		t.Errorf("%d loads from the store began within %v, %d are allowed", worst, window, allowed)
	}
}

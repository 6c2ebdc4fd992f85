package e2e_test

import (
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/standin/engine"
)

// The holder of the placement lease is killed during a load. The next holder must
// adopt the load, and no engine may get a second replica.
func TestReplicasHolderKilledMidLoad(t *testing.T) {
	o := defaults()
	o.loadTime = 3 * time.Second
	w := newTestbed(t, o)
	holder := w.holder()
	check := w.watchReplicas("m0", 1)
	var other *proc
	for _, p := range w.daemons {
		if p != holder {
			other = p
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		text, r := other.complete("m0", "x", 4)
		if r.ok() && text != engine.Answer("x", 4) {
			t.Errorf("wrong answer %q", text)
		}
	})
	w.eventually("a load is running", func() bool { return w.replicas("m0") == 1 })
	holder.kill()
	wg.Wait()
	w.holder()
	w.eventually("served after the takeover", func() bool {
		text, r := other.complete("m0", "y", 4)
		return r.ok() && text == engine.Answer("y", 4)
	})
	check()
	w.checkMemory()
}

// The holder of the placement lease is frozen, with orders about to be sent, until
// another daemon has taken over, and then resumes. Its outdated orders must not
// cause a second replica, even if engines ignore fencing numbers.
func TestReplicasHolderFrozenPastLease(t *testing.T) {
	for name, fencing := range map[string]bool{"checking": true, "ignoring": false} {
		t.Run(name, func(t *testing.T) {
			o := defaults()
			o.fencing = fencing
			o.loadTime = 200 * time.Millisecond
			w := newTestbed(t, o)
			holder := w.holder()
			checks := []func(){w.watchReplicas("m0", 1), w.watchReplicas("m1", 1), w.watchReplicas("m2", 1)}
			var other *proc
			for _, p := range w.daemons {
				if p != holder {
					other = p
				}
			}
			var wg sync.WaitGroup
			for _, m := range []string{"m0", "m1", "m2"} {
				wg.Go(func() { other.complete(m, "x", 4) })
			}
			time.Sleep(3 * time.Millisecond) // between the report of demand, the recorded decision and the order
			holder.freeze()
			w.eventually("served after the takeover", func() bool {
				text, r := other.complete("m0", "y", 4)
				return r.ok() && text == engine.Answer("y", 4)
			})
			holder.unfreeze()
			wg.Wait()
			w.eventually("served by the resumed daemon", func() bool {
				text, r := holder.complete("m1", "z", 4)
				return r.ok() && text == engine.Answer("z", 4)
			})
			for _, check := range checks {
				check()
			}
			w.checkMemory()
		})
	}
}

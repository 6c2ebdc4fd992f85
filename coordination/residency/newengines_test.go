package residency

import (
	"fmt"
	"testing"
	"time"
)

// Load: engines are added during a burst of rare requests. They have no copies, so they are
// never the soonest for a model that has a copy elsewhere, and stayed empty.
func TestNewEnginesGetModels(t *testing.T) {
	l := newContendedLoad(52, 0.6, 1)
	l.simulate(10 * time.Second)
	l.rareRate *= 2.4
	l.simulate(5 * time.Second)
	for i := range 12 {
		l.addEngine(fmt.Sprintf("new%02d", i)).publish()
	}
	l.entries()
	loading := 0
	for range 50 {
		l.simulate(20 * time.Millisecond)
		loading = 0
		for _, e := range l.engines[52:] {
			if e.busy {
				loading++
			}
		}
	}
	l.simulate(24 * time.Second)
	held := 0
	for _, e := range l.engines[52:] {
		held += len(e.models)
	}
	t.Logf("12 new engines, formerly: 0 are loading after 1 s, 6 models are loaded after 25 s")
	t.Logf("12 new engines, now: %d are loading after 1 s, %d models are loaded after 25 s", loading, held)
	// The weight store serves four loads at full speed as far as the planner knows at first,
	// one of which is left for requests.
	if loading < 3 || held < 8 {
		t.Errorf("%d of 12 new engines are loading after 1 s, %d models are loaded after 25 s, want 3 and 8", loading, held)
	}
	l.check(t)
}

// Guards against models that are unloaded because another engine says nothing for a second: their room
// was taken for copies of models that nobody requests, and that the silent engine has room for, or has
// a copy of.
func TestSilentEngineTakesNoRoomElsewhere(t *testing.T) {
	for _, missing := range []int{0, 1} {
		t.Run(fmt.Sprint(missing, " models without a copy"), func(t *testing.T) {
			w := newSimCluster(5, 2)
			for i := range missing {
				m := w.conf.Models["m00"]
				w.conf.Models[fmt.Sprintf("m%02d", 5+i)] = m
			}
			unloads := 0
			w.accepted = func(o Order) {
				if o.Unload {
					unloads++
				}
			}
			w.run(settleTime - 100*time.Millisecond)
			w.silent = "e1"
			w.beforeStep = func(time.Duration) { w.p.observeUnreachable(w.now, incarnation("e1")) }
			w.run(1200 * time.Millisecond)
			w.silent, w.beforeStep = "", nil
			w.run(10 * time.Second)
			if unloads > 0 {
				t.Errorf("%d models were unloaded", unloads)
			}
			if missing > 0 && w.holders("m05") != 1 {
				t.Error("the model without a copy was not loaded afterwards")
			}
		})
	}
}

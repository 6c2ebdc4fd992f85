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

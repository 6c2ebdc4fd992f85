// Package generations keeps the highest generation of the platform's store that this daemon has
// heard of, from the store itself or from other daemons.
package generations

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Tracker is safe for concurrent use. A nil Tracker has heard of none.
type Tracker struct {
	log     *decisions.Log
	highest atomic.Uint64
	gauge   tally.Gauge

	mu     sync.Mutex
	onRise []func(generation uint64)
}

// New returns a tracker that has heard of none.
func New(log *decisions.Log, metrics tally.Scope) *Tracker {
	return &Tracker{log: log, gauge: metrics.SubScope("store").Gauge("generation")}
}

// Heard takes a generation that an answer names; 0 where it names none. from says who answered
// what, for the log.
func (t *Tracker) Heard(generation uint64, from string) {
	if t == nil {
		return
	}
	for before := t.highest.Load(); before < generation; before = t.highest.Load() {
		if t.highest.CompareAndSwap(before, generation) {
			t.gauge.Update(float64(generation))
			t.log.Info(decisions.EventGeneration, "generation", generation, "before", before, "from", from)
			t.tell(generation)
			return
		}
	}
}

// OnRise adds a function that is called with each higher generation, in a goroutine of its own.
func (t *Tracker) OnRise(f func(generation uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRise = append(t.onRise, f)
}

func (t *Tracker) tell(generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.onRise {
		go f(generation)
	}
}

// Outdated reports whether a version is of an older generation than the store's: it is no condition
// for a write, as its revision may by now be that of another content.
func (t *Tracker) Outdated(v storeversion.Version) bool { return v.Generation < t.Highest() }

// Highest returns the highest generation heard of; 0 if the store has named none.
func (t *Tracker) Highest() uint64 {
	if t == nil {
		return 0
	}
	return t.highest.Load()
}

// Package generations keeps the highest generation of the platform's store that this daemon has
// heard of, from the store itself or from other daemons.
package generations

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Tracker is safe for concurrent use. A nil Tracker has heard of none.
type Tracker struct {
	log     *decisions.Log
	highest atomic.Uint64
	unnamed atomic.Bool // the last answer named none, and one before did
	gauge   tally.Gauge

	mu     sync.Mutex
	onRise []func(generation uint64)
}

// New returns a tracker that has heard of none.
func New(log *decisions.Log, metrics tally.Scope) *Tracker {
	return &Tracker{log: log, gauge: metrics.SubScope("store").Gauge("generation")}
}

// Error is the class of every error that this package creates.
var Error = errs.Class("generation")

// Read returns the generation that the header of an answer names, and hears of it. One that names none
// counts as of the highest one heard of: a store that never names one has a single generation. One that
// cannot be read is an error, as the answer may be anybody's. from says who answered what.
func (t *Tracker) ObserveHeader(header, from string) (uint64, error) {
	if t == nil {
		return 0, nil
	}
	if header == "" {
		highest := t.Highest()
		if unnamed := highest > 0; unnamed && !t.unnamed.Swap(true) {
			t.log.Error(decisions.EventGenerationUnreadable, "value", "", "from", from, "taken_for", highest)
		}
		return highest, nil
	}
	named, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		value := strconv.Quote(header[:min(len(header), shownBytes)])
		t.log.Error(decisions.EventGenerationUnreadable, "value", value, "from", from)
		return 0, Error.New("want a whole number, found %s", value)
	}
	t.unnamed.Store(false)
	t.Observe(named, from)
	return named, nil
}

// shownBytes bounds what is shown of a header that cannot be read.
const shownBytes = 80

// Heard takes a generation that an answer names; 0 where it names none. from says who answered
// what, for the log.
func (t *Tracker) Observe(generation uint64, from string) {
	if t == nil {
		return
	}
	for before := t.highest.Load(); before < generation; before = t.highest.Load() {
		if t.highest.CompareAndSwap(before, generation) {
			t.gauge.Update(float64(generation))
			t.log.Info(decisions.EventGenerationChanged, "generation", generation, "before", before, "from", from)
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

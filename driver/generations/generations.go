// Package generations tracks the highest known generation of the platform's store, which this
// daemon learns from the store itself or from other daemons.
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

// Tracker holds the highest known generation. It is safe for concurrent use. A nil Tracker knows no
// generation and ignores those that it is passed.
type Tracker struct {
	log           *decisions.Log
	highest       atomic.Uint64
	headerMissing atomic.Bool // the last answer had no generation, though an earlier one had
	gauge         tally.Gauge

	mu     sync.Mutex
	onRise []func(generation uint64)
}

// New returns a tracker that knows no generation.
func New(log *decisions.Log, metrics tally.Scope) *Tracker {
	return &Tracker{log: log, gauge: metrics.SubScope("store").Gauge("generation")}
}

// Error is the class of all errors that this package creates.
var Error = errs.Class("generation")

// ObserveHeader returns the generation in the header of an answer and records it. An answer with an
// empty header counts as of the highest known generation: a store that never reports one has a single
// generation. A header that is not a number is an error, as the answer may not be the store's. from
// names the call or the source of the answer, for the log.
func (t *Tracker) ObserveHeader(header, from string) (uint64, error) {
	if t == nil {
		return 0, nil
	}
	if header == "" {
		highest := t.Highest()
		if missing := highest > 0; missing && !t.headerMissing.Swap(true) {
			t.log.Error(decisions.EventGenerationUnreadable, "value", "", "from", from, "taken_for", highest)
		}
		return highest, nil
	}
	generation, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		value := strconv.Quote(header[:min(len(header), maxShownBytes)])
		t.log.Error(decisions.EventGenerationUnreadable, "value", value, "from", from)
		return 0, Error.New("want a whole number, found %s", value)
	}
	t.headerMissing.Store(false)
	t.Observe(generation, from)
	return generation, nil
}

// maxShownBytes bounds the bytes of an invalid header in logs and errors.
const maxShownBytes = 80

// Observe records the generation of an answer; 0 if the answer has none. from names the call or the
// source of the answer, for the log.
func (t *Tracker) Observe(generation uint64, from string) {
	if t == nil {
		return
	}
	for before := t.highest.Load(); before < generation; before = t.highest.Load() {
		if t.highest.CompareAndSwap(before, generation) {
			t.gauge.Update(float64(generation))
			t.log.Info(decisions.EventGenerationChanged, "generation", generation, "before", before, "from", from)
			t.notify(generation)
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

func (t *Tracker) notify(generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.onRise {
		go f(generation)
	}
}

// Outdated reports whether a version is of an older generation than the store's. It must then not be
// the condition of a write, as its revision may by now be that of other content.
func (t *Tracker) Outdated(v storeversion.Version) bool { return v.Generation < t.Highest() }

// Highest returns the highest known generation; 0 if none is known.
func (t *Tracker) Highest() uint64 {
	if t == nil {
		return 0
	}
	return t.highest.Load()
}

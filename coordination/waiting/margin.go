package waiting

import (
	"sync"
	"time"
)

// Source says what an estimate of the time to a model rests on.
type Source int

// The sources of estimates.
const (
	Loaded      Source = iota // the model is loaded, or its load is in progress
	Nearby                    // a copy in an engine's host memory or on its disk
	WeightStore               // the weight store
	Unscheduled               // nobody coordinates, or no engine has room
	sources
)

const (
	// served is the share of requests that are to have their model within the
	// estimate and its margin.
	served = 0.9
	// marginStep is how far one observation moves a margin: some tens bring it
	// from where it starts to what a day shows.
	marginStep = 200 * time.Millisecond
	// marginMost bounds a margin: beyond it, hardly any caller would wait.
	marginMost = 10 * time.Second
)

// startMargins are the margins before anything was observed.
var startMargins = [sources]time.Duration{Loaded: 500 * time.Millisecond, Nearby: 1500 * time.Millisecond, WeightStore: 1200 * time.Millisecond, Unscheduled: 2 * time.Second}

// Margins learn by how much the estimates of the time to a model err. They are
// safe for concurrent use.
type Margins struct {
	mu sync.Mutex
	of [sources]time.Duration
}

// NewMargins returns margins that have observed nothing.
func NewMargins() *Margins { return &Margins{of: startMargins} }

// Of returns what is to be added to an estimate so that 9 in 10 requests have
// their model by then.
func (m *Margins) Of(s Source) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.of[s]
}

// Observe takes how much later than estimated a model was there: negative when
// it was earlier. The margin steps up after an estimate that it did not cover
// and down after the others, so that it settles where 1 in 10 is not covered.
func (m *Margins) Observe(s Source, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	step := -time.Duration(float64(marginStep) * (1 - served))
	if late > m.of[s] {
		step = time.Duration(float64(marginStep) * served)
	}
	m.of[s] = min(marginMost, max(0, m.of[s]+step))
}

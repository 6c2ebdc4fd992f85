package waiting

import (
	"sync"
	"time"
)

// Source is what an estimate of the time until a model is ready is based on.
type Source int

// Sources of estimates.
const (
	Loaded      Source = iota // the model is loaded or being loaded
	Nearby                    // a copy in an engine's host memory or on its disk
	WeightStore               // a copy in the weight store
	Unscheduled               // no load is scheduled: there is no coordinator, or no engine has room
	numSources
)

const (
	// coverage is the share of requests whose model should be ready within the estimate
	// plus its margin.
	coverage = 0.9
	// marginStep is the size of the steps by which an observation changes a margin. A few
	// tens of observations bring a margin from its initial value to the one that a day's
	// requests need.
	marginStep = 200 * time.Millisecond
	// maxMargin limits a margin: hardly any caller would wait longer.
	maxMargin = 10 * time.Second
)

// initialMargins holds the margins before any observation.
var initialMargins = [numSources]time.Duration{Loaded: 500 * time.Millisecond, Nearby: 1500 * time.Millisecond, WeightStore: 1200 * time.Millisecond, Unscheduled: 2 * time.Second}

// Margins learns the error of the estimates of the time until a model is ready, by source.
// It is safe for concurrent use.
type Margins struct {
	mu      sync.Mutex
	margins [numSources]time.Duration
}

// NewMargins returns the margins before any observation.
func NewMargins() *Margins { return &Margins{margins: initialMargins} }

// Of returns the margin to add to an estimate from s so that the model is ready by then for
// 9 in 10 requests.
func (m *Margins) Of(s Source) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.margins[s]
}

// Observe records by how much later than estimated a model was ready; late is negative if
// it was ready earlier. The margin grows after an estimate that it did not cover and
// shrinks after any other, so that it settles where 1 in 10 estimates is not covered.
func (m *Margins) Observe(s Source, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	step := -time.Duration(float64(marginStep) * (1 - coverage))
	if late > m.margins[s] {
		step = time.Duration(float64(marginStep) * coverage)
	}
	m.margins[s] = min(maxMargin, max(0, m.margins[s]+step))
}

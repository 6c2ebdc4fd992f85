// Package retry bounds the retries of a daemon.
package retry

import "sync/atomic"

// Budget lets retries grow only with the requests, so that a failing
// endpoint is not buried under them. It is safe for concurrent use.
type Budget struct {
	credit  atomic.Int64 // in thousandths of a retry
	earn    int64        // by each request
	mostNow atomic.Int64 // bound of credit
}

const (
	perRetry = 1000 // thousandths spent by each retry

	// defaultRatio is the retries earned by each request.
	defaultRatio = 0.2
	// defaultBurst is the most retries in store.
	defaultBurst = 100
)

// NewBudget returns a full budget with the default figures.
func NewBudget() *Budget { return NewBudgetOf(defaultRatio, defaultBurst) }

// NewBudgetOf returns a full budget: each request earns ratio of a retry, and
// at most burst retries are in store.
func NewBudgetOf(ratio, burst float64) *Budget {
	b := NewEarnedBudget(ratio)
	b.SetBurst(burst)
	b.credit.Store(b.mostNow.Load())
	return b
}

// NewEarnedBudget returns a budget with a single retry in store, so that
// daemons which restart do not bring a burst of retries of their own each time.
func NewEarnedBudget(ratio float64) *Budget {
	b := &Budget{earn: int64(ratio * perRetry)}
	b.credit.Store(perRetry)
	return b
}

// SetBurst changes the most retries in store, as when daemons that share a
// bound come or go.
func (b *Budget) SetBurst(burst float64) {
	most := int64(burst * perRetry)
	b.mostNow.Store(most)
	if v := b.credit.Load(); v > most {
		b.credit.CompareAndSwap(v, most)
	}
}

// Earn counts one request.
func (b *Budget) Earn() {
	most := b.mostNow.Load()
	if v := b.credit.Load(); v < most {
		b.credit.CompareAndSwap(v, min(v+b.earn, most))
	}
}

// Spend takes one retry out, if there is one.
func (b *Budget) Spend() bool {
	for {
		v := b.credit.Load()
		if v < perRetry {
			return false
		}
		if b.credit.CompareAndSwap(v, v-perRetry) {
			return true
		}
	}
}

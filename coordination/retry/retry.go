// Package retry limits the number of retries of a daemon.
package retry

import "sync/atomic"

// Budget limits retries to a share of the requests, so that a failing endpoint is not
// flooded with them. It is safe for concurrent use.
type Budget struct {
	credit    atomic.Int64 // in thousandths of a retry
	earned    int64        // credit earned by each request
	maxCredit atomic.Int64 // upper bound of credit
}

const (
	perRetry = 1000 // credit spent by each retry

	// defaultRatio is the number of retries that each request earns.
	defaultRatio = 0.2
	// defaultBurst is the maximum number of saved retries.
	defaultBurst = 100
)

// NewBudget returns a full budget with the default ratio and burst.
func NewBudget() *Budget { return NewBudgetOf(defaultRatio, defaultBurst) }

// NewBudgetOf returns a full budget: each request earns ratio of a retry, and at most burst
// retries are saved.
func NewBudgetOf(ratio, burst float64) *Budget {
	b := NewEarnedBudget(ratio)
	b.SetBurst(burst)
	b.credit.Store(b.maxCredit.Load())
	return b
}

// NewEarnedBudget returns a budget with a single saved retry, so that restarted daemons do
// not each start with a whole burst of retries. It earns no more until SetBurst is called.
func NewEarnedBudget(ratio float64) *Budget {
	b := &Budget{earned: int64(ratio * perRetry)}
	b.credit.Store(perRetry)
	return b
}

// SetBurst changes the maximum number of saved retries, for instance when the number of
// daemons that share a limit changes.
func (b *Budget) SetBurst(burst float64) {
	limit := int64(burst * perRetry)
	b.maxCredit.Store(limit)
	if v := b.credit.Load(); v > limit {
		b.credit.CompareAndSwap(v, limit)
	}
}

// Earn adds the credit of one request.
func (b *Budget) Earn() {
	limit := b.maxCredit.Load()
	if v := b.credit.Load(); v < limit {
		b.credit.CompareAndSwap(v, min(v+b.earned, limit))
	}
}

// Spend takes one retry from the budget and reports whether there was one.
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

// Package retry bounds the retries of a daemon.
package retry

import "sync/atomic"

// Budget lets retries grow only with the requests, so that a failing
// endpoint is not buried under them. It is safe for concurrent use.
type Budget struct {
	tenths atomic.Int64
}

const (
	budgetPerRequest = 2    // tenths of a retry earned by each request
	budgetPerRetry   = 10   // tenths spent by each retry
	budgetMax        = 1000 // at most a hundred retries in store
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.tenths.Store(budgetMax)
	return b
}

// Earn counts one request.
func (b *Budget) Earn() {
	if v := b.tenths.Load(); v < budgetMax {
		b.tenths.CompareAndSwap(v, min(v+budgetPerRequest, budgetMax))
	}
}

// Spend takes one retry out, if there is one.
func (b *Budget) Spend() bool {
	for {
		v := b.tenths.Load()
		if v < budgetPerRetry {
			return false
		}
		if b.tenths.CompareAndSwap(v, v-budgetPerRetry) {
			return true
		}
	}
}

// Package retry limits the number of retries of a daemon.
package retry

import (
	"maps"
	"sync"
	"sync/atomic"
)

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

// Budgets holds a budget for each service, so that the retries which the requests for one service earn
// cannot be spent at another. It is safe for concurrent use.
type Budgets struct {
	create    func() *Budget
	byService atomic.Pointer[map[string]*Budget] // never changed in place

	mu    sync.Mutex // held to replace byService
	burst float64    // of each budget; valid if shared
	// shared: SetBurst has been called.
	shared bool
}

// NewBudgets returns budgets that create makes when the first request for a service comes.
func NewBudgets(create func() *Budget) *Budgets {
	b := &Budgets{create: create}
	b.byService.Store(&map[string]*Budget{})
	return b
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	if budget := (*b.byService.Load())[service]; budget != nil {
		return budget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	present := *b.byService.Load()
	if budget := present[service]; budget != nil {
		return budget
	}
	budget := b.create()
	if b.shared {
		budget.SetBurst(b.burst)
	}
	next := maps.Clone(present)
	next[service] = budget
	b.byService.Store(&next)
	return budget
}

// SetBurst changes the maximum number of saved retries of each service.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst, b.shared = burst, true
	for _, budget := range *b.byService.Load() {
		budget.SetBurst(burst)
	}
}

// Retain drops the budgets of services for which keep returns false.
func (b *Budgets) Retain(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.byService.Load())
	maps.DeleteFunc(next, func(service string, _ *Budget) bool { return !keep(service) })
	if len(next) < len(*b.byService.Load()) {
		b.byService.Store(&next)
	}
}

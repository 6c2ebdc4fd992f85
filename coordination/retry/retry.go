// Package retry bounds how often requests are sent to endpoints again, by all daemons together and at each
// service: a failing service is not flooded with retries, however many daemons there are and however often
// they start. Daemons exchange nothing for it. Each one keeps to its share, and the sum of all shares is within
// the limit.
//
// In any window, the retries of a daemon are at most those that its requests in the window have earned,
// the earned ones that it had saved before, and those that need not be earned. A share bounds the last two.
// A daemon that starts has nothing saved, so that its former life and itself together stay within one share.
package retry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// perRetry is the credit that a retry costs.
	perRetry = 1000
	// arrivalSlack is added to the window of retries that need not be earned: a retry arrives at its endpoint up to
	// this much later than it was spent, and the next one may arrive at once.
	arrivalSlack = time.Second
	// stallAfter is the time without a call of Update after which the daemon must have been paused.
	stallAfter = 3 * time.Second
	// stallBacklog is the time after a pause in which requests arrive that callers had sent during it. They count
	// in an earlier window than the retries that they would pay for, so they earn none.
	stallBacklog = 500 * time.Millisecond
)

// Budgets hold the retries of one daemon at each service. They are safe for concurrent use.
type Budgets struct {
	window    time.Duration
	byService atomic.Pointer[map[string]*budget] // never changed in place
	// idleUntil is the time until which requests earn nothing, in Unix nanoseconds, and updatedAt that of the last
	// Update; zero before the first one.
	idleUntil, updatedAt atomic.Int64

	mu    sync.Mutex // held to replace byService
	share Share      // of each service
}

// NewBudgets returns budgets with a share at each service. window is that of the limit.
func NewBudgets(window time.Duration, share Share) *Budgets {
	b := &Budgets{window: window, share: share}
	b.byService.Store(&map[string]*budget{})
	return b
}

// Earn adds what a request for a service earns.
func (b *Budgets) Earn(now time.Time, service string) {
	if b.stalled(now) {
		return
	}
	b.of(service).earn(now, b.window)
}

// stalled reports whether requests may have waited for this daemon while it was paused.
func (b *Budgets) stalled(now time.Time) bool {
	updated := b.updatedAt.Load()
	return updated != 0 && now.UnixNano()-updated > int64(stallAfter) || now.UnixNano() < b.idleUntil.Load()
}

// Reserve reserves a retry at a service for a request that is not sent yet, and reports whether there was one. Each
// reservation is ended by SpendReserved or Release.
func (b *Budgets) Reserve(now time.Time, service string) bool {
	return b.of(service).reserve(now, b.window)
}

// Release ends a reservation whose request is not sent.
func (b *Budgets) Release(service string) { b.of(service).release() }

// SpendReserved spends a reserved retry and reports whether it was still there: the share may have been cut. It must
// be called just before the request is sent. A retry that counts when it is decided, and then waits, would meet the
// retries of a later window at its endpoint.
func (b *Budgets) SpendReserved(now time.Time, service string) bool {
	return b.of(service).spend(now, b.window, 1)
}

// Spend takes a retry at a service for a request that is sent at once, and reports whether there was one.
func (b *Budgets) Spend(now time.Time, service string) bool {
	return b.of(service).spend(now, b.window, 0)
}

// SpendAndReserve takes a retry at a service for a request that is sent at once and reserves another one for it, or
// neither, and reports whether there were two. The reservation is ended by SpendReserved or Release.
func (b *Budgets) SpendAndReserve(now time.Time, service string) bool {
	return b.of(service).spendAndReserve(now, b.window)
}

// NoteRefused counts a retry at a service that was refused or has to wait because the budget is empty.
func (b *Budgets) NoteRefused(service string) { b.of(service).noteRefused() }

// Update sets the share of this daemon at each service. It must be called more often than every stallAfter.
func (b *Budgets) Update(now time.Time, share Share) {
	if last := b.updatedAt.Swap(now.UnixNano()); last != 0 && now.UnixNano()-last > int64(stallAfter) {
		b.idleUntil.Store(now.Add(stallBacklog).UnixNano())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	for _, budget := range *b.byService.Load() {
		budget.setShare(now, share)
	}
}

// Retain drops the budgets of services for which keep returns false, unless retries are reserved there or
// some that need not be earned were spent in the present window: a service that comes back must not get them again.
func (b *Budgets) Retain(now time.Time, keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.byService.Load())
	maps.DeleteFunc(next, func(service string, x *budget) bool { return !keep(service) && x.unused(now, b.window) })
	if len(next) < len(*b.byService.Load()) {
		b.byService.Store(&next)
	}
}

// State is the state of the budget of one service.
type State struct {
	Left    float64 // retries that could be spent now
	Spent   int     // retries spent since the last report
	Refused int     // retries refused since the last report
}

// Report returns the state of each budget, by service.
func (b *Budgets) Report(now time.Time) map[string]State {
	out := map[string]State{}
	for service, budget := range *b.byService.Load() {
		out[service] = budget.report(now, b.window)
	}
	return out
}

// of returns the budget of a service.
func (b *Budgets) of(service string) *budget {
	if x := (*b.byService.Load())[service]; x != nil {
		return x
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	present := *b.byService.Load()
	if x := present[service]; x != nil {
		return x
	}
	next := maps.Clone(present)
	x := &budget{share: b.share}
	next[service] = x
	b.byService.Store(&next)
	return x
}

// budget holds the retries of one daemon at one service. It starts with nothing saved.
type budget struct {
	mu     sync.Mutex
	share  Share
	credit int64 // earned and saved, in thousandths of a retry
	// droppedAt is when the credit was last dropped, if the share is volatile.
	droppedAt time.Time
	// unearned are the times at which retries that need not be earned were spent, within a window and arrivalSlack,
	// oldest first.
	unearned       []time.Time
	reserved       int // retries that are reserved
	spent, refused int // since the last report
}

// advance forgets what lies before the window that ends now. The caller holds the mutex.
func (b *budget) advance(now time.Time, window time.Duration) {
	old := 0
	for old < len(b.unearned) && now.Sub(b.unearned[old]) > window+arrivalSlack {
		old++
	}
	b.unearned = b.unearned[old:]
	if b.share.Volatile && now.Sub(b.droppedAt) >= window {
		b.credit, b.droppedAt = 0, now
	}
}

func (b *budget) earn(now time.Time, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, window)
	b.credit = min(b.credit+credit(b.share.Ratio), credit(b.share.Saved))
}

func (b *budget) reserve(now time.Time, window time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, window)
	if b.left() <= b.reserved {
		return false
	}
	b.reserved++
	return true
}

func (b *budget) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// left returns the number of retries that could be spent now, reserved ones among them. The caller holds the mutex.
func (b *budget) left() int {
	return int(b.credit/perRetry) + b.unearnedLeft()
}

// unearnedLeft returns the number of retries that need not be earned and are left. The caller holds the mutex.
func (b *budget) unearnedLeft() int { return max(0, b.share.Unearned-len(b.unearned)) }

// spend ends a number of reservations and takes a retry that is not reserved, an earned one if there is one: what is
// earned beyond the share is lost.
func (b *budget) spend(now time.Time, window time.Duration, reservations int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, window)
	b.reserved -= reservations
	return b.take(now)
}

// spendAndReserve is one step: a reservation that another goroutine sees and that is given up again would cost it a retry
// which was there.
func (b *budget) spendAndReserve(now time.Time, window time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, window)
	b.reserved++
	if b.take(now) {
		return true
	}
	b.reserved--
	return false
}

// take takes a retry that is not reserved. The caller holds the mutex.
func (b *budget) take(now time.Time) bool {
	if b.left() <= b.reserved {
		return false
	}
	if b.credit >= perRetry {
		b.credit -= perRetry
	} else {
		b.unearned = append(b.unearned, now)
	}
	b.spent++
	return true
}

func (b *budget) noteRefused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

func (b *budget) setShare(now time.Time, share Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share.Volatile && !b.share.Volatile {
		b.credit, b.droppedAt = 0, now
	}
	b.share = share
	b.credit = min(b.credit, credit(share.Saved))
}

func (b *budget) unused(now time.Time, window time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, window)
	return len(b.unearned) == 0 && b.reserved == 0
}

func (b *budget) report(now time.Time, window time.Duration) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, window)
	s := State{Left: float64(b.credit)/perRetry + float64(b.unearnedLeft()), Spent: b.spent, Refused: b.refused}
	b.spent, b.refused = 0, 0
	return s
}

// credit returns the credit of a number of retries.
func credit(retries float64) int64 { return int64(retries * perRetry) }

package residency

import (
	"math"
	"time"
)

// StoreConcurrency is the learned number of loads that the weight store serves at full
// speed. The store does not declare it: beyond that number, all loads in progress slow down
// in proportion.
type StoreConcurrency struct {
	// Estimate is the current estimate, at least one.
	Estimate int
	// Max is an upper bound of the estimate until MaxUntil: loads slowed down when more
	// than Max were in progress.
	Max      int
	MaxUntil time.Time
}

const (
	// slowLoadFactor is the ratio of the actual to the declared duration of a load from
	// which too many loads are taken to run at once. It allows for the lag of reports and
	// for small variations of the store.
	slowLoadFactor = 1.2
	// boundTTL is how long an observed bound is valid before one more load is tried, since
	// a load may have been slow for another reason. Too many concurrent loads bring as many
	// models in the same time as the right number, but each of them later.
	boundTTL = 20 * time.Second
)

// newStoreConcurrency returns the estimate before any load was observed.
func newStoreConcurrency(first int) StoreConcurrency {
	return StoreConcurrency{Estimate: max(1, first), Max: math.MaxInt}
}

// observe updates the estimate from one load. The load has taken elapsed so far, is
// declared to take full at full speed, and has run with concurrent loads in progress on
// average, including itself. It may still be in progress unless ended is set.
func (s *StoreConcurrency) observe(now time.Time, elapsed, full time.Duration, concurrent float64, ended bool) {
	if full <= 0 {
		return
	}
	slowdown := float64(elapsed) / float64(full)
	switch {
	case slowdown >= slowLoadFactor:
		bound := max(1, int(math.Round(concurrent/slowdown)))
		if bound < s.Estimate {
			s.Estimate, s.Max, s.MaxUntil = bound, bound, now.Add(boundTTL)
		}
	case !ended:
	case now.After(s.MaxUntil) && s.Max < math.MaxInt:
		s.Max, s.MaxUntil = s.Max+1, now.Add(boundTTL)
	case concurrent > float64(s.Estimate)-0.5 && s.Estimate < s.Max:
		s.Estimate++ // the store was fully used, and the load still ran at full speed
	}
}

// storeLoad holds the measurements of one load from the store.
type storeLoad struct {
	began       time.Time
	concurrency float64 // integral of the number of concurrent loads over time, in load seconds
}

// watchStore updates the number of concurrent loads for each load from the store in
// progress.
func (p *Planner) watchStore(now time.Time) {
	elapsed := max(0, now.Sub(p.storeWatchedAt))
	p.storeWatchedAt = now
	n := p.storeLoads()
	for _, e := range p.sorted {
		if o := e.order; o != nil && o.accepted && o.loadsFromStore() {
			o.store.concurrency += float64(n) * elapsed.Seconds()
		}
	}
}

// learnStoreConcurrency updates the estimate from a report which shows that a load from the
// store has ended or continues. An overdue load shows that there are too many concurrent
// loads.
func (p *Planner) learnStoreConcurrency(now time.Time, o *pendingOrder, ended bool) {
	elapsed := now.Sub(o.store.began)
	if !o.loadsFromStore() || o.store.began.IsZero() || elapsed <= 0 {
		return
	}
	// A report describes the engine's state up to reportLag ago.
	took := max(0, elapsed-reportLag)
	p.store.observe(now, took, p.conf.Engine.Models[o.order.Model].LoadFromStore, o.store.concurrency/elapsed.Seconds(), ended)
}

// StoreConcurrency returns the learned concurrency of the weight store.
func (p *Planner) StoreConcurrency() StoreConcurrency { return p.store }

// SetStoreConcurrency sets the concurrency of the weight store that a former coordinator
// has learned. Zero or less changes nothing.
func (p *Planner) SetStoreConcurrency(concurrency int) {
	if concurrency > 0 {
		p.store.Estimate = concurrency
	}
}

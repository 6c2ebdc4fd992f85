package residency

import (
	"math"
	"time"
)

// StorePlaces is how many loads the weight store serves at full speed, as was learned.
// Nothing tells it: beyond that number, all loads in progress take longer in proportion.
type StoreConcurrency struct {
	// Places is the present estimate, one or more.
	Estimate int
	// Most is the estimate that is not to be exceeded until Again: loads beside so many
	// were seen to take longer.
	Max      int
	MaxUntil time.Time
}

const (
	// slowLoad is how much longer than declared a load must take to show that too many
	// went on beside it; reports lag, and stores vary a little.
	slowLoad = 1.2
	// mostKept is how long a bound that was seen is believed, before one load more is
	// tried: a load may have been slow for another reason. Too many at once bring as many
	// models in a time as the right number, each later.
	mostKept = 20 * time.Second
)

// newStorePlaces returns what is believed before any load was seen.
func newStorePlaces(first int) StoreConcurrency {
	return StoreConcurrency{Estimate: max(1, first), Max: math.MaxInt}
}

// took learns from a load that took a time, declared at full speed as full, with beside
// loads going on at a time on average, itself among them. It may not have ended yet.
func (s *StoreConcurrency) took(now time.Time, elapsed, full time.Duration, beside float64, ended bool) {
	if full <= 0 {
		return
	}
	slowdown := float64(elapsed) / float64(full)
	switch {
	case slowdown >= slowLoad:
		seen := max(1, int(math.Round(beside/slowdown)))
		if seen < s.Estimate {
			s.Estimate, s.Max, s.MaxUntil = seen, seen, now.Add(mostKept)
		}
	case !ended:
	case now.After(s.MaxUntil) && s.Max < math.MaxInt:
		s.Max, s.MaxUntil = s.Max+1, now.Add(mostKept)
	case beside > float64(s.Estimate)-0.5 && s.Estimate < s.Max:
		s.Estimate++ // all places were taken, and the load was as fast as alone
	}
}

// storeLoad follows one load from the store.
type storeLoad struct {
	began  time.Time
	beside float64 // loads in progress, over the seconds since
}

// watchStore counts, for each load from the store that is in progress, those beside it.
func (p *Planner) watchStore(now time.Time) {
	elapsed := max(0, now.Sub(p.watchedAt))
	p.watchedAt = now
	n := p.storeLoads()
	for _, w := range p.sorted {
		if o := w.order; o != nil && o.answered && o.loadsFromStore() {
			o.store.beside += float64(n) * elapsed.Seconds()
		}
	}
}

// learnPlaces learns from a report by which a load from the store has ended or goes on:
// one that is overdue tells that there are too many beside it.
func (p *Planner) learnPlaces(now time.Time, o *pending, ended bool) {
	elapsed := now.Sub(o.store.began)
	if !o.loadsFromStore() || o.store.began.IsZero() || elapsed <= 0 {
		return
	}
	// What a report tells was true a while ago.
	took := max(0, elapsed-reportLag)
	p.places.took(now, took, p.conf.Engine.Models[o.order.Model].LoadFromStore, o.store.beside/elapsed.Seconds(), ended)
}

// Places returns what was learned of the weight store.
func (p *Planner) StoreConcurrency() StoreConcurrency { return p.places }

// SetPlaces takes what a former coordinator has learned of the weight store.
func (p *Planner) SetStoreConcurrency(places int) {
	if places > 0 {
		p.places.Estimate = places
	}
}

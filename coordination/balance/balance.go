// Package balance picks the endpoint of a request among those that can serve
// it, from what this daemon has sent and seen itself.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// avoidFirst is how long an endpoint is avoided after a failure; it
	// doubles with each further one up to avoidMost.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 4 * time.Second
	// absentFor is how long an endpoint's word that it does not hold a model
	// counts against an older entry in the list.
	absentFor = 2500 * time.Millisecond
	// otherDomain is the cost of another failure domain, in running requests.
	otherDomain = 1.5
	// affinityBonus is the gain of an endpoint that has probably read the
	// prompt's shared part, in running requests.
	affinityBonus = 2.0
	// usedFor is how long a success at an endpoint vouches for its model.
	usedFor = 3 * time.Second
)

// load is what this daemon knows of one endpoint.
type load struct {
	running    int
	failures   int // in a row
	avoidUntil time.Time
	absent     map[string]time.Time // units that it does not hold, until then
	used       map[string]time.Time // units that it has served, last time
}

// Balancer is safe for concurrent use.
type Balancer struct {
	domain string

	mu    sync.Mutex
	loads map[fleet.Incarnation]*load
}

// New returns a balancer for a daemon in a failure domain.
func New(domain string) *Balancer {
	return &Balancer{domain: domain, loads: map[fleet.Incarnation]*load{}}
}

func (b *Balancer) load(id fleet.Incarnation) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{absent: map[string]time.Time{}, used: map[string]time.Time{}}
		b.loads[id] = l
	}
	return l
}

// Query is what a request asks of its endpoint.
type Query struct {
	Unit     string // MODEL or MODEL/ADAPTER; empty for plain services
	Affinity string // shared part of the prompt; empty for none
	Exclude  []fleet.Incarnation
}

// Pick returns the endpoint with the least load, or nil. Endpoints that have
// just failed are taken only where there are no others.
func (b *Balancer) Pick(now time.Time, candidates []*fleet.Endpoint, q Query) *fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *fleet.Endpoint
	bestCost := 0.0
	for _, e := range candidates {
		if e.Leaving || slices.ContainsFunc(q.Exclude, e.Life().Same) {
			continue
		}
		l := b.load(e.Life())
		if q.Unit != "" && now.Before(l.absent[q.Unit]) {
			continue
		}
		cost := b.cost(now, e, l, q)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// avoidedCost keeps requests away from endpoints that have just failed.
const avoidedCost = 1e6

func (b *Balancer) cost(now time.Time, e *fleet.Endpoint, l *load, q Query) float64 {
	cost := float64(l.running) + rand.Float64() // spreads daemons that know the same
	if e.Domain != b.domain {
		cost += otherDomain
	}
	if q.Affinity != "" {
		// Each part of a prompt ranks the endpoints in its own order.
		rank := float64(xxhash.Sum64String(q.Affinity+e.ID)>>11) / (1 << 53)
		cost += affinityBonus * rank
	}
	if now.Before(l.avoidUntil) {
		cost += avoidedCost
	}
	return cost
}

// Started counts a request that is sent.
func (b *Balancer) Started(id fleet.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).running++
}

// Ended counts a request that has ended. ok says that the endpoint answered
// as it should.
func (b *Balancer) Ended(now time.Time, id fleet.Incarnation, unit string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.running--
	if ok {
		l.failures = 0
		l.avoidUntil = time.Time{}
		l.used[unit] = now
	}
}

// Failed keeps requests away from an endpoint for a while that grows with its
// failures in a row; it returns that while.
func (b *Balancer) Failed(now time.Time, id fleet.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	d := min(avoidMost, avoidFirst<<min(l.failures, 8))
	l.failures++
	l.avoidUntil = now.Add(d)
	return d
}

// Avoided reports whether an endpoint has just failed or refused requests, so that
// they keep away from it.
func (b *Balancer) Avoided(now time.Time, id fleet.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.load(id).avoidUntil)
}

// Absent records an endpoint's word that it does not hold a unit.
func (b *Balancer) Absent(now time.Time, id fleet.Incarnation, unit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.absent[unit] = now.Add(absentFor)
	delete(l.used, unit)
}

// Present withdraws Absent, on the coordinator's word.
func (b *Balancer) Present(id fleet.Incarnation, unit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.load(id).absent, unit)
}

// Vouched reports whether this daemon has lately been served a unit by the
// endpoint, so that the coordinator need not be asked.
func (b *Balancer) Vouched(now time.Time, id fleet.Incarnation, unit string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.load(id).used[unit]
	return ok && now.Sub(at) < usedFor
}

// Keep forgets endpoints that are not in the view any more.
func (b *Balancer) Keep(view *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if view.Of(id) == nil && l.running == 0 {
			delete(b.loads, id)
		}
	}
}

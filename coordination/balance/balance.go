// Package balance picks the endpoint of a request among those that can serve
// it, from what this daemon has sent and seen itself, and from what it is told
// that all daemons have running.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// avoidFirst is how long an endpoint is avoided after a failure; it
	// doubles with each further one up to avoidMost.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 4 * time.Second
	// goneFirst is how long an endpoint at which nothing listens gets no requests at all;
	// it doubles with each further refusal up to avoidMost. One that has ended comes back
	// under another id, or after seconds.
	goneFirst = time.Second
	// absentFor is how long an endpoint's word that it does not hold a model
	// counts against an older entry in the list.
	absentFor = 2500 * time.Millisecond
	// usedFor is how long a success at an endpoint vouches for its model.
	usedFor = 3 * time.Second
	// runTimeUnknown is how long a request is taken to run while none has ended
	// here.
	runTimeUnknown = time.Second
	// runTimeStep is the weight of one request's run time in the mean.
	runTimeStep = 0.05
)

// load is what this daemon knows of one endpoint, in one of its lives.
type load struct {
	running    int // sent by this daemon
	others     int // running by the other daemons, as was told last
	failures   int // in a row
	avoidUntil time.Time
	refusals   int                  // of connections, in a row
	goneUntil  time.Time            // nothing listens there until then
	absent     map[string]time.Time // units that it does not hold, until then
	used       map[string]time.Time // units that it has served, last time
}

// service is what is known of a service as a whole.
type service struct {
	toldAt  time.Time     // what is told of the others is as of then; zero: nothing is
	runTime time.Duration // mean of the requests that have ended here
}

// Balancer is safe for concurrent use.
type Balancer struct {
	domain string
	said   *backpressure.Tracker

	mu       sync.Mutex
	rng      *rand.Rand
	loads    map[fleet.Incarnation]*load
	services map[string]*service
	daemons  int // that share the requests
}

// New returns a balancer for a daemon in a failure domain, that keeps to what endpoints have
// said. seed is for its choices between equals.
func New(domain string, seed uint64, said *backpressure.Tracker) *Balancer {
	return &Balancer{domain: domain, said: said, rng: rand.New(rand.NewPCG(seed, 0)), loads: map[fleet.Incarnation]*load{}, services: map[string]*service{}, daemons: 1}
}

func (b *Balancer) load(id fleet.Incarnation) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{absent: map[string]time.Time{}, used: map[string]time.Time{}}
		b.loads[id] = l
	}
	return l
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{runTime: runTimeUnknown}
		b.services[name] = s
	}
	return s
}

// Query is what a request asks of its endpoint.
type Query struct {
	Unit     string // MODEL or MODEL/ADAPTER; empty for plain services
	Affinity string // shared part of the prompt; empty for none
	Exclude  []fleet.Incarnation
	Request  backpressure.Request // the request's, in the lines of those that wait
}

// Pick returns the endpoint for a request, or nil. Endpoints that have just failed
// are taken only where there are no others, those that leave not at all.
func (b *Balancer) Pick(now time.Time, candidates []*fleet.Endpoint, q Query) *fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, candidates, q)
	if len(usable) == 0 {
		return nil
	}
	if s := b.service(usable[0].Service); now.Sub(s.toldAt) < toldLife {
		return b.pickTold(now, s, usable, q)
	}
	return b.pickOwn(usable, q)
}

// usable returns the endpoints that may be asked: without those that are gone or want no requests
// now, and without those that have just failed, unless all have.
func (b *Balancer) usable(now time.Time, candidates []*fleet.Endpoint, q Query) []*fleet.Endpoint {
	var sound, avoided []*fleet.Endpoint
	for _, e := range candidates {
		l := b.load(e.Incarnation())
		switch {
		case e.Leaving, now.Before(l.goneUntil), !b.said.Peek(now, e.Incarnation(), q.Request).Open, slices.ContainsFunc(q.Exclude, e.Incarnation().Matches):
		case q.Unit != "" && now.Before(l.absent[q.Unit]):
		case now.Before(l.avoidUntil):
			avoided = append(avoided, e)
		default:
			sound = append(sound, e)
		}
	}
	if len(sound) == 0 {
		return avoided
	}
	return sound
}

const (
	// ownOtherDomain is the cost of another failure domain, in requests that this
	// daemon has running, while it is not told what the others have.
	ownOtherDomain = 1.5
	// ownAffinityMost bounds affinity in the same unit.
	ownAffinityMost = 2.0
)

// pickOwn returns the endpoint at which this daemon has least running. Its own
// requests are one part of many where many daemons share them: what keeps a prompt or a
// failure domain together weighs against them by that part, and chance decides the rest.
func (b *Balancer) pickOwn(usable []*fleet.Endpoint, q Query) *fleet.Endpoint {
	var best *fleet.Endpoint
	bestCost := 0.0
	for _, e := range usable {
		part := float64(b.slots(e)) / float64(b.daemons)
		cost := float64(b.load(e.Incarnation()).running) + b.rng.Float64() // spreads daemons that know the same
		cost += min(ownAffinityMost, affinity*part) * affinityRank(e, q)
		switch {
		case e.FailureDomain == b.domain:
		case q.Unit == "":
			cost += ownOtherDomain
		default:
			cost += min(ownOtherDomain, otherDomain*part)
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// Started counts a request that is sent.
func (b *Balancer) Started(e *fleet.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(e.Incarnation()).running++
}

// Ended counts a request that has ended after some time. ok says that the endpoint
// answered as it should.
func (b *Balancer) Ended(now time.Time, e *fleet.Endpoint, unit string, took time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(e.Incarnation())
	l.running--
	if !ok {
		return
	}
	l.failures, l.refusals = 0, 0
	l.avoidUntil, l.goneUntil = time.Time{}, time.Time{}
	l.used[unit] = now
	s := b.service(e.Service)
	s.runTime += time.Duration(runTimeStep * float64(took-s.runTime))
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

// Gone keeps all requests away from an endpoint at which nothing listens, as it refused a
// connection or as other daemons say. Requests that would be sent there in vain are told
// at once what else there is.
func (b *Balancer) MarkUnreachable(now time.Time, id fleet.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	if now.Before(l.goneUntil) {
		return // told by several requests at once
	}
	l.goneUntil = now.Add(min(avoidMost, goneFirst<<min(l.refusals, 8)))
	l.refusals++
}

// IsGone reports whether nothing listens at an endpoint.
func (b *Balancer) Unreachable(now time.Time, id fleet.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.load(id).goneUntil)
}

// Avoided reports whether an endpoint has just failed or refused requests, or wants none now, so
// that they keep away from it.
func (b *Balancer) Avoided(now time.Time, id fleet.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.load(id).avoidUntil) || !b.said.Peek(now, id, backpressure.Request{}).Open
}

// PickLeaving returns an endpoint that leaves and may still serve what no other can, or nil.
func (b *Balancer) PickLeaving(now time.Time, candidates []*fleet.Endpoint, q Query) *fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var may []*fleet.Endpoint
	for _, e := range candidates {
		if l := b.load(e.Incarnation()); now.Before(l.goneUntil) || slices.ContainsFunc(q.Exclude, e.Incarnation().Matches) {
			continue
		}
		if b.said.Peek(now, e.Incarnation(), q.Request).LastResort {
			may = append(may, e)
		}
	}
	return b.pickOwn(may, q)
}

// Shut returns the endpoints among some that stay and want no request like this one now, by their
// own word.
func (b *Balancer) Unavailable(now time.Time, candidates []*fleet.Endpoint, a backpressure.Request) (shut []*fleet.Endpoint) {
	for _, e := range candidates {
		if d := b.said.Peek(now, e.Incarnation(), a); !e.Leaving && d.Closed() && d.Reason != backpressure.Leaving {
			shut = append(shut, e)
		}
	}
	return shut
}

// Rate returns how many requests a second an endpoint works on for this daemon, by Little's law.
func (b *Balancer) Rate(e *fleet.Endpoint) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.slots(e)) / b.service(e.Service).runTime.Seconds() / float64(b.daemons)
}

// slots returns how many requests an endpoint works on at once: as it declares, or less under a
// limit.
func (b *Balancer) slots(e *fleet.Endpoint) int {
	declared := max(1, e.Slots)
	w, limited := b.said.LimitOf(e.Incarnation())
	if !limited {
		return declared
	}
	return min(declared, w.Capacity(b.service(e.Service).runTime))
}

// Absent records an endpoint's word that it does not hold a unit.
func (b *Balancer) MarkAbsent(now time.Time, id fleet.Incarnation, unit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.absent[unit] = now.Add(absentFor)
	delete(l.used, unit)
}

// Present withdraws Absent, on the coordinator's word.
func (b *Balancer) ClearAbsent(id fleet.Incarnation, unit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.load(id).absent, unit)
}

// Vouched reports whether this daemon has lately been served a unit by the
// endpoint, so that the coordinator need not be asked.
func (b *Balancer) RecentlyServed(now time.Time, id fleet.Incarnation, unit string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.load(id).used[unit]
	return ok && now.Sub(at) < usedFor
}

// Keep forgets endpoints that are not in the view any more.
func (b *Balancer) Retain(view *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if view.Find(id) == nil && l.running == 0 {
			delete(b.loads, id)
		}
	}
}

// Share tells how many daemons share the requests.
func (b *Balancer) SetDaemons(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(1, daemons)
}

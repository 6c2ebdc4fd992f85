// Package balance picks the endpoint of a request among those that can serve
// it. It goes by the requests and failures of this daemon, and by the work of all
// daemons' requests at each endpoint: their number, the prompt tokens that wait to
// be processed, and the tokens held.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/promptcache"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// avoidFirst is how long an endpoint is avoided after a failure. It
	// doubles with each further failure up to maxAvoid.
	avoidFirst = 300 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// unreachableFirst is how long an endpoint at which nothing listens gets no requests at
	// all. It doubles with each further refused connection up to maxAvoid. An endpoint whose
	// process has ended returns under another id, or after seconds.
	unreachableFirst = time.Second
	// absentFor is how long an endpoint's report that it does not hold a model
	// overrides an older entry in the list of endpoints.
	absentFor = 2500 * time.Millisecond
	// usedFor is how long after a success an endpoint is assumed to hold the
	// model.
	usedFor = 3 * time.Second
	// runTimeUnknown is the assumed run time of requests until one has ended at
	// this daemon.
	runTimeUnknown = time.Second
	// runTimeStep is the weight of one request's run time in the moving average.
	runTimeStep = 0.05
)

// load is this daemon's state of one incarnation of an endpoint.
type load struct {
	own                EngineLoad // work of this daemon's requests
	others             EngineLoad // work of the other daemons' requests, as last reported
	failures           int        // consecutive
	avoidUntil         time.Time
	silence            silence
	refusedConnections int                  // consecutive
	unreachableUntil   time.Time            // nothing listens there until then
	absent             map[string]time.Time // by unit: not held by the endpoint until then
	used               map[string]time.Time // by unit: last success
}

// running returns the number of running requests of all daemons.
func (l *load) running() int { return l.own.Running + l.others.Running }

// held returns the cache tokens of all daemons' running requests.
func (l *load) held() int { return l.own.Held + l.others.Held }

// service is the state of a service as a whole.
type service struct {
	reportedAt time.Time // time as of which load.others was reported; zero: never
	// reportedRunning is the number of requests of all daemons in that report.
	reportedRunning int
	runTime         time.Duration // moving average of the requests that have ended at this daemon
	// promptTime is the moving average of the seconds by which processing the prompt of a request of
	// this daemon exceeds the pause between two events.
	promptTime  float64
	estimator   *workcost.Estimator
	speeds      []workcost.Speed // buffer of ReceiveLoads
	gapTarget   time.Duration    // the strictest of the requests; zero for none
	gapTargetAt time.Time        // last request with gapTarget
	askedAt     time.Time        // last question to the coordinator because of pending prompts
}

// Balancer picks endpoints for requests. It is safe for concurrent use.
type Balancer struct {
	domain  string
	signals *backpressure.Tracker
	hasPath func(address string) bool

	mu       sync.Mutex
	rng      *rand.Rand
	loads    map[fleet.Incarnation]*load
	services map[string]*service
	daemons  int // number of daemons that share the requests
	prefixes promptcache.Memory

	// Buffers of usable and pickByReports, so that a choice allocates nothing.
	sound, avoided []*fleet.Endpoint
	options        []option
}

// New returns a balancer for a daemon in a failure domain, which respects the backpressure
// signals of endpoints. seed is for its random choices.
func New(domain string, seed uint64, signals *backpressure.Tracker) *Balancer {
	return &Balancer{domain: domain, signals: signals, hasPath: func(string) bool { return true }, rng: rand.New(rand.NewPCG(seed, 0)), loads: map[fleet.Incarnation]*load{}, services: map[string]*service{}, daemons: 1, prefixes: promptcache.New()}
}

// UsePaths makes the balancer leave out endpoints to which no connection can be opened now, as
// reported by hasPath. It must be called before the first use.
func (b *Balancer) UsePaths(hasPath func(address string) bool) { b.hasPath = hasPath }

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
		s = &service{runTime: runTimeUnknown, estimator: workcost.New()}
		b.services[name] = s
	}
	return s
}

// Query describes a request that needs an endpoint.
type Query struct {
	Unit     string // MODEL or MODEL/ADAPTER; empty for plain services
	Affinity string // shared part of the prompt; empty for none
	Exclude  []fleet.Incarnation
	Request  backpressure.Request // its order among the requests that wait for an endpoint
	// Work is the size of the request; zero if it is not known. The request is then routed by the
	// number of requests alone.
	Work        workcost.Work
	Parts       []protocol.PromptPart // leading parts of the prompt; empty if not known
	GapTarget   time.Duration         // longest pause that the request's stream tolerates; zero for any
	CacheTokens int                   // cache tokens of an engine of the service; zero if not known
}

// excludes reports whether the request must not go to an endpoint.
func (q *Query) excludes(e *fleet.Endpoint) bool {
	for _, id := range q.Exclude {
		if e.Incarnation().Matches(id) {
			return true
		}
	}
	return false
}

// Pick returns the endpoint for a request, or nil. Endpoints that have just failed
// are picked only if there are no others, and leaving endpoints never.
func (b *Balancer) Pick(now time.Time, candidates []*fleet.Endpoint, q Query) *fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, candidates, q)
	if len(usable) == 0 {
		return nil
	}
	s := b.service(usable[0].Service)
	s.noteGapTarget(now, q.GapTarget)
	if now.Sub(s.reportedAt) < reportTTL {
		return b.pickByReports(now, s, usable, q)
	}
	return b.pickByOwn(now, s, usable, q)
}

// usable returns the candidates that may get the request. Left out are endpoints that are leaving,
// unreachable, excluded, closed by a backpressure signal or without the unit, and those that have
// just failed, unless all have. The list is valid until the next call.
func (b *Balancer) usable(now time.Time, candidates []*fleet.Endpoint, q Query) []*fleet.Endpoint {
	sound, avoided := b.sound[:0], b.avoided[:0]
	for _, e := range candidates {
		l := b.load(e.Incarnation())
		switch {
		case e.Leaving, b.unreachable(now, e), !b.signals.Peek(now, e.Incarnation(), q.Request).Open, q.excludes(e):
		case q.Unit != "" && now.Before(l.absent[q.Unit]):
		case now.Before(l.avoidUntil), l.silence.avoided(now, l.own.Running):
			avoided = append(avoided, e)
		default:
			sound = append(sound, e)
		}
	}
	b.sound, b.avoided = sound, avoided
	if len(sound) == 0 {
		return avoided
	}
	return sound
}

const (
	// ownOtherDomain is the cost of another failure domain while there is no recent
	// report of the other daemons' requests, in running requests of this daemon.
	ownOtherDomain = 1.5
	// maxOwnAffinity bounds the weight of affinity, in the same unit.
	maxOwnAffinity = 2.0
)

// pickByOwn picks the endpoint with the fewest running requests of this daemon. Where many
// daemons share the requests, its own are a small share of all: affinity and failure domain
// are therefore weighted by this daemon's share of the slots, and chance decides the rest.
// This daemon's own pending prompts are certain, and weigh more than its share.
func (b *Balancer) pickByOwn(now time.Time, s *service, usable []*fleet.Endpoint, q Query) *fleet.Endpoint {
	r := b.requestWork(now, s, q)
	var best *fleet.Endpoint
	bestCost := 0.0
	for _, e := range usable {
		l := b.load(e.Incarnation())
		share := float64(b.slots(e)) / float64(b.daemons)
		cost := float64(l.own.Running) + b.rng.Float64() // spreads the choices of daemons with equal state
		cost += min(maxOwnAffinity, r.affinity*share) * affinityRank(e, q)
		if r.known {
			tokenTime := r.tokenTime(now, e.Incarnation())
			cost += max(ownLevel, share) * r.cost(e.Incarnation(), tokenTime, float64(l.own.PendingPrompt), l.own.Held)
		}
		switch {
		case e.FailureDomain == b.domain:
		case q.Unit == "":
			cost += ownOtherDomain
		default:
			cost += min(ownOtherDomain, otherDomain*share)
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// Failed keeps requests away from an endpoint for a time that grows with its
// consecutive failures, and returns that time.
func (b *Balancer) Failed(now time.Time, id fleet.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	d := min(maxAvoid, avoidFirst<<min(l.failures, 8))
	l.failures++
	l.avoidUntil = now.Add(d)
	return d
}

// MarkUnreachable keeps all requests away from an endpoint at which nothing listens, because
// it refused a connection or other daemons report so. Requests that would be sent there in
// vain can then be served elsewhere or refused at once.
func (b *Balancer) MarkUnreachable(now time.Time, id fleet.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	if now.Before(l.unreachableUntil) {
		return // several requests have noticed the same failure
	}
	l.unreachableUntil = now.Add(min(maxAvoid, unreachableFirst<<min(l.refusedConnections, 8)))
	l.refusedConnections++
}

// MarkedUnreachable reports whether an endpoint is marked as unreachable now.
func (b *Balancer) MarkedUnreachable(now time.Time, id fleet.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.load(id).unreachableUntil)
}

// Unreachable reports whether an endpoint is marked as unreachable now, or this daemon has no path to
// it.
func (b *Balancer) Unreachable(now time.Time, e *fleet.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreachable(now, e)
}

func (b *Balancer) unreachable(now time.Time, e *fleet.Endpoint) bool {
	return now.Before(b.load(e.Incarnation()).unreachableUntil) || !b.hasPath(e.Address)
}

// Avoided reports whether requests avoid an endpoint now, because it has just failed or refused
// requests, or because of a backpressure signal.
func (b *Balancer) Avoided(now time.Time, id fleet.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	return now.Before(l.avoidUntil) || l.silence.avoided(now, l.own.Running) || !b.signals.Peek(now, id, backpressure.Request{}).Open
}

// PickLeaving returns a leaving endpoint that may still serve a request that no other endpoint can,
// or nil.
func (b *Balancer) PickLeaving(now time.Time, candidates []*fleet.Endpoint, q Query) *fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var eligible []*fleet.Endpoint
	for _, e := range candidates {
		if b.unreachable(now, e) || q.excludes(e) {
			continue
		}
		if b.signals.Peek(now, e.Incarnation(), q.Request).LastResort {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return b.pickByOwn(now, b.service(eligible[0].Service), eligible, q)
}

// Unavailable returns the candidates that are not leaving and, by their backpressure signals, take
// no request like this one now.
func (b *Balancer) Unavailable(now time.Time, candidates []*fleet.Endpoint, a backpressure.Request) (unavailable []*fleet.Endpoint) {
	for _, e := range candidates {
		if d := b.signals.Peek(now, e.Incarnation(), a); !e.Leaving && d.Closed() && d.Reason != backpressure.Leaving {
			unavailable = append(unavailable, e)
		}
	}
	return unavailable
}

// Rate returns how many requests a second an endpoint can serve for this daemon, by Little's law.
func (b *Balancer) Rate(e *fleet.Endpoint) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.slots(e)) / b.service(e.Service).runTime.Seconds() / float64(b.daemons)
}

// slots returns how many requests an endpoint works on at once: as many as it declares, or fewer
// under a rate limit.
func (b *Balancer) slots(e *fleet.Endpoint) int {
	declared := max(1, e.Slots)
	w, limited := b.signals.LimitOf(e.Incarnation())
	if !limited {
		return declared
	}
	return min(declared, w.Capacity(b.service(e.Service).runTime))
}

// MarkAbsent records an endpoint's report that it does not hold a unit.
func (b *Balancer) MarkAbsent(now time.Time, id fleet.Incarnation, unit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.absent[unit] = now.Add(absentFor)
	delete(l.used, unit)
	b.prefixes.Forget(unit, id)
}

// ClearAbsent undoes MarkAbsent after the coordinator has reported that the endpoint holds the unit.
func (b *Balancer) ClearAbsent(id fleet.Incarnation, unit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.load(id).absent, unit)
}

// RecentlyServed reports whether the endpoint has recently served a unit to
// this daemon, so that the coordinator need not be asked.
func (b *Balancer) RecentlyServed(now time.Time, id fleet.Incarnation, unit string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.load(id).used[unit]
	return ok && now.Sub(at) < usedFor
}

// Retain removes the state of endpoints that are no longer in the view and have
// no running requests of this daemon.
func (b *Balancer) Retain(view *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := func(id fleet.Incarnation) bool { return view.Find(id) != nil }
	gone := false
	for id, l := range b.loads {
		if present(id) {
			continue
		}
		gone = true
		if l.own.Running == 0 {
			delete(b.loads, id)
		}
	}
	if !gone { // views change with each loaded model, and the prefixes are many
		return
	}
	for _, s := range b.services {
		s.estimator.Retain(present)
	}
	b.prefixes.Retain(func(_ string, id fleet.Incarnation) bool { return present(id) })
}

// SetDaemons sets how many daemons share the requests.
func (b *Balancer) SetDaemons(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(1, daemons)
}

package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// reportTTL is how long a report of the other daemons' requests is used: as long
	// as a coordinator counts a daemon's report.
	reportTTL = 3 * time.Second
	// otherDomain is the cost of another failure domain, as a share of an endpoint's
	// slots.
	otherDomain = 0.14
	// affinity is the gain of the endpoint that has most probably processed the prompt's
	// shared part before, in the same unit.
	affinity = 0.19
	// fullCost is the cost of an endpoint without a free slot, in the same unit: neither
	// the failure domain nor affinity is worth waiting in a queue for.
	fullCost = otherDomain + affinity
)

// pickByReports picks by the work of all daemons, a report that is some hundred milliseconds old.
// All daemons hold about the same report: if each picked the endpoint that looks emptiest, they
// would fill it beyond the others before the next one. Each daemon therefore assumes that the
// requests sent in the meantime fill the endpoints up to one level (water-filling), and picks an
// endpoint with the probability of its share of them: only the emptiest if few requests arrive, all
// alike if many do.
func (b *Balancer) pickByReports(now time.Time, s *service, usable []*fleet.Endpoint, q Query) *fleet.Endpoint {
	r := b.requestWork(now, s, q)
	options := b.options[:0]
	running := 0
	for _, e := range usable {
		l := b.load(e.Incarnation())
		running += l.running()
		options = append(options, b.option(now, s, e, l, q, &r))
	}
	b.options = options
	// By Little's law, the rate of new requests is the number running over their run time.
	sinceReport := now.Sub(s.reportedAt).Seconds() * float64(running) / s.runTime.Seconds()
	return waterFill(options, 1+sinceReport, b.rng.Float64())
}

// option returns an endpoint with its level for a request.
func (b *Balancer) option(now time.Time, s *service, e *fleet.Endpoint, l *load, q Query, r *requestWork) option {
	slots := float64(b.slots(e))
	taken := float64(l.running()) / slots
	o := option{level: taken + r.affinity*affinityRank(e, q), capacity: slots, endpoint: e}
	if e.FailureDomain != b.domain {
		o.level += otherDomain
	}
	if taken >= 1 {
		o.level += fullCost
	}
	if r.known {
		id := e.Incarnation()
		tokenTime := r.tokenTime(now, id)
		o.level += r.cost(id, tokenTime, l.pendingPrompt(now.Sub(s.reportedAt), tokenTime), l.held())
		o.capacity = 1 / (1/slots + crowding*s.promptTime/levelTime.Seconds())
	}
	return o
}

// nearCapacityShare is the share of taken slots from which an endpoint counts as near its
// capacity: with the requests that all daemons send before the next report, it may be full.
const nearCapacityShare = 0.75

// askInterval is the least time between two questions to the coordinator because of pending
// prompts. A coordinator gets at most two a second for a service from each daemon.
const askInterval = 500 * time.Millisecond

// NearCapacity reports whether all usable candidates are near their capacity by a recent report.
// The counts are then too old to find an endpoint with room, and the coordinator should be asked. A
// candidate is near its capacity if few of its slots are free or, for a long prompt, if it
// processes other prompts for longer than the pause between two events.
func (b *Balancer) NearCapacity(now time.Time, candidates []*fleet.Endpoint, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, candidates, q)
	if len(usable) == 0 {
		return false
	}
	s := b.service(usable[0].Service)
	if now.Sub(s.reportedAt) >= reportTTL {
		return false
	}
	return b.allNearlyFull(usable) || b.allProcessing(now, s, usable, q)
}

func (b *Balancer) allNearlyFull(usable []*fleet.Endpoint) bool {
	for _, e := range usable {
		if float64(b.load(e.Incarnation()).running()) < nearCapacityShare*float64(b.slots(e)) {
			return false
		}
	}
	return true
}

// allProcessing reports whether a request with a long prompt should be placed by the coordinator,
// since all endpoints process prompts.
func (b *Balancer) allProcessing(now time.Time, s *service, usable []*fleet.Endpoint, q Query) bool {
	r := b.requestWork(now, s, q)
	if !r.long || now.Sub(s.askedAt) < askInterval {
		return false
	}
	for _, e := range usable {
		tokenTime := r.tokenTime(now, e.Incarnation())
		pending := b.load(e.Incarnation()).pendingPrompt(now.Sub(s.reportedAt), tokenTime)
		if pending*tokenTime <= r.pause {
			return false
		}
	}
	s.askedAt = now
	return true
}

// option is an endpoint that a request may go to.
type option struct {
	level    float64 // share of its slots that is taken, plus its other costs
	capacity float64 // requests that raise the level by one
	endpoint *fleet.Endpoint
}

// waterFill distributes a number of requests over the options, always to the lowest level,
// and returns the endpoint that gets the request at a position among them, from 0 to 1.
func waterFill(options []option, requests, position float64) *fleet.Endpoint {
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.level, b.level) })
	// Find the common level up to which the lowest options fill: at most that of the next one.
	capacity, taken, level := 0.0, 0.0, 0.0
	for i, o := range options {
		capacity += o.capacity
		taken += o.capacity * o.level
		level = (requests + taken) / capacity
		if i+1 == len(options) || level <= options[i+1].level {
			break
		}
	}
	at := position * requests
	for _, o := range options {
		if at -= o.capacity * (level - o.level); at < 0 {
			return o.endpoint
		}
	}
	return options[0].endpoint
}

// affinityRank ranks endpoints for the shared part of a prompt, from 0, the best, to 1. Each
// shared part has an order of its own.
func affinityRank(e *fleet.Endpoint, q Query) float64 {
	if q.Affinity == "" {
		return 0
	}
	var hash xxhash.Digest // of both texts in sequence, without a buffer
	hash.Reset()
	_, _ = hash.WriteString(q.Affinity) // never fails
	_, _ = hash.WriteString(e.ID)       // never fails
	return float64(hash.Sum64()>>11) / (1 << 53)
}

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

// Running is a count of requests for each endpoint.
type Running map[fleet.Incarnation]int

// OwnRunning returns the running requests of this daemon. The daemon reports them, and
// subtracts them from the counts that it receives for all daemons.
func (b *Balancer) OwnRunning() Running {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := Running{}
	for id, l := range b.loads {
		if l.running > 0 {
			own[id] = l.running
		}
	}
	return own
}

// ReceiveRunning sets the number of requests that all daemons have running at the
// endpoints of a service as of a time. own is the part of them that this daemon had
// reported.
func (b *Balancer) ReceiveRunning(serviceName string, asOf time.Time, all, own Running) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range all {
		b.load(id).others = max(0, n-own[id])
	}
	b.service(serviceName).reportedAt = asOf
}

// pickByReports picks by the running requests of all daemons, a count that is some hundred
// milliseconds old. All daemons hold about the same counts: if each picked the endpoint that
// looks emptiest, they would fill it beyond the others before the next report. Each daemon
// therefore assumes that the requests sent in the meantime fill the endpoints up to one level
// (water-filling), and picks an endpoint with the probability of its share of them: only the
// emptiest if few requests arrive, all alike if many do.
func (b *Balancer) pickByReports(now time.Time, s *service, usable []*fleet.Endpoint, q Query) *fleet.Endpoint {
	options := make([]option, len(usable))
	running := 0
	for i, e := range usable {
		l := b.load(e.Incarnation())
		running += l.running + l.others
		level := float64(l.running+l.others)/float64(b.slots(e)) + affinity*affinityRank(e, q)
		if e.FailureDomain != b.domain {
			level += otherDomain
		}
		if l.running+l.others >= b.slots(e) {
			level += fullCost
		}
		options[i] = option{level: level, slots: float64(b.slots(e)), endpoint: e}
	}
	// By Little's law, the rate of new requests is the number running over their run time.
	sinceReport := now.Sub(s.reportedAt).Seconds() * float64(running) / s.runTime.Seconds()
	return waterFill(options, 1+sinceReport, b.rng.Float64())
}

// nearCapacityShare is the share of taken slots from which an endpoint counts as near its
// capacity: with the requests that all daemons send before the next report, it may be full.
const nearCapacityShare = 0.75

// NearCapacity reports whether all usable candidates are near their capacity by a recent
// report. The counts are then too old to find an endpoint with a free slot.
func (b *Balancer) NearCapacity(now time.Time, candidates []*fleet.Endpoint, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, candidates, q)
	if len(usable) == 0 || now.Sub(b.service(usable[0].Service).reportedAt) >= reportTTL {
		return false
	}
	return !slices.ContainsFunc(usable, func(e *fleet.Endpoint) bool {
		l := b.load(e.Incarnation())
		return float64(l.running+l.others) < nearCapacityShare*float64(b.slots(e))
	})
}

// option is an endpoint that a request may go to.
type option struct {
	level    float64 // share of its slots that is taken, plus its other costs
	slots    float64
	endpoint *fleet.Endpoint
}

// waterFill distributes a number of requests over the options, always to the lowest level,
// and returns the endpoint that gets the request at a position among them, from 0 to 1.
func waterFill(options []option, requests, position float64) *fleet.Endpoint {
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.level, b.level) })
	// Find the common level up to which the lowest options fill: at most that of the next one.
	slots, taken, level := 0.0, 0.0, 0.0
	for i, o := range options {
		slots += o.slots
		taken += o.slots * o.level
		level = (requests + taken) / slots
		if i+1 == len(options) || level <= options[i+1].level {
			break
		}
	}
	at := position * requests
	for _, o := range options {
		if at -= o.slots * (level - o.level); at < 0 {
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
	return float64(xxhash.Sum64String(q.Affinity+e.ID)>>11) / (1 << 53)
}

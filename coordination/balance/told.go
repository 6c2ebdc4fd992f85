package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// toldLife is how long what is told of the other daemons' requests is used: as
	// long as a coordinator counts what a daemon has told it.
	toldLife = 3 * time.Second
	// otherDomain is the cost of another failure domain, as a share of an endpoint's
	// slots.
	otherDomain = 0.14
	// affinity is the gain of the endpoint that has most probably read the prompt's
	// shared part, in the same unit.
	affinity = 0.19
	// fullCost is the cost of an endpoint without a free slot, in the same unit: neither
	// a failure domain nor a prompt is worth waiting in a queue for.
	fullCost = otherDomain + affinity
)

// Running is a count of requests for each endpoint.
type Running map[fleet.Incarnation]int

// Own returns what this daemon has running: what it tells of itself, to be taken out
// of what it is told of all.
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

// Told takes what all daemons have running at the endpoints of a service, as of a
// time, with own of it by this one.
func (b *Balancer) ReceiveRunning(serviceName string, asOf time.Time, all, own Running) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range all {
		b.load(id).others = max(0, n-own[id])
	}
	b.service(serviceName).toldAt = asOf
}

// pickTold chooses by what all daemons have running, which is some hundred
// milliseconds old. All daemons are told about the same, so that each taking the
// endpoint that looked emptiest would fill it beyond the others before they are told
// again. Each therefore assumes that the requests which go out meanwhile fill the
// endpoints up to one level (water-filling), and goes to each with the probability of its
// part of them: to the emptiest alone where few requests come, to all alike where many do.
func (b *Balancer) pickTold(now time.Time, s *service, usable []*fleet.Endpoint, q Query) *fleet.Endpoint {
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
	// By Little's law: so many begin a second as run, over how long they run.
	unseen := now.Sub(s.toldAt).Seconds() * float64(running) / s.runTime.Seconds()
	return waterFill(options, 1+unseen, b.rng.Float64())
}

// crowdedAt is the part of an endpoint's slots from which it counts as crowded: with what
// all daemons send before they are told again, it may be full.
const crowdedAt = 0.75

// Crowded reports whether all candidates are crowded, as far as is told: what this daemon
// knows is too old then to find the one that has a slot free.
func (b *Balancer) NearCapacity(now time.Time, candidates []*fleet.Endpoint, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, candidates, q)
	if len(usable) == 0 || now.Sub(b.service(usable[0].Service).toldAt) >= toldLife {
		return false
	}
	return !slices.ContainsFunc(usable, func(e *fleet.Endpoint) bool {
		l := b.load(e.Incarnation())
		return float64(l.running+l.others) < crowdedAt*float64(b.slots(e))
	})
}

// option is an endpoint that a request may go to.
type option struct {
	level    float64 // of its slots that are taken, with what else counts against it
	slots    float64
	endpoint *fleet.Endpoint
}

// waterFill sends so many requests to the options, always to the lowest level, and returns
// the endpoint of the one at a part of them, from 0 to 1.
func waterFill(options []option, requests, part float64) *fleet.Endpoint {
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.level, b.level) })
	// The lowest of them fill up to one level, if that is below the next one.
	slots, taken, level := 0.0, 0.0, 0.0
	for i, o := range options {
		slots += o.slots
		taken += o.slots * o.level
		level = (requests + taken) / slots
		if i+1 == len(options) || level <= options[i+1].level {
			break
		}
	}
	at := part * requests
	for _, o := range options {
		if at -= o.slots * (level - o.level); at < 0 {
			return o.endpoint
		}
	}
	return options[0].endpoint
}

// affinityRank orders endpoints for the shared part of a prompt, from 0: each part has
// an order of its own.
func affinityRank(e *fleet.Endpoint, q Query) float64 {
	if q.Affinity == "" {
		return 0
	}
	return float64(xxhash.Sum64String(q.Affinity+e.ID)>>11) / (1 << 53)
}

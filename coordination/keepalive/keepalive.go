// Package keepalive decides how long an unused replica stays loaded. It learns the gaps
// between arrivals and the time of day of each unit, and weighs the cost of a cold start
// against that of idle accelerator time, with the weights of the deployment. It does no I/O
// and reads no clock.
package keepalive

import (
	"math"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/placement"
)

// Options holds the weights and bounds of the deployment.
type Options struct {
	ColdStartWeight float64 // cost of one second of load time that a request waits for
	IdleWeight      float64 // cost of one second of idle accelerator time
	MinIdle         time.Duration
	MaxIdle         time.Duration
}

const (
	gapBuckets   = 24 // bucket i holds gaps below 2^i seconds
	gapDecay     = 0.98
	priorWeight  = 1.0 // weight of the prior, in observations
	dayParts     = 96  // one for each quarter of an hour
	partLength   = 24 * time.Hour / dayParts
	dayRate      = 0.34 // weight of the newest day
	prewarmAhead = 1.5  // lead before the next part of the day, in load times
	burstGap     = 5 * time.Second
	burstRate    = 0.2 // weight of the newest burst
)

// unit holds the learned statistics of one unit.
type unit struct {
	lastArrival time.Time
	gaps        [gapBuckets]float64 // decayed counts
	// dayPart is the learned probability of an arrival in each part of the day.
	dayPart   [dayParts]float64
	updatedOn [dayParts]int64 // day on which the part was last updated
	cost      placement.Cost
	burst     float64 // mean number of requests that would wait for one load
	inBurst   int     // requests since the last gap that was longer than a load
}

// Policy learns the arrivals of units and decides how long their replicas stay loaded. It
// is not safe for concurrent use.
type Policy struct {
	opt   Options
	units map[string]*unit
	start time.Time
}

// New returns a policy without any observations.
func New(opt Options) *Policy { return &Policy{opt: opt, units: map[string]*unit{}} }

func (p *Policy) unit(name string) *unit {
	u := p.units[name]
	if u == nil {
		u = &unit{}
		p.units[name] = u
	}
	return u
}

// Arrived records n arrivals at now.
func (p *Policy) Arrived(name string, n int, now time.Time) {
	if p.start.IsZero() {
		p.start = now
	}
	u := p.unit(name)
	if gap := now.Sub(u.lastArrival); u.lastArrival.IsZero() || gap > max(u.cost.Load, burstGap) {
		u.endBurst(gap)
	}
	u.inBurst += n
	u.lastArrival = now
	part, day := partOf(now)
	if u.updatedOn[part] != day {
		u.decayDays(part, day)
		u.dayPart[part] += dayRate * (1 - u.dayPart[part])
		u.updatedOn[part] = day
	}
}

// endBurst records a gap that was long enough to unload the unit, and the size of the burst
// before it. Gaps inside a burst are not recorded, since no policy would unload the unit in
// them.
func (u *unit) endBurst(gap time.Duration) {
	if u.lastArrival.IsZero() {
		return
	}
	for i := range u.gaps {
		u.gaps[i] *= gapDecay
	}
	u.gaps[bucket(gap)]++
	if u.burst == 0 {
		u.burst = float64(u.inBurst)
	}
	u.burst += burstRate * (float64(u.inBurst) - u.burst)
	u.inBurst = 0
}

// decayDays reduces the probability of a part of the day for each day without an arrival.
func (u *unit) decayDays(part int, day int64) {
	if u.updatedOn[part] == 0 {
		return
	}
	missed := min(day-u.updatedOn[part]-1, 30)
	u.dayPart[part] *= math.Pow(1-dayRate, float64(max(missed, 0)))
}

func bucket(gap time.Duration) int {
	s := gap.Seconds()
	if s < 1 {
		return 0
	}
	return min(gapBuckets-1, 1+int(math.Log2(s)))
}

func partOf(t time.Time) (part int, day int64) {
	since := time.Duration(t.UnixNano())
	return int(since % (24 * time.Hour) / partLength), int64(since/(24*time.Hour)) + 1
}

// IdleFor returns how long the unit's replica stays loaded after its last use: the time
// that minimises the expected cost of idle time and cold starts over the learned gaps.
func (p *Policy) IdleFor(name string, cost placement.Cost, now time.Time) time.Duration {
	u := p.unit(name)
	u.cost = cost
	best, bestCost := time.Duration(0), math.Inf(1)
	for i := range gapBuckets {
		keep := time.Duration(math.Exp2(float64(i)) * float64(time.Second))
		if i == 0 {
			keep = 0
		}
		if cost := p.expectedCost(u, keep); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return min(max(best, p.opt.MinIdle), p.opt.MaxIdle)
}

// expectedCost returns the expected cost of one gap if the replica stays loaded for keep.
// The prior spreads one observation evenly over the buckets.
func (p *Policy) expectedCost(u *unit, keep time.Duration) float64 {
	idle, cold := p.opt.IdleWeight*u.cost.Share, p.coldCost(u)
	total, cost := 0.0, 0.0
	for i, n := range u.gaps {
		weight := n + priorWeight/gapBuckets
		total += weight
		gap := math.Exp2(float64(i)) * 0.75 // middle of the bucket, in seconds
		if gap <= keep.Seconds() {
			cost += weight * idle * gap
			continue
		}
		cost += weight * (idle*keep.Seconds() + cold)
	}
	return cost / total
}

// coldCost returns the cost of one cold start, for which all requests of a burst wait.
func (p *Policy) coldCost(u *unit) float64 {
	return p.opt.ColdStartWeight * u.cost.Load.Seconds() * max(1, u.burst)
}

// Prewarm returns the units to load before requests for them arrive: units for whose next
// part of the day arrivals are so likely that the saved cold start outweighs the idle time.
func (p *Policy) Prewarm(now time.Time) []string {
	var list []string
	for name, u := range p.units {
		if u.cost.Load == 0 {
			continue
		}
		lead := time.Duration(prewarmAhead * float64(u.cost.Load))
		part, day := partOf(now.Add(lead))
		current, _ := partOf(now)
		if part == current || u.updatedOn[part] == 0 || u.updatedOn[part] == day {
			continue
		}
		missed := min(day-u.updatedOn[part]-1, 30)
		probability := u.dayPart[part] * math.Pow(1-dayRate, float64(max(missed, 0)))
		saved := probability * p.coldCost(u)
		spent := p.opt.IdleWeight * u.cost.Share * (lead + partLength/2).Seconds()
		if saved > spent {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

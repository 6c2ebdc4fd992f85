package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// Shape describes when and how often the units of one caller class are requested.
type Shape struct {
	Prefix    string // of the names of the units, without the hyphen after it
	Class     string
	PerDay    float64 // bursts a day of the first unit; a unit of rank n has 1/n of that
	From, To  float64 // hours of the day within which bursts begin
	Scheduled float64 // share of the bursts that come at about the same minute each day
	BurstMean float64 // mean number of requests in a burst
}

// Tsasan returns the shapes for the units of examples/tsasan.hujson: field crews send
// requests by daylight, in a burst when a crew arrives, and reports are requested
// around the clock.
func Tsasan() []Shape {
	return []Shape{
		{Prefix: "summary", Class: "crew", PerDay: 60, From: 6, To: 19, Scheduled: 0.2, BurstMean: 6},
		{Prefix: "crew", Class: "crew", PerDay: 10, From: 6, To: 19, Scheduled: 0.2, BurstMean: 3},
		{Prefix: "hazard", Class: "certification", PerDay: 16, From: 0, To: 24, Scheduled: 0.1, BurstMean: 2},
		{Prefix: "slope", Class: "batch", PerDay: 4, From: 0, To: 24, BurstMean: 2},
	}
}

// Hinokuni returns the shapes for the units of examples/hinokuni.hujson: a trading desk
// with two day shifts, most of whose requests come at fixed gate closures, and reviews
// at night.
func Hinokuni() []Shape {
	return []Shape{
		{Prefix: "draft", Class: "trader", PerDay: 40, From: 7, To: 21, Scheduled: 0.8, BurstMean: 5},
		{Prefix: "desk", Class: "trader", PerDay: 8, From: 7, To: 21, Scheduled: 0.8, BurstMean: 3},
		{Prefix: "review", Class: "review", PerDay: 8, From: 1, To: 5, Scheduled: 0.9, BurstMean: 4},
		{Prefix: "clause", Class: "clerk", PerDay: 10, From: 8, To: 19, Scheduled: 0.3, BurstMean: 2},
	}
}

// burstSpread is the time within which the requests of a burst arrive.
const burstSpread = 3 * time.Second

// Generate returns random arrivals of some days, sorted by time. The same seed gives
// the same arrivals.
func Generate(b *bundle.Bundle, shapes []Shape, days int, seed uint64) []Arrival {
	rng := Seeded(seed)
	var list []Arrival
	for _, s := range shapes {
		rank := 0
		for _, u := range b.Units() {
			if !strings.HasPrefix(u.Name, s.Prefix+"-") {
				continue
			}
			rank++
			list = append(list, s.unit(rng, u.Name, s.PerDay/float64(rank), days)...)
		}
	}
	slices.SortFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list
}

// unit returns the arrivals of one unit. Its scheduled bursts come at the same times
// each day, with a jitter of about a minute; the others come at random times within the
// hours of the shape.
func (s Shape) unit(rng *rand.Rand, name string, perDay float64, days int) []Arrival {
	var list []Arrival
	randomTime := func() time.Duration {
		return time.Duration((s.From + rng.Float64()*(s.To-s.From)) * float64(time.Hour))
	}
	fixed := make([]time.Duration, int(math.Round(perDay*s.Scheduled)))
	for i := range fixed {
		fixed[i] = randomTime()
	}
	for day := range days {
		midnight := time.Duration(day) * 24 * time.Hour
		for _, at := range fixed {
			jitter := time.Duration(rng.NormFloat64() * float64(time.Minute))
			list = append(list, s.burst(rng, name, max(0, midnight+at+jitter))...)
		}
		for range poisson(rng, perDay*(1-s.Scheduled)) {
			list = append(list, s.burst(rng, name, midnight+randomTime())...)
		}
	}
	return list
}

// burst returns the arrivals of a burst that begins at a time: one request at least.
func (s Shape) burst(rng *rand.Rand, name string, at time.Duration) []Arrival {
	list := make([]Arrival, 1+poisson(rng, s.BurstMean-1))
	for i := range list {
		list[i] = Arrival{At: at + time.Duration(rng.Float64()*float64(burstSpread)), Unit: name, Class: s.Class}
	}
	return list
}

// poisson returns a random number with a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	limit, p, n := math.Exp(-mean), rng.Float64(), 0
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}

// Overload returns random arrivals over length at factor times a service's capacity, sorted
// by time, if each request takes serviceTime. They are spread evenly over the units and
// over the classes.
func Overload(b *bundle.Bundle, service string, units, classes []string, factor float64, serviceTime, length time.Duration, seed uint64) []Arrival {
	rng := Seeded(seed)
	slots := 0
	for _, e := range b.Service(service).Endpoints {
		slots += e.Slots
	}
	n := int(factor * float64(slots) * length.Seconds() / serviceTime.Seconds())
	list := make([]Arrival, n)
	for i := range list {
		list[i] = Arrival{
			At: time.Duration(rng.Float64() * float64(length)), Unit: units[rng.IntN(len(units))], Class: classes[rng.IntN(len(classes))],
		}
	}
	slices.SortFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list
}

// Fixed is a placement policy with the same idle time for all units. It is a baseline
// for learned policies.
type Fixed time.Duration

// Arrived implements placement.Policy.
func (Fixed) Arrived(string, int, time.Time) {}

// IdleFor implements placement.Policy.
func (f Fixed) IdleFor(string, placement.Cost, time.Time) time.Duration { return time.Duration(f) }

// Prewarm implements placement.Policy.
func (Fixed) Prewarm(time.Time) []string { return nil }

// Never is a baseline policy that never unloads a unit for being idle.
const Never = Fixed(math.MaxInt64)

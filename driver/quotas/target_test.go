package quotas

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// target is an endpoint that names limits, in virtual time.
type target struct {
	in   *installation
	life fleet.Incarnation

	mu       sync.Mutex
	said     []saidLimit // in order
	arrivals []time.Time
	offered  []time.Time
	// ranks is how many ranks requests have, each as many; byRank is what came of each.
	ranks  int
	byRank map[int]int
}

// rank returns that of the next request.
func (t *target) rank() int {
	if t.ranks == 0 {
		return 0
	}
	return t.in.chance(t.ranks)
}

// saidLimit is what the endpoint says from some time on.
type saidLimit struct {
	from    time.Time
	rate    float64
	limited bool
}

// answersIn is how long the endpoint takes to answer.
const answersIn = 40 * time.Millisecond

func (t *target) say(rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.said = append(t.said, saidLimit{time.Now(), rate, limited})
}

// at returns what the endpoint says at some time.
func (t *target) at(now time.Time) saidLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := saidLimit{}
	for _, s := range t.said {
		if !s.from.After(now) {
			last = s
		}
	}
	return last
}

// serve lets a request come at a daemon that would send it to the endpoint. Like the balancer,
// the daemon passes the endpoint over while that has no room.
func (t *target) serve(h *host, rank int) {
	k := h.current()
	h.mu.Lock()
	skip := h.settledAt.Before(h.backAt) || time.Now().Before(h.full)
	h.mu.Unlock()
	if k == nil {
		return
	}
	t.mu.Lock()
	t.offered = append(t.offered, time.Now())
	t.mu.Unlock()
	if skip {
		return
	}
	k.Endpoints().WaitSynced(context.Background())
	_, ok, roomIn := k.Endpoints().Admit(context.Background(), t.life, backpressure.Request{Rank: rank})
	if !ok {
		h.mu.Lock()
		h.full = time.Now().Add(roomIn)
		h.mu.Unlock()
		return
	}
	sent := time.Now()
	time.Sleep(time.Duration(1+t.in.chance(3)) * time.Millisecond)
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.byRank[rank]++
	t.mu.Unlock()
	time.Sleep(answersIn)
	said := t.at(time.Now())
	if h.current() == k {
		k.Endpoints().ObserveReport(t.life, sent, protocol.RateLimit{Rate: said.rate, Present: said.limited})
	}
}

// press lets requests come at random at some daemons for a while, so many a second.
func (t *target) press(hosts []*host, rate func(time.Duration) float64, d time.Duration) {
	start := time.Now()
	for time.Since(start) < d {
		t.in.mu.Lock()
		gap := time.Duration(t.in.rng.ExpFloat64() / rate(time.Since(start)) * float64(time.Second))
		t.in.mu.Unlock()
		time.Sleep(min(gap, time.Second))
		if gap < time.Second {
			go t.serve(hosts[t.in.chance(len(hosts))], t.rank())
		}
	}
	time.Sleep(time.Second)
}

// knownAfter is how long after a first word all daemons have to keep to a limit: what the
// users allow.
const knownAfter = 3 * time.Second

// worst returns by how many requests the most that came in a window exceed what the highest
// limit in it allows; windows that begin before a limit, or shortly after, do not count.
func (t *target) worst() int {
	t.mu.Lock()
	list := slices.Clone(t.arrivals)
	t.mu.Unlock()
	slices.SortFunc(list, time.Time.Compare)
	worst, first := -1000, 0
	for i, at := range list {
		for at.Sub(list[first]) > limit.Bounds.Window {
			first++
		}
		highest, bound := t.highest(list[first].Add(-knownAfter), at)
		if !bound {
			continue
		}
		most := int(1.5*highest*limit.Bounds.Window.Seconds() + 5)
		worst = max(worst, i-first+1-most)
	}
	return worst
}

// highest returns the highest limit in some time, and whether there was one all the while.
func (t *target) highest(from, to time.Time) (highest float64, bound bool) {
	s := t.at(from)
	highest, bound = s.rate, s.limited
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.said {
		if s.from.After(from) && !s.from.After(to) {
			highest, bound = max(highest, s.rate), bound && s.limited
		}
	}
	return highest, bound
}

// use returns what came, and what one bucket at the endpoint's rate would have let through, in
// some time in which the limit was the same.
func (t *target) use(from, to time.Time) (came, central int) {
	rate := t.at(from).rate
	t.mu.Lock()
	defer t.mu.Unlock()
	level, last := 1.0, from
	slices.SortFunc(t.offered, time.Time.Compare)
	for _, at := range t.offered {
		if at.Before(from) || at.After(to) {
			continue
		}
		level = min(1+0.4*rate, level+rate*at.Sub(last).Seconds())
		last = at
		if level >= 1 {
			level--
			central++
		}
	}
	for _, at := range t.arrivals {
		if !at.Before(from) && !at.After(to) {
			came++
		}
	}
	return came, central
}

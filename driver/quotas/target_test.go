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

// target is an endpoint that reports limits, in virtual time.
type target struct {
	in          *installation
	incarnation fleet.Incarnation

	mu       sync.Mutex
	limits   []reportedLimit // in order
	arrivals []time.Time
	offered  []time.Time
	// ranks is the number of ranks of requests, which are equally frequent (0: all have rank 0);
	// byRank is the number of requests of each rank that arrived.
	ranks  int
	byRank map[int]int
}

// rank returns the rank of the next request.
func (t *target) rank() int {
	if t.ranks == 0 {
		return 0
	}
	return t.in.chance(t.ranks)
}

// reportedLimit is the limit that the endpoint reports from a time on.
type reportedLimit struct {
	from    time.Time
	rate    float64
	limited bool
}

// answerTime is how long the endpoint takes to answer.
const answerTime = 40 * time.Millisecond

// setLimit sets the limit that the endpoint reports from now on.
func (t *target) setLimit(rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = append(t.limits, reportedLimit{time.Now(), rate, limited})
}

// limitAt returns the limit that the endpoint reports at a time.
func (t *target) limitAt(now time.Time) reportedLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := reportedLimit{}
	for _, s := range t.limits {
		if !s.from.After(now) {
			last = s
		}
	}
	return last
}

// serve offers a request for the endpoint to a host's daemon, which skips the endpoint while that has no
// room.
func (t *target) serve(h *host, rank int) {
	k := h.current()
	h.mu.Lock()
	signals := h.signals
	skip := h.syncedAt.Before(h.startedAt) || signals.Peek(time.Now(), t.incarnation, backpressure.Request{}).Closed()
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
	_, ok, retryAfter := k.Endpoints().Admit(context.Background(), t.incarnation, backpressure.Request{Rank: rank})
	if !ok {
		signals.CloseFor(time.Now(), t.incarnation, retryAfter)
		return
	}
	sent := time.Now()
	time.Sleep(time.Duration(1+t.in.chance(3)) * time.Millisecond)
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.byRank[rank]++
	t.mu.Unlock()
	time.Sleep(answerTime)
	reported := t.limitAt(time.Now())
	if h.current() == k {
		k.Endpoints().ObserveReport(t.incarnation, sent, protocol.RateLimit{Rate: reported.rate, Present: reported.limited})
	}
}

// send generates requests at random hosts of a list for a while, at a rate in requests a second.
func (t *target) send(hosts []*host, rate func(time.Duration) float64, d time.Duration) {
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

// limitEffectiveAfter is the time after a first report within which all daemons must keep to a limit:
// the delay that users accept.
const limitEffectiveAfter = 3 * time.Second

// maxExcess returns by how many requests the arrived ones exceed the bound of the highest limit, in
// the window with the largest excess. Windows that begin before a limit, or shortly after its begin,
// do not count.
func (t *target) maxExcess() int {
	t.mu.Lock()
	list := slices.Clone(t.arrivals)
	t.mu.Unlock()
	slices.SortFunc(list, time.Time.Compare)
	worst, first := -1000, 0
	for i, at := range list {
		for at.Sub(list[first]) > limit.Bounds.Window {
			first++
		}
		highest, bound := t.highest(list[first].Add(-limitEffectiveAfter), at)
		if !bound {
			continue
		}
		allowed := int(1.5*highest*limit.Bounds.Window.Seconds() + 5)
		worst = max(worst, i-first+1-allowed)
	}
	return worst
}

// highest returns the highest limit in a period, and whether there was a limit throughout.
func (t *target) highest(from, to time.Time) (highest float64, bound bool) {
	s := t.limitAt(from)
	highest, bound = s.rate, s.limited
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.limits {
		if s.from.After(from) && !s.from.After(to) {
			highest, bound = max(highest, s.rate), bound && s.limited
		}
	}
	return highest, bound
}

// throughput returns the requests that arrived in a period in which the limit was constant, and those
// that one central bucket with the endpoint's rate would have admitted.
func (t *target) throughput(from, to time.Time) (arrived, central int) {
	rate := t.limitAt(from).rate
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
			arrived++
		}
	}
	return arrived, central
}

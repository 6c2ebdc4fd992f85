package quotas

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/protocol/quotapb"
)

// rankLoad is a workspace that sends several times its quota, with callers of several ranks that
// return once after the told time.
type rankLoad struct {
	in       *installation
	patience time.Duration
	start    time.Time
	first    [3]rankCount // first attempts, by rank
	steady   [3]rankCount // first attempts after the burst of the quota is used, by rank
	second   [3]rankCount // second attempts
	promised [3]rankCount // second attempts of callers that were told a time within a window
}

// rankCount counts requests and units of one rank.
type rankCount struct {
	requests, refused int
	offered, admitted float64
}

func (c *rankCount) add(cost float64, admitted bool) {
	c.requests++
	c.offered += cost
	if admitted {
		c.admitted += cost
	} else {
		c.refused++
	}
}

// rankCost is the mean cost of a request in units: small enough for the most urgent rank to have
// several admitted requests at each daemon, as shares cannot be compared otherwise.
const rankCost = 100

// rankOffers are the percentages of the offered units, by rank.
var rankOffers = [3]int{7, 53, 40}

func (l *rankLoad) rank() int {
	n := l.in.chance(100)
	for rank, percentage := range rankOffers {
		if n < percentage {
			return rank
		}
		n -= percentage
	}
	return len(rankOffers) - 1
}

// call sends one request, and again after the told time if it is refused.
func (l *rankLoad) call(rank int, cost float64) {
	arrived := time.Now()
	admitted, after := l.attempt(rank, cost, arrived)
	l.in.mu.Lock()
	l.first[rank].add(cost, admitted)
	if arrived.Sub(l.start) >= burstUsed {
		l.steady[rank].add(cost, admitted)
	}
	l.in.mu.Unlock()
	if admitted {
		return
	}
	time.Sleep(after)
	admitted, _ = l.attempt(rank, cost, arrived)
	l.in.mu.Lock()
	l.second[rank].add(cost, admitted)
	if after < l.in.bounds.Window {
		l.promised[rank].add(cost, admitted)
	}
	l.in.mu.Unlock()
}

// burstUsed is the time after which shares are compared: until then the burst of the quota admits
// requests of all ranks.
const burstUsed = 2 * time.Second

// latencyTarget is the latency objective of the requests of a rankLoad.
const latencyTarget = 800 * time.Millisecond

func (l *rankLoad) attempt(rank int, cost float64, arrived time.Time) (admitted bool, after time.Duration) {
	k := l.in.hosts[l.in.chance(len(l.in.hosts))].current()
	directory, _ := l.in.workspaces()
	elapsed := time.Since(arrived)
	_, refusal := k.AdmitRequest(context.Background(), directory.ByName("w"), Request{
		Cost: cost, Rank: rank, Late: elapsed > latencyTarget, Age: elapsed, TimeLeft: l.patience - elapsed,
	})
	if refusal != nil {
		return false, refusal.RetryAfter
	}
	l.in.mu.Lock()
	defer l.in.mu.Unlock()
	l.in.passed["w"] = append(l.in.passed["w"], passed{time.Now(), cost})
	return true, 0
}

// send sends requests with the mean rate, in units a second.
func (l *rankLoad) send(rate float64, d time.Duration) {
	for l.start = time.Now(); time.Since(l.start) < d; {
		l.in.mu.Lock()
		gap := time.Duration(l.in.rng.ExpFloat64() * rankCost / rate * float64(time.Second))
		cost := rankCost/2 + float64(l.in.rng.IntN(2)*rankCost)
		l.in.mu.Unlock()
		time.Sleep(gap)
		go l.call(l.rank(), cost)
	}
}

// ownersWithoutRanks changes the answers of owners into those of daemons that know no ranks: they
// select no requests, and promise nothing to returning callers while new requests alone have
// exceeded the quota for two seconds.
func ownersWithoutRanks(overloadedFrom, overloadedUntil time.Time) func(*quotapb.DrawResponse) {
	return func(r *quotapb.DrawResponse) {
		r.Selection = nil
		if now := time.Now(); now.Sub(overloadedFrom) > 2*time.Second && now.Before(overloadedUntil) {
			r.Spare = 0
		}
	}
}

// One workspace sends four times its quota for 9 s. Guards against a rank that is admitted less than
// 0.8 of the share of the next more urgent one, or more than that one, against callers that are
// refused again although they return at the told time, and against exceeding the bound.
func TestRanksShareAQuotaUnderOverload(t *testing.T) {
	former, current := playRanks(t, "former rule", true, 1), playRanks(t, "current rule", false, rankSeeds)
	for rank := range rankOffers[1:] {
		urgent, next := current.share(rank), current.share(rank+1)
		if next < 0.8*urgent || next > urgent {
			t.Errorf("rank %d is admitted %.3f, rank %d %.3f, want 0.8 to 1 of that", rank, urgent, rank+1, next)
		}
	}
	if refused, returned := total(current.promised); refused*50 > returned {
		t.Errorf("%d of %d callers were refused again that returned at a promised time, want at most 2%%", refused, returned)
	}
	refused, returned := total(current.second)
	if formerRefused, formerReturned := total(former.second); refused*formerReturned > formerRefused*returned {
		t.Errorf("%d of %d returning callers were refused again, formerly %d of %d", refused, returned, formerRefused, formerReturned)
	}
	if a, b := current.admitted()/rankSeeds, former.admitted(); a < 0.95*b {
		t.Errorf("%.0f units admitted, %.0f by the former rule", a, b)
	}
}

// rankSeeds is the number of runs over which the shares of ranks are compared: in one of them some 500
// requests of the most urgent rank are admitted, which leaves an error of 4%.
const rankSeeds = 4

// playRanks sums up the load over several seeds, and logs the result.
func playRanks(t *testing.T, name string, former bool, seeds uint64) *rankLoad {
	sum := &rankLoad{}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { sum.include(runRankLoad(t, seed+1, former)) })
	}
	for rank := range sum.first {
		t.Logf("%s, rank %d: first attempts admitted %.3f of the units, %.3f after the start; %d requests, %d refused, %d of them refused again; %d were told a time within a window, %d of them refused again",
			name, rank, sum.first[rank].admitted/sum.first[rank].offered, sum.share(rank), sum.first[rank].requests, sum.first[rank].refused, sum.second[rank].refused, sum.promised[rank].requests, sum.promised[rank].refused)
	}
	t.Logf("%s: %.0f units admitted in all", name, sum.admitted())
	return sum
}

func (l *rankLoad) include(o *rankLoad) {
	for rank := range l.first {
		l.first[rank].include(o.first[rank])
		l.steady[rank].include(o.steady[rank])
		l.second[rank].include(o.second[rank])
		l.promised[rank].include(o.promised[rank])
	}
}

func (c *rankCount) include(o rankCount) {
	c.requests, c.refused = c.requests+o.requests, c.refused+o.refused
	c.offered, c.admitted = c.offered+o.offered, c.admitted+o.admitted
}

func runRankLoad(t *testing.T, seed uint64, former bool) *rankLoad {
	const quotaRate, burst = 100_000.0, 9 * time.Second
	w := declaration("w", quotaRate, quotaRate)
	in := newInstallation(60, seed, w)
	defer in.stop()
	l := &rankLoad{in: in, patience: 17 * time.Second}
	time.Sleep(5 * time.Second)
	if former {
		in.alterGrants = ownersWithoutRanks(time.Now(), time.Now().Add(burst))
	}
	l.send(4*quotaRate, burst)
	time.Sleep(l.patience + 2*time.Second)
	if over := in.maxExcess("w", limitsOf(&w.Workspace)); over > 0 {
		t.Errorf("seed %d: %.0f units more than the bound in a window", seed, over)
	}
	return l
}

// share returns the admitted share of the units of the first attempts, after burstUsed.
func (l *rankLoad) share(rank int) float64 { return l.steady[rank].admitted / l.steady[rank].offered }

func total(counts [3]rankCount) (refused, requests int) {
	for _, c := range counts {
		refused, requests = refused+c.refused, requests+c.requests
	}
	return refused, requests
}

func (l *rankLoad) admitted() float64 {
	sum := 0.0
	for rank := range l.first {
		sum += l.first[rank].admitted + l.second[rank].admitted
	}
	return sum
}

package quotas

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// allSizes enables sizes that take half a minute, with the race detector several, and are left out by
// default.
var allSizes = flag.Bool("quotas.sizes", false, "limits of endpoints at hundreds of daemons")

func newTarget(in *installation) *target {
	return &target{in: in, incarnation: fleet.Incarnation{ID: "i-1", StartUnixMs: 7}, byRank: map[int]int{}}
}

// An endpoint reports a limit far below the load. All daemons together must keep to it within a second,
// let the endpoint get nearly as many requests as its limit allows, and send without a limit again
// after the endpoint has ended it.
func TestEndpointGetsWhatItTakes(t *testing.T) {
	for _, daemons := range []int{7, 71, 195, 375} {
		if daemons > 71 && !*allSizes {
			continue // TestWhatGoesThroughIsTheQuota tests the same mechanism at these sizes in each run
		}
		for _, rate := range []float64{0, 1.1, 2, 20} {
			t.Run(fmt.Sprint(daemons, "/", rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLimited(t, daemons, rate) })
			})
		}
	}
}

func runLimited(t *testing.T, daemons int, rate float64) {
	in := newInstallation(daemons, 1)
	defer in.stop()
	e := newTarget(in)
	time.Sleep(10 * time.Second)
	const sends = 50
	go e.send(in.hosts, steadyLoad(sends), 50*time.Second)
	time.Sleep(10 * time.Second)
	e.setLimit(rate, true)
	reportedAt := time.Now()
	time.Sleep(time.Second + answerTime)
	unknown := 0
	for _, h := range in.hosts {
		if _, known := h.current().Endpoints().Limit(e.incarnation); !known {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d of %d daemons do not hold the limit a second after the first report", unknown, daemons)
	}
	before := in.drawCount()
	time.Sleep(20 * time.Second)
	draws := float64(in.drawCount()-before) / 20 / float64(daemons)
	endedAt := time.Now()
	e.setLimit(0, false)
	time.Sleep(4 * time.Second)
	recovered := time.Now()
	time.Sleep(4 * time.Second)
	if over := e.maxExcess(); over > 0 {
		t.Errorf("%d requests more than the bound in a window", over)
	}
	arrived, central := e.throughput(reportedAt.Add(2*time.Second), endedAt)
	use := float64(arrived) / float64(central)
	t.Logf("%.2f of what one central bucket admits, worst window %d requests below the bound, %.2f draws per daemon and second", use, -e.maxExcess(), draws)
	if rate > 0 && use < 0.95 {
		t.Errorf("%.2f of what one central bucket admits, want at least 0.95", use)
	}
	if n := e.arrivedBetween(recovered, recovered.Add(4*time.Second)); n < sends*4*8/10 {
		t.Errorf("%d requests arrived from 4 s to 8 s after the end of the limit", n)
	}
}

// arrivedBetween returns the number of requests that reached the endpoint in a period.
func (t *target) arrivedBetween(from, to time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// With a limit far above the load, daemons must draw rarely, and hold back nearly no request.
func TestLimitFarAboveLoadCostsFewDraws(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(20, 1)
		defer in.stop()
		e := newTarget(in)
		e.setLimit(500, true)
		time.Sleep(10 * time.Second)
		go e.send(in.hosts, steadyLoad(50), 30*time.Second)
		time.Sleep(10 * time.Second)
		before, from := in.drawCount(), time.Now()
		time.Sleep(15 * time.Second)
		arrived := e.arrivedBetween(from, time.Now())
		if draws := in.drawCount() - before; draws > arrived/4 {
			t.Errorf("%d draws for %d requests", draws, arrived)
		}
		if arrived < 50*15*9/10 {
			t.Errorf("%d requests arrived, of about %d sent", arrived, 50*15)
		}
	})
}

// An endpoint's limit is below the load. The most urgent requests must get nearly all of it, whichever
// daemons they arrive at.
func TestScarceRoomGoesToTheMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(20, 1)
		defer in.stop()
		e := newTarget(in)
		e.ranks = 3
		e.setLimit(4, true)
		time.Sleep(10 * time.Second)
		go e.send(in.hosts, steadyLoad(30), 40*time.Second)
		time.Sleep(42 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.byRank[0] < 8*(e.byRank[1]+e.byRank[2]) {
			t.Errorf("requests by rank %v, want nearly all of rank 0", e.byRank)
		}
		t.Logf("requests by rank %v", e.byRank)
	})
}

// Daemons stop, are partitioned, freeze and start, also all at once, and callers may reach only a few
// of them, while an endpoint's limit rises, falls, ends and begins. In every run the endpoint must get
// no more requests than the bound of each window allows, and over many runs most of those that its
// limit allows.
func TestLimitsHoldUnderRandomHarms(t *testing.T) {
	sum := 0.0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { sum += limitUnderFaults(t, seed) }) })
	}
	if mean := sum / float64(*runs); *runs >= meanRuns && mean < 0.85 {
		t.Errorf("%.3f of what one central bucket admits, on average over all runs, want at least 0.85", mean)
	}
}

// Guards against exceeding an endpoint's limit after all daemons have stopped, once or several times,
// and none of them holds the limit any more. Until the first answers reported it again, the endpoint
// got all requests that callers sent, up to 6 more than the bound. Limits are therefore kept in the
// store, and a daemon reads them before it sends requests.
func TestLimitHoldsWhereAllDaemonsEnd(t *testing.T) {
	for _, seed := range []uint64{1211, 1040, 1121} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { limitUnderFaults(t, seed) }) })
	}
}

// limitUnderFaults returns the requests that reached the endpoint as a fraction of those that one
// central bucket would have admitted.
func limitUnderFaults(t *testing.T, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	daemons := []int{7, 20, 71}[rng.IntN(3)]
	in := newInstallation(daemons, seed)
	defer in.stop()
	e := newTarget(in)
	time.Sleep(10 * time.Second)
	sends := []float64{10, 30, 60}[rng.IntN(3)]
	hosts := targetHosts(rng, in.hosts)
	go e.send(hosts, steadyLoad(sends), faultsFor)
	key := "limit/" + e.incarnation.String()
	faults, arrived, central := []string{}, 0, 0
	for start := time.Now(); time.Since(start) < faultsFor-10*time.Second; {
		rate := []float64{0.4, 1.1, 2, 8, 20}[rng.IntN(5)]
		e.setLimit(rate, true)
		from := time.Now().Add(2 * time.Second)
		for range 1 + rng.IntN(3) {
			time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
			faults = append(faults, in.injectFault(rng, key))
		}
		time.Sleep(2 * time.Second)
		a, b := e.throughput(from, time.Now())
		arrived, central = arrived+a, central+b
		if rng.IntN(3) == 0 {
			e.setLimit(0, false)
			time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	t.Logf("%d daemons, %d of them with load, %.0f requests a second: %.3f of what one central bucket admits, worst window %d requests below the bound; faults %v", daemons, len(hosts), sends, float64(arrived)/float64(central), -e.maxExcess(), faults)
	if over := e.maxExcess(); over > 0 {
		t.Errorf("%d requests more than the bound in a window", over)
	}
	return float64(arrived) / float64(central)
}

// Guards against limits that stay lost after the store is restored from an older copy: one daemon must
// write them again, and daemons that start afterwards must read them.
func TestLimitsOutlastARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(7, 1)
		defer in.stop()
		copied := in.store.Backup()
		e := newTarget(in)
		time.Sleep(5 * time.Second)
		e.setLimit(2, true)
		go e.send(in.hosts, steadyLoad(20), 4*time.Second)
		time.Sleep(8 * time.Second)
		before := in.store.Calls()
		in.store.Restore(copied)
		in.generations.Observe(in.store.Generation(), "test")
		time.Sleep(4 * time.Second)
		if n := in.store.Calls() - before; n > 2 {
			t.Errorf("%d calls to the store after its restore, want a read and a write", n)
		}
		for _, h := range in.hosts {
			h.start()
		}
		time.Sleep(3 * time.Second)
		for _, h := range in.hosts {
			if len(h.controller.Endpoints().Limited()) != 1 {
				t.Errorf("%s does not hold the limit", h.name)
			}
		}
	})
}

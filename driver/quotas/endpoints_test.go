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
	return &target{in: in, life: fleet.Incarnation{ID: "i-1", StartUnixMs: 7}, byRank: map[int]int{}}
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
				synctest.Test(t, func(t *testing.T) { limited(t, daemons, rate) })
			})
		}
	}
}

func limited(t *testing.T, daemons int, rate float64) {
	in := newInstallation(daemons, 1)
	defer in.end()
	e := newTarget(in)
	time.Sleep(10 * time.Second)
	const sends = 50
	go e.press(in.hosts, steady(sends), 50*time.Second)
	time.Sleep(10 * time.Second)
	e.say(rate, true)
	named := time.Now()
	time.Sleep(time.Second + answersIn)
	unknown := 0
	for _, h := range in.hosts {
		if _, known := h.current().Endpoints().Limit(e.life); !known {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d of %d daemons do not hold the limit a second after the first report", unknown, daemons)
	}
	before := in.drawn()
	time.Sleep(20 * time.Second)
	draws := float64(in.drawn()-before) / 20 / float64(daemons)
	ends := time.Now()
	e.say(0, false)
	time.Sleep(4 * time.Second)
	back := time.Now()
	time.Sleep(4 * time.Second)
	if over := e.worst(); over > 0 {
		t.Errorf("%d requests more than the bound in a window", over)
	}
	came, central := e.use(named.Add(2*time.Second), ends)
	use := float64(came) / float64(central)
	t.Logf("%.2f of what one central bucket admits, worst window %d requests below the bound, %.2f draws per daemon and second", use, -e.worst(), draws)
	if rate > 0 && use < 0.95 {
		t.Errorf("%.2f of what one central bucket admits, want at least 0.95", use)
	}
	if n := e.came(back, back.Add(4*time.Second)); n < sends*4*8/10 {
		t.Errorf("%d requests arrived from 4 s to 8 s after the end of the limit", n)
	}
}

// arrivedBetween returns the number of requests that reached the endpoint in a period.
func (t *target) came(from, to time.Time) int {
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
func TestLimitFarAboveWhatIsSentCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(20, 1)
		defer in.end()
		e := newTarget(in)
		e.say(500, true)
		time.Sleep(10 * time.Second)
		go e.press(in.hosts, steady(50), 30*time.Second)
		time.Sleep(10 * time.Second)
		before, from := in.drawn(), time.Now()
		time.Sleep(15 * time.Second)
		came := e.came(from, time.Now())
		if draws := in.drawn() - before; draws > came/4 {
			t.Errorf("%d draws for %d requests", draws, came)
		}
		if came < 50*15*9/10 {
			t.Errorf("%d requests arrived, of about %d sent", came, 50*15)
		}
	})
}

// An endpoint's limit is below the load. The most urgent requests must get nearly all of it, whichever
// daemons they arrive at.
func TestScarceRoomGoesToTheMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(20, 1)
		defer in.end()
		e := newTarget(in)
		e.ranks = 3
		e.say(4, true)
		time.Sleep(10 * time.Second)
		go e.press(in.hosts, steady(30), 40*time.Second)
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { sum += limitedUnderHarms(t, seed) }) })
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { limitedUnderHarms(t, seed) }) })
	}
}

// limitUnderFaults returns the requests that reached the endpoint as a fraction of those that one
// central bucket would have admitted.
func limitedUnderHarms(t *testing.T, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	daemons := []int{7, 20, 71}[rng.IntN(3)]
	in := newInstallation(daemons, seed)
	defer in.end()
	e := newTarget(in)
	time.Sleep(10 * time.Second)
	sends := []float64{10, 30, 60}[rng.IntN(3)]
	hosts := gathered(rng, in.hosts)
	go e.press(hosts, steady(sends), harmsFor)
	key := "limit/" + e.life.String()
	harms, came, central := []string{}, 0, 0
	for start := time.Now(); time.Since(start) < harmsFor-10*time.Second; {
		rate := []float64{0.4, 1.1, 2, 8, 20}[rng.IntN(5)]
		e.say(rate, true)
		from := time.Now().Add(2 * time.Second)
		for range 1 + rng.IntN(3) {
			time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
			harms = append(harms, in.harm(rng, key))
		}
		time.Sleep(2 * time.Second)
		a, b := e.use(from, time.Now())
		came, central = came+a, central+b
		if rng.IntN(3) == 0 {
			e.say(0, false)
			time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	t.Logf("%d daemons, %d of them with load, %.0f requests a second: %.3f of what one central bucket admits, worst window %d requests below the bound; faults %v", daemons, len(hosts), sends, float64(came)/float64(central), -e.worst(), harms)
	if over := e.worst(); over > 0 {
		t.Errorf("%d requests more than the bound in a window", over)
	}
	return float64(came) / float64(central)
}

// Guards against limits that stay lost after the store is restored from an older copy: one daemon must
// write them again, and daemons that start afterwards must read them.
func TestLimitsOutlastARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(7, 1)
		defer in.end()
		copied := in.store.Backup()
		e := newTarget(in)
		time.Sleep(5 * time.Second)
		e.say(2, true)
		go e.press(in.hosts, steady(20), 4*time.Second)
		time.Sleep(8 * time.Second)
		before := in.store.Calls()
		in.store.Restore(copied)
		in.heard.Observe(in.store.Generation(), "test")
		time.Sleep(4 * time.Second)
		if n := in.store.Calls() - before; n > 2 {
			t.Errorf("%d calls to the store after its restore, want a read and a write", n)
		}
		for _, h := range in.hosts {
			h.start()
		}
		time.Sleep(3 * time.Second)
		for _, h := range in.hosts {
			if len(h.keeper.Endpoints().Limited()) != 1 {
				t.Errorf("%s does not hold the limit", h.name)
			}
		}
	})
}

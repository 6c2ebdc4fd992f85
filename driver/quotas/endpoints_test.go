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

// allSizes is for a run by hand, of half a minute; with the race detector it takes some.
var allSizes = flag.Bool("quotas.sizes", false, "limits of endpoints at hundreds of daemons")

func newTarget(in *installation) *target {
	return &target{in: in, life: fleet.Incarnation{ID: "i-1", StartUnixMs: 7}, byRank: map[int]int{}}
}

// An endpoint names a limit far below what daemons send: within a second all of them keep to
// it, together. It uses what it said that it takes, and gets all again when its need is over.
func TestEndpointGetsWhatItTakes(t *testing.T) {
	for _, daemons := range []int{7, 71, 195, 375} {
		if daemons > 71 && !*allSizes {
			continue // the quotas' test has them in each run, by the same mechanism
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
		t.Errorf("%d of %d daemons do not know the limit a second after its first word", unknown, daemons)
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
		t.Errorf("%d requests over the bound", over)
	}
	came, central := e.use(named.Add(2*time.Second), ends)
	use := float64(came) / float64(central)
	t.Logf("%.2f of what one bucket lets through, %d below the bound, %.2f draws a daemon and second", use, -e.worst(), draws)
	if rate > 0 && use < 0.95 {
		t.Errorf("%.2f of what one bucket lets through", use)
	}
	if n := e.came(back, back.Add(4*time.Second)); n < sends*4*8/10 {
		t.Errorf("%d requests in the 4 s that begin 4 s after the end of the limit", n)
	}
}

// came returns the requests that came in some time.
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

// A limit far above what is sent costs few questions, and refuses nothing.
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
			t.Errorf("%d questions for %d requests", draws, came)
		}
		if came < 50*15*9/10 {
			t.Errorf("%d requests came of some %d", came, 50*15)
		}
	})
}

// What an endpoint takes is less than what callers want: the most urgent requests get nearly all
// of it, at whichever daemons they come.
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
			t.Errorf("by rank %v", e.byRank)
		}
		t.Logf("by rank %v", e.byRank)
	})
}

// Daemons end, are cut off, freeze and start all at once, callers gather at a few of them,
// while an endpoint's limit rises, falls, ends and begins: whatever comes, it gets no more than
// it bears, and most of what it takes.
func TestLimitsHoldUnderRandomHarms(t *testing.T) {
	sum := 0.0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { sum += limitedUnderHarms(t, seed) }) })
	}
	if mean := sum / float64(*runs); *runs >= meanRuns && mean < 0.85 {
		t.Errorf("%.3f of what one bucket lets through, over all runs", mean)
	}
}

// All daemons end once or several times and nobody knows any more that the endpoint names a
// limit: until the first answers had told it again, it got what callers sent, up to 6 requests
// too many. What requests came in the worst windows, sent by daemons that knew of no limit,
// proved it. The limit stands in the store since, and a daemon that starts reads it first.
func TestLimitHoldsWhereAllDaemonsEnd(t *testing.T) {
	for _, seed := range []uint64{1211, 1040, 1121} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { limitedUnderHarms(t, seed) }) })
	}
}

// limitedUnderHarms returns which part came of what one bucket for all would have let through.
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
	t.Logf("%d daemons, %d of them asked, %.0f a second: %.3f of what one bucket lets through, %d below the bound; %v", daemons, len(hosts), sends, float64(came)/float64(central), -e.worst(), harms)
	if over := e.worst(); over > 0 {
		t.Errorf("%d requests over the bound in a window", over)
	}
	return float64(came) / float64(central)
}

// Guards against limits that are gone from the store for good where it comes back from a copy of
// before: one daemon writes them again, and all that start anew know of them.
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
			t.Errorf("%d calls to the store after its return, want a read and a write", n)
		}
		for _, h := range in.hosts {
			h.start()
		}
		time.Sleep(3 * time.Second)
		for _, h := range in.hosts {
			if len(h.keeper.Endpoints().Limited()) != 1 {
				t.Errorf("%s knows of no limit", h.name)
			}
		}
	})
}

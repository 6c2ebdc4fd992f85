package quota

import (
	"math"
	"testing"
	"time"
)

// Guards against ranks that get nothing while more urgent ones find no room, against a less urgent
// rank that gets a larger share, and against shares that use more than is available or leave some of
// it unused.
func TestSelectByRank(t *testing.T) {
	for _, c := range []struct {
		name                string
		available, returned float64
		needed              RankUnits
		want                []float64
		wantReturned        float64
	}{
		{"everything fits", 100, 10, RankUnits{20, 30, 40}, []float64{1, 1, 1}, 1},
		{"nothing is needed", 100, 0, RankUnits{}, []float64{1, 1, 1}, 1},
		{"one rank", 25, 0, RankUnits{100}, []float64{0.25}, 1},
		{"each rank gets 0.8 of the one before", 61, 0, RankUnits{100, 100, 100}, []float64{0.25, 0.2, 0.16}, 1},
		{"a rank without requests does not count", 45, 0, RankUnits{100, 0, 100}, []float64{0.25, 0.25, 0.2}, 1},
		{"the most urgent rank fits, the others share the rest", 10 + 90 + 72, 0, RankUnits{10, 100, 100}, []float64{1, 0.9, 0.72}, 1},
		{"returning requests go first", 100, 40, RankUnits{120}, []float64{0.5}, 1},
		{"returning requests leave a share to new ones", 100, 400, RankUnits{100}, []float64{0.2}, 0.2},
		{"returning requests get what new ones leave", 100, 200, RankUnits{10}, []float64{1}, 0.45},
		{"nothing is available", 0, 10, RankUnits{10, 10}, []float64{0, 0}, 0},
	} {
		s := selectByRank(c.available, c.needed, c.returned, 0.8)
		for rank, want := range c.want {
			if math.Abs(s.New[rank]-want) > 1e-9 {
				t.Errorf("%s: share of rank %d is %.3f, want %.3f", c.name, rank, s.New[rank], want)
			}
		}
		if math.Abs(s.Returned-c.wantReturned) > 1e-9 {
			t.Errorf("%s: share of returning requests is %.3f, want %.3f", c.name, s.Returned, c.wantReturned)
		}
	}
}

// Guards against a daemon that lets more or fewer requests through than the owner selects, and
// against daemons that all let the same ones through.
func TestPassLetsTheShareThrough(t *testing.T) {
	for _, share := range []float64{0, 0.07, 0.25, 0.8, 1} {
		first, passed := 0, 0
		for daemon := range 100 {
			credit := phaseOf(string(rune('a'+daemon)) + "-daemon")
			for i := range 100 {
				if pass(&credit, share) {
					passed++
					if i == 0 {
						first++
					}
				}
			}
		}
		if math.Abs(float64(passed)-share*10000) > 100 {
			t.Errorf("share %.2f: %d of 10000 requests are let through", share, passed)
		}
		if math.Abs(float64(first)-share*100) > 20 {
			t.Errorf("share %.2f: %d of 100 daemons let their first request through", share, first)
		}
	}
}

// Guards against units that are promised to a caller which gives up before the told time, or which is
// told to return a window later: callers refused after it would have to wait for them.
func TestOnlyPatientCallersArePromisedUnits(t *testing.T) {
	c := NewClient("d", bounds)
	c.ReceiveGrant(at(0), "w", "a", Grant{NearLimit: true, SpareRate: 100})
	for i, refusal := range []struct{ cost, timeLeft, want float64 }{
		{200, 20, 2}, {700, 20, 8}, {200, 20, 4}, {200, 5, 6}, {200, 20, 6}, {100, 20, 8},
	} {
		if got := c.AddPatientRefusal(at(0), "w", refusal.cost, at(refusal.timeLeft).Sub(at(0))); got != at(refusal.want).Sub(at(0)) {
			t.Errorf("refusal %d is told %v, want %.0f s", i, got, refusal.want)
		}
	}
}

// Guards against requests that are selected while the workspace is within its quota, and against a
// daemon of a former version, which reports no ranks, that is granted less than before: only its own
// requests are not selected.
func TestOwnerSelectsUnderOverloadOnly(t *testing.T) {
	withRanks := bounds
	withRanks.RankShare = DefaultRankShare
	for _, c := range []struct {
		name     string
		bounds   Bounds
		perDraw  float64 // units of each of 50 draws a second
		selected bool
	}{
		{"half of the rate", withRanks, 10, false},
		{"four times the rate", withRanks, 80, true},
		{"four times the rate, without ranks", bounds, 80, false},
	} {
		o, granted, selected := NewOwner("a", c.bounds, longAgo), 0.0, false
		for i := range 400 {
			d := draw("ranked", c.perDraw)
			if i%2 == 0 {
				d.Daemon = "former"
			} else {
				d.ByRank = RankUnits{0, c.perDraw}
			}
			g := o.Draw(at(10+float64(i)/50), d, 1)
			granted += g.Units
			selected = g.Selection != nil
			if selected && g.SpareRate <= 0 {
				t.Fatalf("%s: nothing is promised to refused callers", c.name)
			}
		}
		if selected != c.selected {
			t.Errorf("%s: selected %v", c.name, selected)
		}
		if want := min(400*c.perDraw, 8*limits.Rate); granted < want {
			t.Errorf("%s: %.0f units granted, want at least %.0f", c.name, granted, want)
		}
	}
}

// Guards against a lost draw whose units by rank the owner never learns.
func TestFailedDrawIsReportedAgain(t *testing.T) {
	c := NewClient("d", bounds)
	c.Select(at(0), "w", 100, 2, false)
	c.Select(at(0), "w", 50, 1, true)
	c.Select(at(0), "w", 10, 99, false)
	first := c.BeginDraw(at(0), "w", "a", limits, 100, 1)
	c.DrawFailed("w")
	again := c.BeginDraw(at(0), "w", "b", limits, 100, 1)
	if want := (RankUnits{2: 100, MaxRanks - 1: 10}); first.ByRank != want || again.ByRank != want || again.Returned != 50 {
		t.Errorf("reported %v, then %v and %.0f returned", first.ByRank, again.ByRank, again.Returned)
	}
}

// Load: a workspace over its quota that sends large requests and, of the same rank, small ones that
// take 2% as many units. Guards against small requests that are refused in proportion although they
// leave hardly any units for others.
func TestSmallRequestsAreNotSelected(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	c := NewClient("d", Bounds{Window: 8 * time.Second})
	for range 20 {
		c.Select(now, "w", 10_000, 2, false)
	}
	c.ReceiveGrant(now, "w", "owner", Grant{NearLimit: true, Selection: &Selection{}})
	for range 20 {
		if !c.Select(now, "w", 200, 2, false) {
			t.Fatal("a small request was refused by its rank")
		}
		if c.Select(now, "w", 10_000, 2, false) {
			t.Fatal("a large request passed a selection of none")
		}
	}
}

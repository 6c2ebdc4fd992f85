package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/fleet"
)

var (
	start       = time.Unix(1_000_000, 0)
	incarnation = fleet.Incarnation{ID: "i-1", StartUnixMs: 5}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// input is an answer, or a report of another daemon.
type input struct {
	now, sent float64
	rate      float64
	limited   bool
	version   uint64 // version of another daemon's report, relative to the first one here; 0: an answer
}

func TestTheNewestWordCounts(t *testing.T) {
	for _, c := range []struct {
		name    string
		inputs  []input
		rate    float64
		limited bool
	}{
		{"an answer without a limit before any report", []input{{1, 0.9, 0, false, 0}}, 0, false},
		{"a first report, to a request sent long ago", []input{{10, 1, 1.1, true, 0}}, 1.1, true},
		{"it rises", []input{{1, 0.9, 1, true, 0}, {2, 1.5, 3, true, 0}}, 3, true},
		{"it falls", []input{{1, 0.9, 3, true, 0}, {2, 1.5, 1, true, 0}}, 1, true},
		{"it ends", []input{{1, 0.9, 3, true, 0}, {2, 1.5, 0, false, 0}}, 0, false},
		{"a late answer does not end it", []input{{1, 0.9, 3, true, 0}, {2, 0.5, 0, false, 0}}, 3, true},
		{"a late answer does not begin it again", []input{{1, 0.9, 3, true, 0}, {2, 1.5, 0, false, 0}, {2.1, 1.8, 3, true, 0}}, 0, false},
		{"it begins again", []input{{1, 0.9, 3, true, 0}, {2, 1.5, 0, false, 0}, {3, 2.5, 2, true, 0}}, 2, true},
		{"another daemon has received a newer report", []input{{1, 0.9, 3, true, 0}, {2, 0, 1, true, 1}}, 1, true},
		{"an answer to a request sent before that", []input{{1, 0.9, 3, true, 0}, {2, 0, 1, true, 1}, {2.1, 1.9, 3, true, 0}}, 1, true},
		{"an answer to a request sent after it", []input{{1, 0.9, 3, true, 0}, {2, 0, 1, true, 1}, {2.1, 2.05, 3, true, 0}}, 3, true},
		{"another daemon reports its end", []input{{1, 0.9, 3, true, 0}, {2, 0, 0, false, 1}}, 0, false},
	} {
		tr := New("d")
		first := uint64(0)
		for _, s := range c.inputs {
			if s.version > 0 {
				tr.ReceiveReport(at(s.now), incarnation, Report{Rate: s.rate, Limited: s.limited, Version: first + s.version, Reporter: "other"})
				continue
			}
			tr.ObserveReport(at(s.now), at(s.sent), incarnation, s.rate, s.limited)
			if r, _ := tr.Latest(incarnation); first == 0 {
				first = r.Version
			}
		}
		r, limited := tr.Limited()[incarnation]
		if limited != c.limited || limited && r.Rate != c.rate {
			t.Errorf("%s: limited %v to %g a second, want %v to %g", c.name, limited, r.Rate, c.limited, c.rate)
		}
	}
}

// Guards against daemons that miss a limit, and against endpoints whose limit changes often and
// causes many messages: a limit that begins or ends is published at once, changes in between at
// most once a second, and a limit that lasts is published again for daemons which start later.
func TestWhatIsToldOfALimit(t *testing.T) {
	tr := New("d")
	publishes := func(seconds, rate float64, limited bool) bool {
		c, _ := tr.ObserveReport(at(seconds), at(seconds-0.01), incarnation, rate, limited)
		return c.Publish
	}
	for _, c := range []struct {
		seconds, rate      float64
		limited, published bool
	}{
		{1, 2, true, true}, {1.1, 2, true, false}, {1.2, 2.1, true, false}, {1.9, 2.1, true, false}, {2.1, 2.1, true, true}, {2.2, 2.1, true, false},
		{2.3, 0, false, true}, {2.4, 0, false, false}, {2.5, 3, true, true},
		{250, 3, true, false}, {250 + 300, 3, true, true}, {551, 3, true, false},
		{600, 0, false, true}, {600.05, 3, true, false}, {600.08, 0, false, false},
	} {
		if got := publishes(c.seconds, c.rate, c.limited); got != c.published {
			t.Errorf("at %g s, %g a second: published %v, want %v", c.seconds, c.rate, got, c.published)
		}
	}
	if n := len(tr.TakePending(at(600.5))); n != 0 {
		t.Errorf("%d changes published shortly after the last", n)
	}
	if n := len(tr.TakePending(at(602))); n != 1 || len(tr.TakePending(at(602.1))) != 0 {
		t.Errorf("%d pending changes published, want one, once", n)
	}
}

// Guards against state that is kept for ever, and against limits removed too early.
func TestRetention(t *testing.T) {
	tr := New("d")
	removed, ended, listed := fleet.Incarnation{ID: "removed"}, fleet.Incarnation{ID: "ended"}, fleet.Incarnation{ID: "listed"}
	for _, l := range []fleet.Incarnation{removed, ended, listed} {
		tr.ObserveReport(at(0), at(0), l, 1, true)
	}
	tr.ObserveReport(at(1), at(0.5), ended, 0, false)
	isListed := func(l fleet.Incarnation) bool { return l != removed }
	if dropped := tr.Prune(at(30), isListed); len(dropped) != 0 {
		t.Errorf("%v removed though the list may be old", dropped)
	}
	if dropped := tr.Prune(at(100), isListed); len(dropped) != 1 || dropped[0].Incarnation != removed {
		t.Errorf("%v removed, want only the incarnation that is not listed", dropped)
	}
	if _, known := tr.Latest(ended); !known {
		t.Error("the end of a limit was removed while late reports may arrive")
	}
	tr.Prune(at(1000), isListed)
	if _, known := tr.Latest(ended); known {
		t.Error("the end of a limit was not removed")
	}
	if _, known := tr.Latest(listed); !known {
		t.Error("the limit of a listed endpoint was removed")
	}
	if !Stale(at(1000), uint64(at(0).UnixMilli())) || Stale(at(300), uint64(at(0).UnixMilli())) {
		t.Error("reports become stale too early or too late")
	}
}

// Guards against daemons that hold different reports although they have exchanged all of them, in
// any order.
func TestAllComeToOneBelief(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{New("a"), New("b"), New("c")}
		var published []Report
		now := 1.0
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			tr := trackers[rapid.IntRange(0, 2).Draw(t, "daemon")]
			rate, limited := float64(rapid.IntRange(0, 3).Draw(t, "rate")), rapid.Bool().Draw(t, "limited")
			before, _ := tr.Latest(incarnation)
			if c, ok := tr.ObserveReport(at(now), at(now-0.005), incarnation, rate, limited); ok {
				published = append(published, c.Now)
				if c.Now.Version < before.Version {
					t.Fatalf("version %d after %d", c.Now.Version, before.Version)
				}
			}
		}
		for _, tr := range trackers {
			for _, i := range rapid.Permutation(indices(len(published))).Draw(t, "order") {
				tr.ReceiveReport(at(now+1), incarnation, published[i])
			}
		}
		first, _ := trackers[0].Latest(incarnation)
		for _, tr := range trackers[1:] {
			if r, _ := tr.Latest(incarnation); r.Version != first.Version {
				t.Fatalf("%+v and %+v", first, r)
			}
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestCapacityUnderALimit(t *testing.T) {
	for _, c := range []struct {
		rate    float64
		runTime time.Duration
		want    int
	}{{0, time.Second, 1}, {1.1, time.Second, 1}, {10, 500 * time.Millisecond, 5}, {100, time.Second, 100}} {
		if got := (Report{Rate: c.rate}).Capacity(c.runTime); got != c.want {
			t.Errorf("%g a second that run %v: %d, want %d", c.rate, c.runTime, got, c.want)
		}
	}
}

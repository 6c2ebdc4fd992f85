package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/fleet"
)

var (
	start = time.Unix(1_000_000, 0)
	life  = fleet.Incarnation{ID: "i-1", StartUnixMs: 5}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// input is an answer, or a report of another daemon.
type said struct {
	now, sent float64
	rate      float64
	limited   bool
	told      uint64 // version of another daemon's report, relative to the first one here; 0: an answer
}

func TestTheNewestWordCounts(t *testing.T) {
	for _, c := range []struct {
		name    string
		said    []said
		rate    float64
		limited bool
	}{
		{"an answer without a limit before any report", []said{{1, 0.9, 0, false, 0}}, 0, false},
		{"a first report, to a request sent long ago", []said{{10, 1, 1.1, true, 0}}, 1.1, true},
		{"it rises", []said{{1, 0.9, 1, true, 0}, {2, 1.5, 3, true, 0}}, 3, true},
		{"it falls", []said{{1, 0.9, 3, true, 0}, {2, 1.5, 1, true, 0}}, 1, true},
		{"it ends", []said{{1, 0.9, 3, true, 0}, {2, 1.5, 0, false, 0}}, 0, false},
		{"a late answer does not end it", []said{{1, 0.9, 3, true, 0}, {2, 0.5, 0, false, 0}}, 3, true},
		{"a late answer does not begin it again", []said{{1, 0.9, 3, true, 0}, {2, 1.5, 0, false, 0}, {2.1, 1.8, 3, true, 0}}, 0, false},
		{"it begins again", []said{{1, 0.9, 3, true, 0}, {2, 1.5, 0, false, 0}, {3, 2.5, 2, true, 0}}, 2, true},
		{"another daemon has received a newer report", []said{{1, 0.9, 3, true, 0}, {2, 0, 1, true, 1}}, 1, true},
		{"an answer to a request sent before that", []said{{1, 0.9, 3, true, 0}, {2, 0, 1, true, 1}, {2.1, 1.9, 3, true, 0}}, 1, true},
		{"an answer to a request sent after it", []said{{1, 0.9, 3, true, 0}, {2, 0, 1, true, 1}, {2.1, 2.05, 3, true, 0}}, 3, true},
		{"another daemon reports its end", []said{{1, 0.9, 3, true, 0}, {2, 0, 0, false, 1}}, 0, false},
	} {
		b := New("d")
		first := uint64(0)
		for _, s := range c.said {
			if s.told > 0 {
				b.ReceiveReport(at(s.now), life, Report{Rate: s.rate, Limited: s.limited, Version: first + s.told, Reporter: "other"})
				continue
			}
			b.ObserveReport(at(s.now), at(s.sent), life, s.rate, s.limited)
			if w, _ := b.Latest(life); first == 0 {
				first = w.Version
			}
		}
		w, limited := b.Limited()[life]
		if limited != c.limited || limited && w.Rate != c.rate {
			t.Errorf("%s: limited %v to %g a second, want %v to %g", c.name, limited, w.Rate, c.limited, c.rate)
		}
	}
}

// Guards against daemons that miss a limit, and against endpoints whose limit changes often and
// causes many messages: a limit that begins or ends is published at once, changes in between at
// most once a second, and a limit that lasts is published again for daemons which start later.
func TestWhatIsToldOfALimit(t *testing.T) {
	b := New("d")
	tells := func(seconds, rate float64, limited bool) bool {
		c, _ := b.ObserveReport(at(seconds), at(seconds-0.01), life, rate, limited)
		return c.Publish
	}
	for _, c := range []struct {
		seconds, rate float64
		limited, told bool
	}{
		{1, 2, true, true}, {1.1, 2, true, false}, {1.2, 2.1, true, false}, {1.9, 2.1, true, false}, {2.1, 2.1, true, true}, {2.2, 2.1, true, false},
		{2.3, 0, false, true}, {2.4, 0, false, false}, {2.5, 3, true, true},
		{250, 3, true, false}, {250 + 300, 3, true, true}, {551, 3, true, false},
		{600, 0, false, true}, {600.05, 3, true, false}, {600.08, 0, false, false},
	} {
		if got := tells(c.seconds, c.rate, c.limited); got != c.told {
			t.Errorf("at %g s, %g a second: published %v, want %v", c.seconds, c.rate, got, c.told)
		}
	}
	if n := len(b.TakePending(at(600.5))); n != 0 {
		t.Errorf("%d changes published shortly after the last", n)
	}
	if n := len(b.TakePending(at(602))); n != 1 || len(b.TakePending(at(602.1))) != 0 {
		t.Errorf("%d pending changes published, want one, once", n)
	}
}

// Guards against state that is kept for ever, and against limits removed too early.
func TestWhatIsForgotten(t *testing.T) {
	b := New("d")
	gone, ended, listed := fleet.Incarnation{ID: "gone"}, fleet.Incarnation{ID: "ended"}, fleet.Incarnation{ID: "listed"}
	for _, l := range []fleet.Incarnation{gone, ended, listed} {
		b.ObserveReport(at(0), at(0), l, 1, true)
	}
	b.ObserveReport(at(1), at(0.5), ended, 0, false)
	there := func(l fleet.Incarnation) bool { return l != gone }
	if dropped := b.Prune(at(30), there); len(dropped) != 0 {
		t.Errorf("%v removed though the list may be old", dropped)
	}
	if dropped := b.Prune(at(100), there); len(dropped) != 1 || dropped[0].Incarnation != gone {
		t.Errorf("%v removed, want only the incarnation that is not listed", dropped)
	}
	if _, known := b.Latest(ended); !known {
		t.Error("the end of a limit was removed while late reports may arrive")
	}
	b.Prune(at(1000), there)
	if _, known := b.Latest(ended); known {
		t.Error("the end of a limit was not removed")
	}
	if _, known := b.Latest(listed); !known {
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
		books := []*Tracker{New("a"), New("b"), New("c")}
		var told []Report
		now := 1.0
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			b := books[rapid.IntRange(0, 2).Draw(t, "daemon")]
			rate, limited := float64(rapid.IntRange(0, 3).Draw(t, "rate")), rapid.Bool().Draw(t, "limited")
			before, _ := b.Latest(life)
			if c, ok := b.ObserveReport(at(now), at(now-0.005), life, rate, limited); ok {
				told = append(told, c.Now)
				if c.Now.Version < before.Version {
					t.Fatalf("version %d after %d", c.Now.Version, before.Version)
				}
			}
		}
		for _, b := range books {
			for _, i := range rapid.Permutation(indices(len(told))).Draw(t, "order") {
				b.ReceiveReport(at(now+1), life, told[i])
			}
		}
		first, _ := books[0].Latest(life)
		for _, b := range books[1:] {
			if w, _ := b.Latest(life); w.Version != first.Version {
				t.Fatalf("%+v and %+v", first, w)
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

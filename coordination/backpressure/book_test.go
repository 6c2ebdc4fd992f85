package backpressure

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const leaveWithin = 2 * time.Second

func newTracker() *Tracker { return New(Options{LeaveWithin: leaveWithin}) }

func at(d time.Duration) time.Time { return start.Add(d) }

var one = fleet.Incarnation{ID: "e", StartUnixMs: 1000}

// Guards against a pause that ends early: by an answer to an older request, by a shorter pause, by
// an answer without a pause, or by a rate limit that has room again.
func TestPauseEndsAtItsTimeOnly(t *testing.T) {
	tr := newTracker()
	tr.ObservePause(start, one, 3*time.Second, 64)
	tr.ObserveAnswer(at(time.Second), start.Add(-time.Second), one)
	tr.ObservePause(at(time.Second), one, 500*time.Millisecond, 64)
	tr.SetLimit(at(time.Second), one, limit.Report{Rate: 5, Limited: true})
	tr.CloseFor(at(time.Second), one, time.Millisecond)
	tr.SetLimit(at(2*time.Second), one, limit.Report{})
	for _, d := range []time.Duration{0, time.Second, 2 * time.Second, 2999 * time.Millisecond} {
		if got := tr.Peek(at(d), one, Request{}); got.Open || got.Reason != Paused || got.OpensIn < 3*time.Second-d {
			t.Errorf("after %v: %+v", d, got)
		}
	}
	if !tr.Peek(at(4*time.Second), one, Request{}).Open {
		t.Error("still closed after the pause and its spread")
	}
	tr.ObservePause(at(4*time.Second), one, time.Second, 64)
	tr.ObservePause(at(4*time.Second), one, 9*time.Second, 64)
	if got := tr.Peek(at(12*time.Second), one, Request{}); got.Open {
		t.Error("the longest pause does not count")
	}
}

// Guards against an endpoint that stays closed after its limit has ended, because a draw from the limit
// that was under way at the end was refused.
func TestRefusalOfAnEndedLimitClosesNothing(t *testing.T) {
	tr := newTracker()
	tr.SetLimit(start, one, limit.Report{Rate: 0.25, Limited: true, Version: 1})
	tr.SetLimit(at(time.Second), one, limit.Report{Version: 2})
	tr.CloseFor(at(time.Second), one, 4*time.Second)
	if got := tr.Peek(at(time.Second), one, Request{}); !got.Open {
		t.Errorf("the limit has ended, and the endpoint is closed: %+v", got)
	}
	tr.SetLimit(at(2*time.Second), one, limit.Report{Rate: 0.25, Limited: true, Version: 3})
	tr.CloseFor(at(2*time.Second), one, 4*time.Second)
	if tr.Peek(at(2*time.Second), one, Request{}).Open {
		t.Error("open without room in a new limit")
	}
}

// Guards against many requests at once after a pause: one request at a time goes to the endpoint
// until an answer to a request sent after the pause shows that it takes requests again.
func TestAfterAPauseOneRequestTries(t *testing.T) {
	tr := newTracker()
	tr.ObservePause(start, one, time.Second, 64)
	now := at(2 * time.Second)
	if !tr.Admit(now, one, Request{}).Open || tr.Admit(now, one, Request{}).Open || tr.Peek(now, one, Request{}).Open {
		t.Fatal("not exactly one request is admitted at once")
	}
	now = now.Add(probeEvery)
	if !tr.Admit(now, one, Request{}).Open {
		t.Fatal("no request follows one that is not answered")
	}
	tr.ObserveAnswer(now, start, one)
	if tr.Admit(now, one, Request{}).Open {
		t.Fatal("an answer to a request from before the pause counts")
	}
	tr.ObserveAnswer(now.Add(time.Millisecond), now, one)
	for range 10 {
		if !tr.Admit(now.Add(time.Millisecond), one, Request{}).Open {
			t.Fatal("closed though it takes requests again")
		}
	}
}

// Guards against daemons that all resume at the same moment.
func TestDaemonsResumeAtDifferentTimes(t *testing.T) {
	const daemons, slots = 375, 64
	perSecond := map[int64]int{}
	for i := range daemons {
		tr := New(Options{LeaveWithin: leaveWithin, Seed: uint64(i)})
		tr.SetDaemons(daemons)
		tr.ObservePause(start, one, 10*time.Second, slots)
		in := tr.Peek(start, one, Request{}).OpensIn
		if in < 10*time.Second {
			t.Fatalf("resumes after %v of 10 s", in)
		}
		perSecond[int64(in/time.Second)]++
	}
	for second, n := range perSecond {
		if n > slots*3/2 {
			t.Errorf("%d daemons resume in second %d at an endpoint of %d slots", n, second, slots)
		}
	}
}

// Guards against a leaving endpoint that is used after the time in which requests may arrive there,
// and against one that is not used although nothing else can serve.
func TestLeavingEndpointIsALastResortForAWhile(t *testing.T) {
	for name, c := range map[string]struct {
		ready time.Time
		until time.Duration
	}{
		"listed as staying now":          {start, 1500 * time.Millisecond},
		"listed as staying a second ago": {start.Add(-time.Second), 500 * time.Millisecond},
		"listed as leaving, or not":      {time.Time{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTracker()
			if !tr.SetLeaving(start, one, c.ready) || tr.SetLeaving(at(time.Second), one, at(time.Second)) {
				t.Fatal("the report that the endpoint leaves must be new once, whoever repeats it")
			}
			for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
				got := tr.Admit(at(d), one, Request{})
				if got.Open || got.LastResort != (d < c.until) || got.Closed() == got.LastResort {
					t.Fatalf("after %v: %+v", d, got)
				}
			}
		})
	}
}

// Guards against signals of one incarnation that are applied to another.
func TestSignalsHoldForOneIncarnation(t *testing.T) {
	tr := newTracker()
	next := fleet.Incarnation{ID: "e", StartUnixMs: 2000}
	tr.SetLeaving(start, one, start)
	tr.ObservePause(start, one, time.Minute, 1)
	if !tr.Peek(start, next, Request{}).Open {
		t.Error("the next incarnation is closed")
	}
	tr.ObservePause(start, next, time.Second, 1)
	tr.SetLeaving(start, one, start)
	if got := tr.Peek(start, next, Request{}); got.Reason != Paused || got.OpensIn > 2*time.Second {
		t.Errorf("a late signal of the previous incarnation changed the next: %+v", got)
	}
	unknownStart := fleet.Incarnation{ID: "u"}
	tr.SetLeaving(start, unknownStart, time.Time{})
	if tr.Peek(start, fleet.Incarnation{ID: "u", StartUnixMs: 5}, Request{}).Open {
		t.Error("a signal is lost where the start of the incarnation becomes known later")
	}
}

// Guards against signals that cancel each other: in any order, an incarnation that leaves is never
// open, and no request is admitted within a requested pause.
func TestWhatWasSaidIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTracker()
		now := start
		var pausedUntil time.Time
		left, leftAt := false, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond
				tr.ObservePause(now, one, d, 1+rapid.IntRange(0, 64).Draw(t, "slots"))
				pausedUntil = later(pausedUntil, now.Add(d))
			case 1:
				if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
					tr.SetLeaving(now, one, now)
					if !left {
						left, leftAt = true, now
					}
				}
			case 2:
				tr.ObserveAnswer(now, now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "ago"))*time.Millisecond), one)
			case 3:
				tr.SetLimit(now, one, limit.Report{Rate: 1, Limited: rapid.Bool().Draw(t, "limited")})
			case 4:
				tr.CloseFor(now, one, time.Duration(rapid.IntRange(0, 500).Draw(t, "full"))*time.Millisecond)
			case 5:
				tr.Prune(now, func(fleet.Incarnation) bool { return rapid.Bool().Draw(t, "listed") })
			default:
				d := tr.Admit(now, one, Request{})
				switch {
				case left && d.Open:
					t.Fatalf("open after it has reported leaving: %+v", d)
				case left && d.LastResort && !now.Before(leftAt.Add(leaveWithin)):
					t.Fatalf("used %v after it has reported leaving", now.Sub(leftAt))
				case !d.Closed() && now.Before(pausedUntil):
					t.Fatalf("admitted %v before the end of a pause", pausedUntil.Sub(now))
				}
			}
		}
	})
}

// Guards against deadlocks by locks taken in different orders: endpoints are pruned while others
// ask for a pause.
func TestBookIsSafeForConcurrentUse(t *testing.T) {
	tr := newTracker()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 2000 {
				inc := fleet.Incarnation{ID: fmt.Sprint(n % 7)}
				now := at(time.Duration(n) * time.Second)
				switch (n + i) % 5 {
				case 0:
					tr.ObservePause(now, inc, time.Second, 8)
				case 1:
					tr.Prune(now.Add(time.Hour), func(fleet.Incarnation) bool { return false })
				case 2:
					tr.Dequeue(tr.Enqueue(now, inc, givesUpIn(time.Minute)))
				case 3:
					tr.Admit(now, inc, Request{})
				case 4:
					tr.SetLeaving(now, inc, now)
				}
			}
		})
	}
	wg.Wait()
}

func BenchmarkPeekWithoutSignals(b *testing.B) {
	tracker := newTracker()
	for b.Loop() {
		tracker.Peek(start, one, Request{})
	}
}

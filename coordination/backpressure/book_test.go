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

func newBook() *Tracker { return New(Options{LeaveWithin: leaveWithin}) }

func at(d time.Duration) time.Time { return start.Add(d) }

var one = fleet.Incarnation{ID: "e", StartUnixMs: 1000}

// Guards against a pause that ends early: by an answer to an older request, by a shorter pause, by
// an answer without a pause, or by a rate limit that has room again.
func TestPauseEndsAtItsTimeOnly(t *testing.T) {
	b := newBook()
	b.ObservePause(start, one, 3*time.Second, 64)
	b.ObserveAnswer(at(time.Second), start.Add(-time.Second), one)
	b.ObservePause(at(time.Second), one, 500*time.Millisecond, 64)
	b.SetLimit(at(time.Second), one, limit.Report{Rate: 5, Limited: true})
	b.CloseFor(at(time.Second), one, time.Millisecond)
	b.SetLimit(at(2*time.Second), one, limit.Report{})
	for _, d := range []time.Duration{0, time.Second, 2 * time.Second, 2999 * time.Millisecond} {
		if got := b.Peek(at(d), one, Request{}); got.Open || got.Reason != Paused || got.OpensIn < 3*time.Second-d {
			t.Errorf("after %v: %+v", d, got)
		}
	}
	if !b.Peek(at(4*time.Second), one, Request{}).Open {
		t.Error("still closed after the pause and its spread")
	}
	b.ObservePause(at(4*time.Second), one, time.Second, 64)
	b.ObservePause(at(4*time.Second), one, 9*time.Second, 64)
	if got := b.Peek(at(12*time.Second), one, Request{}); got.Open {
		t.Error("the longest pause does not count")
	}
}

// Guards against many requests at once after a pause: one request at a time goes to the endpoint
// until an answer to a request sent after the pause shows that it takes requests again.
func TestAfterAPauseOneRequestTries(t *testing.T) {
	b := newBook()
	b.ObservePause(start, one, time.Second, 64)
	now := at(2 * time.Second)
	if !b.Admit(now, one, Request{}).Open || b.Admit(now, one, Request{}).Open || b.Peek(now, one, Request{}).Open {
		t.Fatal("not exactly one request is admitted at once")
	}
	now = now.Add(trialEvery)
	if !b.Admit(now, one, Request{}).Open {
		t.Fatal("no request follows one that is not answered")
	}
	b.ObserveAnswer(now, start, one)
	if b.Admit(now, one, Request{}).Open {
		t.Fatal("an answer to a request from before the pause counts")
	}
	b.ObserveAnswer(now.Add(time.Millisecond), now, one)
	for range 10 {
		if !b.Admit(now.Add(time.Millisecond), one, Request{}).Open {
			t.Fatal("closed though it takes requests again")
		}
	}
}

// Guards against daemons that all resume at the same moment.
func TestDaemonsResumeAtDifferentTimes(t *testing.T) {
	const daemons, slots = 375, 64
	perSecond := map[int64]int{}
	for i := range daemons {
		b := New(Options{LeaveWithin: leaveWithin, Seed: uint64(i)})
		b.SetDaemons(daemons)
		b.ObservePause(start, one, 10*time.Second, slots)
		in := b.Peek(start, one, Request{}).OpensIn
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
			b := newBook()
			if !b.SetLeaving(start, one, c.ready) || b.SetLeaving(at(time.Second), one, at(time.Second)) {
				t.Fatal("the report that the endpoint leaves must be new once, whoever repeats it")
			}
			for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
				got := b.Admit(at(d), one, Request{})
				if got.Open || got.LastResort != (d < c.until) || got.Closed() == got.LastResort {
					t.Fatalf("after %v: %+v", d, got)
				}
			}
		})
	}
}

// Guards against signals of one incarnation that are applied to another.
func TestWordsHoldForOneLife(t *testing.T) {
	b := newBook()
	next := fleet.Incarnation{ID: "e", StartUnixMs: 2000}
	b.SetLeaving(start, one, start)
	b.ObservePause(start, one, time.Minute, 1)
	if !b.Peek(start, next, Request{}).Open {
		t.Error("the next incarnation is closed")
	}
	b.ObservePause(start, next, time.Second, 1)
	b.SetLeaving(start, one, start)
	if got := b.Peek(start, next, Request{}); got.Reason != Paused || got.OpensIn > 2*time.Second {
		t.Errorf("a late signal of the previous incarnation changed the next: %+v", got)
	}
	unborn := fleet.Incarnation{ID: "u"}
	b.SetLeaving(start, unborn, time.Time{})
	if b.Peek(start, fleet.Incarnation{ID: "u", StartUnixMs: 5}, Request{}).Open {
		t.Error("a signal is lost where the start of the incarnation becomes known later")
	}
}

// Guards against signals that cancel each other: in any order, an incarnation that leaves is never
// open, and no request is admitted within a requested pause.
func TestWhatWasSaidIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook()
		now := start
		var asked time.Time
		left, leftAt := false, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond
				b.ObservePause(now, one, d, 1+rapid.IntRange(0, 64).Draw(t, "slots"))
				asked = later(asked, now.Add(d))
			case 1:
				if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
					b.SetLeaving(now, one, now)
					if !left {
						left, leftAt = true, now
					}
				}
			case 2:
				b.ObserveAnswer(now, now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "ago"))*time.Millisecond), one)
			case 3:
				b.SetLimit(now, one, limit.Report{Rate: 1, Limited: rapid.Bool().Draw(t, "limited")})
			case 4:
				b.CloseFor(now, one, time.Duration(rapid.IntRange(0, 500).Draw(t, "full"))*time.Millisecond)
			case 5:
				b.Prune(now, func(fleet.Incarnation) bool { return rapid.Bool().Draw(t, "listed") })
			default:
				d := b.Admit(now, one, Request{})
				switch {
				case left && d.Open:
					t.Fatalf("open after it has reported leaving: %+v", d)
				case left && d.LastResort && !now.Before(leftAt.Add(leaveWithin)):
					t.Fatalf("used %v after it has reported leaving", now.Sub(leftAt))
				case !d.Closed() && now.Before(asked):
					t.Fatalf("admitted %v before the end of a pause", asked.Sub(now))
				}
			}
		}
	})
}

// Guards against deadlocks by locks taken in different orders: endpoints are pruned while others
// ask for a pause.
func TestBookIsSafeForConcurrentUse(t *testing.T) {
	b := newBook()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 2000 {
				life := fleet.Incarnation{ID: fmt.Sprint(n % 7)}
				now := at(time.Duration(n) * time.Second)
				switch (n + i) % 5 {
				case 0:
					b.ObservePause(now, life, time.Second, 8)
				case 1:
					b.Prune(now.Add(time.Hour), func(fleet.Incarnation) bool { return false })
				case 2:
					b.Dequeue(b.Enqueue(now, life, leavingIn(time.Minute)))
				case 3:
					b.Admit(now, life, Request{})
				case 4:
					b.SetLeaving(now, life, now)
				}
			}
		})
	}
	wg.Wait()
}

func BenchmarkLookWhereNothingWasSaid(b *testing.B) {
	book := newBook()
	for b.Loop() {
		book.Peek(start, one, Request{})
	}
}

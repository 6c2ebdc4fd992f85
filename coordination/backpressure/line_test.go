package backpressure

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
)

func leavingIn(d time.Duration) Request { return Request{Rank: 1, Deadline: at(d)} }

// Guards against a request that overtakes waiting ones: the more urgent comes first, then the one
// whose caller gives up first, and a new request after all of its rank.
func TestLineOrdersThoseThatWait(t *testing.T) {
	b := newBook()
	b.SetLimit(start, one, limit.Report{Rate: 2, Limited: true})
	late := b.Enqueue(start, one, leavingIn(9*time.Second))
	early := b.Enqueue(start, one, leavingIn(5*time.Second))
	for _, c := range []struct {
		name  string
		ask   Request
		ahead int
	}{
		{"the first", Request{Rank: 1, Deadline: at(5 * time.Second), Waiter: early}, 0},
		{"the second", Request{Rank: 1, Deadline: at(9 * time.Second), Waiter: late}, 1},
		{"a new request", leavingIn(15 * time.Second), 2},
		{"a retrying request", leavingIn(6 * time.Second), 1},
		{"a more urgent request", Request{Rank: 0, Deadline: at(15 * time.Second)}, 0},
		{"a less urgent request", Request{Rank: 2, Deadline: at(time.Second)}, 2},
	} {
		turn := b.EstimateWait(start, one, c.ask, 0.5)
		if want := time.Duration(c.ahead) * 2 * time.Second; turn != want {
			t.Errorf("%s: wait of %v, want %v", c.name, turn, want)
		}
		if d := b.Peek(start, one, c.ask); d.Open != (c.ahead == 0) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
	b.Dequeue(early)
	if d := b.Admit(start, one, Request{Rank: 1, Deadline: at(9 * time.Second), Waiter: late}); !d.Open {
		t.Errorf("the next waiting request is not admitted: %+v", d)
	}
	b.Dequeue(late)
	if d := b.Peek(start, one, leavingIn(time.Minute)); !d.Open {
		t.Errorf("closed though no request waits: %+v", d)
	}
}

// Guards against callers that are all told the same retry time, and against a new caller that takes
// the place of one that was told to retry before.
func TestCallersSentAwayHaveTurnsOfTheirOwn(t *testing.T) {
	b := newBook()
	b.SetLimit(start, one, limit.Report{Rate: 1, Limited: true})
	b.CloseFor(start, one, time.Second)
	last := time.Duration(0)
	for i := range 5 {
		ask := leavingIn(15*time.Second + time.Duration(i))
		turn := b.EstimateWait(start, one, ask, 1)
		if i > 0 && turn != last+time.Second {
			t.Fatalf("caller %d should retry in %v, the one before in %v", i, turn, last)
		}
		b.ReserveRetry(start, one, ask, turn)
		last = turn
	}
	back := leavingIn(15 * time.Second) // the first of these callers
	if turn := b.EstimateWait(at(time.Second), one, back, 1); turn != 0 {
		t.Errorf("the first caller retries in time and has to wait %v", turn)
	}
	if turn := b.EstimateWait(at(time.Second), one, leavingIn(16*time.Second), 1); turn < 4*time.Second {
		t.Errorf("a new caller waits %v, less than the callers that were told to retry", turn)
	}
	b.ReserveRetry(start, one, leavingIn(3*time.Second), 10*time.Second)
	if turn := b.EstimateWait(at(5*time.Second), one, leavingIn(30*time.Second), 1); turn != 0 {
		t.Errorf("wait of %v for callers whose retry time is over or that have given up", turn)
	}
}

// Guards against requests that wait in a queue although the endpoint accepts all requests.
func TestOpenEndpointHasNoLine(t *testing.T) {
	b := newBook()
	b.ObservePause(start, one, time.Second, 64)
	b.Enqueue(start, one, leavingIn(2*time.Second))
	now := at(3 * time.Second)
	b.ObserveAnswer(now, now.Add(-time.Millisecond), one)
	if d := b.Peek(now, one, leavingIn(15*time.Second)); !d.Open {
		t.Errorf("%+v", d)
	}
	if turn := b.EstimateWait(now, one, leavingIn(15*time.Second), 1); turn != 0 {
		t.Errorf("wait of %v, want none", turn)
	}
}

package backpressure

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
)

func givesUpIn(d time.Duration) Request { return Request{Rank: 1, Deadline: at(d)} }

// Guards against a request that overtakes waiting ones: the more urgent comes first, then the one
// whose caller gives up first, and a new request after all of its rank.
func TestLineOrdersThoseThatWait(t *testing.T) {
	tr := newTracker()
	tr.SetLimit(start, one, limit.Report{Rate: 2, Limited: true})
	late := tr.Enqueue(start, one, givesUpIn(9*time.Second))
	early := tr.Enqueue(start, one, givesUpIn(5*time.Second))
	for _, c := range []struct {
		name    string
		request Request
		ahead   int
	}{
		{"the first", Request{Rank: 1, Deadline: at(5 * time.Second), Waiter: early}, 0},
		{"the second", Request{Rank: 1, Deadline: at(9 * time.Second), Waiter: late}, 1},
		{"a new request", givesUpIn(15 * time.Second), 2},
		{"a retrying request", givesUpIn(6 * time.Second), 1},
		{"a more urgent request", Request{Rank: 0, Deadline: at(15 * time.Second)}, 0},
		{"a less urgent request", Request{Rank: 2, Deadline: at(time.Second)}, 2},
	} {
		wait := tr.EstimateWait(start, one, c.request, 0.5)
		if want := time.Duration(c.ahead) * 2 * time.Second; wait != want {
			t.Errorf("%s: wait of %v, want %v", c.name, wait, want)
		}
		if d := tr.Peek(start, one, c.request); d.Open != (c.ahead == 0) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
	tr.Dequeue(early)
	if d := tr.Admit(start, one, Request{Rank: 1, Deadline: at(9 * time.Second), Waiter: late}); !d.Open {
		t.Errorf("the next waiting request is not admitted: %+v", d)
	}
	tr.Dequeue(late)
	if d := tr.Peek(start, one, givesUpIn(time.Minute)); !d.Open {
		t.Errorf("closed though no request waits: %+v", d)
	}
}

// Guards against callers that are all told the same retry time, and against a new caller that takes
// the place of one that was told to retry before.
func TestCallersSentAwayHaveTurnsOfTheirOwn(t *testing.T) {
	tr := newTracker()
	tr.SetLimit(start, one, limit.Report{Rate: 1, Limited: true})
	tr.CloseFor(start, one, time.Second)
	last := time.Duration(0)
	for i := range 5 {
		request := givesUpIn(15*time.Second + time.Duration(i))
		wait := tr.EstimateWait(start, one, request, 1)
		if i > 0 && wait != last+time.Second {
			t.Fatalf("caller %d should retry in %v, the one before in %v", i, wait, last)
		}
		tr.ReserveRetry(start, one, request, wait)
		last = wait
	}
	retry := givesUpIn(15 * time.Second) // the first of these callers
	if wait := tr.EstimateWait(at(time.Second), one, retry, 1); wait != 0 {
		t.Errorf("the first caller retries in time and has to wait %v", wait)
	}
	if wait := tr.EstimateWait(at(time.Second), one, givesUpIn(16*time.Second), 1); wait < 4*time.Second {
		t.Errorf("a new caller waits %v, less than the callers that were told to retry", wait)
	}
	tr.ReserveRetry(start, one, givesUpIn(3*time.Second), 10*time.Second)
	if wait := tr.EstimateWait(at(5*time.Second), one, givesUpIn(30*time.Second), 1); wait != 0 {
		t.Errorf("wait of %v for callers whose retry time is over or that have given up", wait)
	}
}

// Guards against requests that wait in a queue although the endpoint accepts all requests.
func TestOpenEndpointHasNoQueue(t *testing.T) {
	tr := newTracker()
	tr.ObservePause(start, one, time.Second, 64)
	tr.Enqueue(start, one, givesUpIn(2*time.Second))
	now := at(3 * time.Second)
	tr.ObserveAnswer(now, now.Add(-time.Millisecond), one)
	if d := tr.Peek(now, one, givesUpIn(15*time.Second)); !d.Open {
		t.Errorf("%+v", d)
	}
	if wait := tr.EstimateWait(now, one, givesUpIn(15*time.Second), 1); wait != 0 {
		t.Errorf("wait of %v, want none", wait)
	}
}

package balance

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/limit"
)

// An endpoint without room within its rate limit is not picked until it has room, even if there is
// no other: it would not accept the request.
func TestEndpointWithoutRoomIsPassedOver(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	b.signals.SetLimit(start, incarnation("a"), limit.Report{Rate: 1, Limited: true})
	b.signals.CloseFor(start, incarnation("a"), time.Second)
	for range 50 {
		if e := b.Pick(start, list, Query{}); e.ID != "b" {
			t.Fatal("picked an endpoint without room within its limit")
		}
	}
	if e := b.Pick(start, list[:1], Query{}); e != nil {
		t.Fatal("picked the only endpoint, which has no room within its limit")
	}
	unavailable := b.Unavailable(start.Add(400*time.Millisecond), list, backpressure.Request{})
	if in := b.signals.EstimateWait(start.Add(400*time.Millisecond), incarnation("a"), backpressure.Request{}, 1); len(unavailable) != 1 || unavailable[0] != list[0] || in != 600*time.Millisecond {
		t.Fatalf("%v unavailable, retry delay %v", unavailable, in)
	}
	if !b.Avoided(start, incarnation("a")) {
		t.Error("an endpoint without room is not avoided")
	}
	if e := b.Pick(start.Add(time.Second), list[:1], Query{}); e == nil {
		t.Error("not picked though it has room again")
	}
	b.signals.CloseFor(start, incarnation("a"), time.Minute)
	b.signals.SetLimit(start, incarnation("a"), limit.Report{})
	if e := b.Pick(start.Add(time.Second), list[:1], Query{}); e == nil {
		t.Error("not picked though its limit has ended")
	}
}

// A limited endpoint gets the share of the requests that fits its limit. It keeps getting some,
// since their answers show when the limit ends.
func TestLimitedEndpointGetsItsPart(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	b.ReceiveRunning("", start, Running{}, Running{})
	b.signals.SetLimit(start, incarnation("a"), limit.Report{Rate: 2, Limited: true})
	got := 0
	const requests = 1000
	for range requests {
		if b.Pick(start, list, Query{}).ID == "a" {
			got++
		}
	}
	if got == 0 || got > requests/10 {
		t.Errorf("%d of %d requests went to an endpoint that takes two at once, beside one that takes 64", got, requests)
	}
}

// Guards against requests to the only endpoint during its pause, also after successes of requests
// that were sent before the pause, and against a leaving endpoint that is picked beside others.
func TestEndpointThatPausesOrLeavesIsNotPicked(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	b.signals.ObservePause(start, incarnation("a"), 3*time.Second, 64)
	ticket := b.Started(start, list[0], Query{})
	b.Ended(start.Add(time.Second), &ticket, time.Second, true)
	if e := b.Pick(start.Add(2*time.Second), list[:1], Query{}); e != nil {
		t.Error("picked within the pause")
	}
	if unavailable := b.Unavailable(start.Add(2*time.Second), list[:1], backpressure.Request{}); len(unavailable) != 1 {
		t.Errorf("%v unavailable, want one", unavailable)
	}
	b.signals.SetLeaving(start, incarnation("b"), start)
	if e := b.Pick(start, list[1:], Query{}); e != nil {
		t.Error("picked a leaving endpoint")
	}
	if e := b.PickLeaving(start.Add(time.Second), list, Query{}); e == nil || e.ID != "b" {
		t.Errorf("picked %v for a request that no other endpoint can serve", e)
	}
	if e := b.PickLeaving(start.Add(2*time.Second), list, Query{}); e != nil {
		t.Error("picked a leaving endpoint after the time in which it may get requests")
	}
	if d := b.signals.Peek(start, incarnation("b"), backpressure.Request{}); d.Open || d.Reason != backpressure.Leaving {
		t.Errorf("%+v", d)
	}
}

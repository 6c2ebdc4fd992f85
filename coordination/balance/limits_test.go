package balance

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/limit"
)

// An endpoint without room within its limit is passed over until it has, also where there is no
// other: what is sent there would be more than it takes.
func TestEndpointWithoutRoomIsPassedOver(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	b.said.SetLimit(start, life("a"), limit.Report{Rate: 1, Limited: true})
	b.said.CloseFor(start, life("a"), time.Second)
	for range 50 {
		if e := b.Pick(start, list, Query{}); e.ID != "b" {
			t.Fatal("picked one without room")
		}
	}
	if e := b.Pick(start, list[:1], Query{}); e != nil {
		t.Fatal("picked the only one, which has no room")
	}
	shut := b.Unavailable(start.Add(400*time.Millisecond), list, backpressure.Request{})
	if in := b.said.EstimateWait(start.Add(400*time.Millisecond), life("a"), backpressure.Request{}, 1); len(shut) != 1 || shut[0] != list[0] || in != 600*time.Millisecond {
		t.Fatalf("%v without room, for %v", shut, in)
	}
	if !b.Avoided(start, life("a")) {
		t.Error("counts as one that can take a request from another")
	}
	if e := b.Pick(start.Add(time.Second), list[:1], Query{}); e == nil {
		t.Error("passed over though it has room again")
	}
	b.said.CloseFor(start, life("a"), time.Minute)
	b.said.SetLimit(start, life("a"), limit.Report{})
	if e := b.Pick(start.Add(time.Second), list[:1], Query{}); e == nil {
		t.Error("passed over after its limit has ended")
	}
}

// A limit is what an endpoint can work on: of many requests it gets the part that it takes, and
// it goes on getting some, which tell when its need is over.
func TestLimitedEndpointGetsItsPart(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	b.ReceiveRunning("", start, Running{}, Running{})
	b.said.SetLimit(start, life("a"), limit.Report{Rate: 2, Limited: true})
	got := 0
	const requests = 1000
	for range requests {
		if b.Pick(start, list, Query{}).ID == "a" {
			got++
		}
	}
	if got == 0 || got > requests/10 {
		t.Errorf("%d of %d requests for an endpoint that takes two at once, beside one that takes 64", got, requests)
	}
}

// Guards against requests to the only endpoint within its pause, also after successes of requests
// that had begun before, and against a leaving endpoint that is picked beside others.
func TestEndpointThatPausesOrLeavesIsNotPicked(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	b.said.ObservePause(start, life("a"), 3*time.Second, 64)
	b.Started(list[0])
	b.Ended(start.Add(time.Second), list[0], "", time.Second, true)
	if e := b.Pick(start.Add(2*time.Second), list[:1], Query{}); e != nil {
		t.Error("picked within the pause")
	}
	if shut := b.Unavailable(start.Add(2*time.Second), list[:1], backpressure.Request{}); len(shut) != 1 {
		t.Errorf("%v shut", shut)
	}
	b.said.SetLeaving(start, life("b"), start)
	if e := b.Pick(start, list[1:], Query{}); e != nil {
		t.Error("picked one that leaves")
	}
	if e := b.PickLeaving(start.Add(time.Second), list, Query{}); e == nil || e.ID != "b" {
		t.Errorf("%v for what no other can serve", e)
	}
	if e := b.PickLeaving(start.Add(2*time.Second), list, Query{}); e != nil {
		t.Error("picked later than an endpoint that leaves may get requests")
	}
	if d := b.said.Peek(start, life("b"), backpressure.Request{}); d.Open || d.Reason != backpressure.Leaving {
		t.Errorf("%+v", d)
	}
}

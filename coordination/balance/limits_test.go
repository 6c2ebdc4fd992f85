package balance

import (
	"testing"
	"time"
)

// An endpoint without room within its limit is passed over until it has, also where there is no
// other: what is sent there would be more than it takes.
func TestEndpointWithoutRoomIsPassedOver(t *testing.T) {
	b := New("x", 1)
	list := endpoints("a", "b")
	b.Limited(life("a"), 1, true)
	b.Full(start, life("a"), time.Second)
	for range 50 {
		if e := b.Pick(start, list, Query{}); e.ID != "b" {
			t.Fatal("picked one without room")
		}
	}
	if e := b.Pick(start, list[:1], Query{}); e != nil {
		t.Fatal("picked the only one, which has no room")
	}
	full, roomIn := b.FullOf(start.Add(400*time.Millisecond), list)
	if len(full) != 1 || full[0] != life("a") || roomIn != 600*time.Millisecond {
		t.Fatalf("%v without room, for %v", full, roomIn)
	}
	if !b.Avoided(start, life("a")) {
		t.Error("counts as one that can take a request from another")
	}
	if e := b.Pick(start.Add(time.Second), list[:1], Query{}); e == nil {
		t.Error("passed over though it has room again")
	}
	b.Full(start, life("a"), time.Minute)
	b.Limited(life("a"), 0, false)
	if e := b.Pick(start.Add(time.Second), list[:1], Query{}); e == nil {
		t.Error("passed over after its limit has ended")
	}
}

// A limit is what an endpoint can work on: of many requests it gets the part that it takes, and
// it goes on getting some, which tell when its need is over.
func TestLimitedEndpointGetsItsPart(t *testing.T) {
	b := New("x", 1)
	list := endpoints("a", "b")
	b.Told("", start, Running{}, Running{})
	b.Limited(life("a"), 2, true)
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

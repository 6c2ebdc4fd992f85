package residency

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// The only holder of a model takes no more requests now, by its own word, and daemons say so as
// long as they have requests for the model: another engine loads it. Once the limit has ended the
// first holder counts again.
func TestModelOfAnEngineWithoutRoomIsLoadedElsewhere(t *testing.T) {
	w := newSlottedWorld(9, 3)
	want := Want{Model: "m00", Full: []fleet.Incarnation{life("e0")}}
	w.p.SetLimit(life("e0"), limit.Report{Rate: 1, Limited: true})
	if a := w.p.Want(w.now, want); a.Endpoint.ID == "e0" || a.Refused != "" || a.ReadyIn == 0 {
		t.Fatalf("with its holder full: %+v", a)
	}
	for range 100 {
		w.p.ReceiveDemand(w.now, "d", Demand{Active: map[string]int{"m00": 2}, Running: map[Place]int{{Endpoint: life("e0"), Model: "m00"}: 1}})
		w.p.Want(w.now, want)
		w.run(100 * time.Millisecond)
	}
	if n := w.holders("m00"); n != 2 {
		t.Fatalf("%d engines hold the model after 10 s", n)
	}
	if a := w.p.Want(w.now, want); a.Endpoint.ID == "e0" || a.ReadyIn != 0 {
		t.Fatalf("the second holder is there: %+v", a)
	}
	w.p.SetLimit(life("e0"), limit.Report{})
	if w.p.workerOf(life("e0")).isFull(w.now) {
		t.Fatal("full after the end of its limit")
	}
	w.check(t)
}

// newSlottedWorld is a world whose engines work on 64 requests at once.
func newSlottedWorld(models, engines int) *world {
	w := newWorld(models, engines)
	for _, e := range w.engines {
		e.endpoint.Slots = 64
	}
	w.entries()
	w.run(time.Second)
	return w
}

// Without room at any engine a request is told so, and none is ordered beyond what it holds.
func TestAllHoldersWithoutRoom(t *testing.T) {
	w := newWorld(9, 3)
	w.run(time.Second)
	var full []fleet.Incarnation
	for _, e := range w.engines {
		w.p.SetLimit(e.endpoint.Incarnation(), limit.Report{Rate: 0.5, Limited: true})
		full = append(full, e.endpoint.Incarnation())
	}
	for range 50 {
		for _, m := range []string{"m00", "m04", "m08"} {
			w.p.Want(w.now, Want{Model: m, Full: full})
		}
		w.run(100 * time.Millisecond)
	}
	w.check(t)
}

// An engine under a limit counts as full with fewer requests.
func TestLimitIsTheEnginesCapacity(t *testing.T) {
	w := newSlottedWorld(6, 2)
	worker := w.p.workerOf(life("e0"))
	if n := w.p.capacity(worker); n != 64 {
		t.Fatalf("%d slots without a limit", n)
	}
	w.p.SetLimit(life("e0"), limit.Report{Rate: 2, Limited: true})
	if n := w.p.capacity(worker); n != 2 {
		t.Fatalf("%d slots at 2 a second that run a second each", n)
	}
	w.p.sentTo(w.now, worker, "d")
	w.p.sentTo(w.now, worker, "d")
	if d := w.p.startsIn(worker); d <= 0 {
		t.Fatal("a third request would begin at once")
	}
}

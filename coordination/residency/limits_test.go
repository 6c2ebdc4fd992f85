package residency

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// The only holder of a model reports a rate limit and has no capacity left, and daemons say
// so as long as they have requests for the model: another engine loads the model. Once the
// limit has ended, the first holder counts again.
func TestModelOfAnEngineWithoutRoomIsLoadedElsewhere(t *testing.T) {
	w := newSlottedCluster(9, 3)
	want := Want{Model: "m00", Full: []fleet.Incarnation{incarnation("e0")}}
	w.p.SetLimit(incarnation("e0"), limit.Report{Rate: 1, Limited: true})
	if a := w.p.Want(w.now, want); a.Endpoint.ID == "e0" || a.Refused != "" || a.ReadyIn == 0 {
		t.Fatalf("Want with the only holder full: %+v, want a load at another engine", a)
	}
	for range 100 {
		w.p.ReceiveDemand(w.now, "d", Demand{Active: map[string]int{"m00": 2}, Running: map[Place]int{{Endpoint: incarnation("e0"), Model: "m00"}: 1}})
		w.p.Want(w.now, want)
		w.run(100 * time.Millisecond)
	}
	if n := w.holders("m00"); n != 2 {
		t.Fatalf("%d engines hold the model after 10 s, want 2", n)
	}
	if a := w.p.Want(w.now, want); a.Endpoint.ID == "e0" || a.ReadyIn != 0 {
		t.Fatalf("Want with a second holder: %+v, want the second holder at once", a)
	}
	w.p.SetLimit(incarnation("e0"), limit.Report{})
	if w.p.engineOf(incarnation("e0")).isFull(w.now) {
		t.Fatal("engine still counts as full after the end of its limit")
	}
	w.check(t)
}

// newSlottedCluster returns a cluster whose engines process 64 requests at once.
func newSlottedCluster(models, engines int) *simCluster {
	w := newSimCluster(models, engines)
	for _, e := range w.engines {
		e.endpoint.Slots = 64
	}
	w.entries()
	w.run(time.Second)
	return w
}

// When no engine has capacity left, no engine is ordered to load more than it can hold.
func TestAllHoldersFull(t *testing.T) {
	w := newSimCluster(9, 3)
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

// An engine under a rate limit counts as full with fewer requests.
func TestLimitIsTheEnginesCapacity(t *testing.T) {
	w := newSlottedCluster(6, 2)
	engine := w.p.engineOf(incarnation("e0"))
	if n := w.p.capacity(engine); n != 64 {
		t.Fatalf("capacity without a limit: %d slots, want 64", n)
	}
	w.p.SetLimit(incarnation("e0"), limit.Report{Rate: 2, Limited: true})
	if n := w.p.capacity(engine); n != 2 {
		t.Fatalf("capacity at 2 requests a second of 1 s each: %d slots, want 2", n)
	}
	w.p.addSent(w.now, engine, Want{Daemon: "d"})
	w.p.addSent(w.now, engine, Want{Daemon: "d"})
	if d := w.p.startsIn(engine); d <= 0 {
		t.Fatal("third request would start at once, want a wait for a slot")
	}
}

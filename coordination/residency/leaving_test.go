package residency

import (
	"testing"
	"time"
)

// Failure: the engine that holds the only replica of a model announces that it is leaving.
// Daemons find the model there and send no Want call, so that no replica was loaded elsewhere
// until the engine was gone.
func TestModelOfALeavingEngineIsLoadedElsewhere(t *testing.T) {
	w := newSimCluster(6, 3)
	w.engines[1].onDisk["m00"] = true
	w.engines[2].onDisk["m00"] = true
	w.run(time.Second)
	serve := func(d time.Duration) {
		for ; d > 0; d -= 400 * time.Millisecond {
			w.p.ReceiveDemand(w.now, "d", Demand{Active: map[string]int{"m00": 3}, Running: map[Place]int{{incarnation("e0"), "m00"}: 3}})
			w.run(400 * time.Millisecond)
		}
	}
	serve(2 * time.Second)
	if n := w.holders("m00"); n != 1 {
		t.Fatalf("%d replicas for three running requests, want 1", n)
	}
	orders := 0
	w.accepted = func(o Order) {
		if o.Endpoint.ID == "e0" {
			orders++
		}
	}
	leaving := *w.engines[0].endpoint
	leaving.Leaving, leaving.Remaining = true, 10*time.Second
	leaving.Version.Revision++
	w.engines[0].endpoint = &leaving
	w.entries()
	serve(3 * time.Second)
	t.Logf("replicas 3 s after the holder said that it leaves: formerly 1, now %d", w.holders("m00"))
	if n := w.holders("m00"); n != 2 {
		t.Errorf("%d replicas 3 s after the holder said that it leaves, want one more elsewhere", n)
	}
	if orders > 0 {
		t.Errorf("%d orders to the leaving engine, want none", orders)
	}
	serve(3 * time.Second)
	if n := w.holders("m00"); n != 2 {
		t.Errorf("%d replicas after 6 s, want no further ones", n)
	}
	w.check(t)
}

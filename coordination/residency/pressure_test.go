package residency

import (
	"fmt"
	"testing"
	"time"
)

// serve reports, for the given time, running requests of a model at an engine and perSecond
// first events a second, of which the share slow is slow.
func (w *simCluster) serve(d time.Duration, engine, model string, running int, perSecond, slow float64) {
	const tick = 400 * time.Millisecond // interval at which daemons report
	place := Place{incarnation(engine), model}
	for ; d > 0; d -= tick {
		n := perSecond * tick.Seconds()
		w.p.ReceiveDemand(w.now, "d", Demand{
			Active: map[string]int{model: running}, Running: map[Place]int{place: running},
			FirstEvents: map[Place]FirstEvents{place: {Count: int(n), Slow: int(n * slow)}},
		})
		w.run(tick)
	}
}

// Load: demand shifts to a model that one engine holds, while rare models are requested all
// the time. At 30 requests a second, half of the model's first events are slow, although
// only 15 requests run at a time: processing the prompts takes long, so the number of
// running requests does not show the overload. The load corresponds to 44 requests a second
// for the busiest model, with prompts of 640 tokens processed at 38.7 tokens a ms.
func TestSlowAnswersAskForAReplica(t *testing.T) {
	w := newSimCluster(90, 6)
	for i := range 18 {
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", 20+i)})
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", 40+i)})
		if i < 6 { // all concurrent loads of the weight store are in use by then
			w.serve(800*time.Millisecond, "e0", "m00", 3, 10, 0)
			continue
		}
		w.serve(800*time.Millisecond, "e0", "m00", 15, 30, 0.5)
	}
	if n := w.holders("m00"); n < 2 {
		t.Fatalf("%d replicas after 10 s of slow answers, want at least 2", n)
	}
	w.check(t)
}

// An added replica is kept as long as one replica fewer could not serve the load, although
// answers are fast again, and no more replicas are added.
func TestReplicasAreKeptWhileTheLoadLasts(t *testing.T) {
	w := newSimCluster(12, 6)
	loads := 0
	w.accepted = func(o Order) {
		if o.Model == "m00" && !o.Unload {
			loads++
		}
	}
	for range 25 {
		if w.holders("m00") == 1 {
			w.serve(400*time.Millisecond, "e0", "m00", 15, 30, 0.5)
		}
	}
	after := loads
	if after == 0 {
		t.Fatal("no replica was added for slow answers")
	}
	w.serve(10*time.Second, "e0", "m00", 15, 30, 0)
	d := w.p.newDraft(w.now)
	if got := d.needed("m00"); got != 2 {
		t.Errorf("%d replicas needed for a load that one could not serve, want 2", got)
	}
	if loads != after {
		t.Errorf("%d more loads with fast answers, want none", loads-after)
	}
	w.serve(10*time.Second, "e0", "m00", 15, 3, 0)
	d = w.p.newDraft(w.now)
	if got := d.pressureReplicas["m00"]; got > 1 {
		t.Errorf("%d replicas needed for a tenth of the load, want at most 1", got)
	}
}

// Replicas are added one at a time, even if the load trebles, so that each has time to show
// its effect.
func TestReplicasComeOneAtATime(t *testing.T) {
	w := newSimCluster(12, 6)
	w.serve(2*time.Second, "e0", "m00", 15, 30, 1)
	for range 40 {
		w.serve(400*time.Millisecond, "e0", "m00", 15, 90, 1)
		d := w.p.newDraft(w.now)
		ready := d.ready["m00"].replicas
		if need := d.pressureReplicas["m00"]; need > ready+1 {
			t.Fatalf("%d replicas needed with %d ready, want at most one more", need, ready)
		}
	}
}

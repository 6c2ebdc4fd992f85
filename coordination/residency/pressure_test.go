package residency

import (
	"fmt"
	"testing"
	"time"
)

// serve says for a while that requests of a model run and begin at an engine, so
// many a second of which a part is slow.
func (w *world) serve(d time.Duration, engine, model string, running int, perSecond, slow float64) {
	const tick = 400 * time.Millisecond // as daemons tell
	place := Place{life(engine), model}
	for ; d > 0; d -= tick {
		n := perSecond * tick.Seconds()
		w.p.ReceiveDemand(w.now, "d", Demand{
			Active: map[string]int{model: running}, Running: map[Place]int{place: running},
			FirstEvents: map[Place]FirstEvents{place: {Count: int(n), Slow: int(n * slow)}},
		})
		w.run(tick)
	}
}

// Load: demand has moved to a model that one engine holds, while rare models are
// asked for all the time. 30 requests a second make half of its first events
// slow, though only 15 run at a time: reading prompts is what takes long, so the
// number of running requests does not tell. Figures: the new customer's drivers,
// 44 requests a second for the busiest model, 640 prompt tokens at 38.7 a ms.
func TestSlowAnswersAskForAReplica(t *testing.T) {
	w := newWorld(90, 6)
	for i := range 18 {
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", 20+i)})
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", 40+i)})
		if i < 6 { // the weight store has its hands full by then
			w.serve(800*time.Millisecond, "e0", "m00", 3, 10, 0)
			continue
		}
		w.serve(800*time.Millisecond, "e0", "m00", 15, 30, 0.5)
	}
	if n := w.holders("m00"); n < 2 {
		t.Fatalf("%d replica after 10 s of slow answers", n)
	}
	w.check(t)
}

// A replica that was added is kept while one fewer would not carry the load,
// though the answers are fast again, and is not joined by more.
func TestReplicasAreKeptWhileTheLoadLasts(t *testing.T) {
	w := newWorld(12, 6)
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
		t.Fatal("no replica for slow answers")
	}
	w.serve(10*time.Second, "e0", "m00", 15, 30, 0)
	d := w.p.newDraft(w.now)
	if got := d.needed("m00"); got != 2 {
		t.Errorf("%d replicas are needed for what one did not carry", got)
	}
	if loads != after {
		t.Errorf("%d loads more with fast answers", loads-after)
	}
	w.serve(10*time.Second, "e0", "m00", 15, 3, 0)
	d = w.p.newDraft(w.now)
	if got := d.pressed["m00"]; got > 1 {
		t.Errorf("%d replicas for a tenth of the load", got)
	}
}

// Replicas come one at a time, also when the load trebles: each has time to show
// its effect.
func TestReplicasComeOneAtATime(t *testing.T) {
	w := newWorld(12, 6)
	w.serve(2*time.Second, "e0", "m00", 15, 30, 1)
	for range 40 {
		w.serve(400*time.Millisecond, "e0", "m00", 15, 90, 1)
		d := w.p.newDraft(w.now)
		ready := d.ready["m00"].replicas
		if need := d.pressed["m00"]; need > ready+1 {
			t.Fatalf("%d replicas are wanted where %d are ready", need, ready)
		}
	}
}

package residency

import (
	"testing"
	"time"
)

// Guards against a model that is ordered twice, or loaded elsewhere, because a sound engine pauses while the order is on
// its way: the order is carried out when the engine goes on, after its next report. Guards also against requests that are
// sent to the engine meanwhile because the load's declared time has passed.
func TestPauseOfAnEngineCausesNoSecondOrder(t *testing.T) {
	for pause := 300 * time.Millisecond; pause <= 2*time.Second; pause += 20 * time.Millisecond {
		w := newSimCluster(3, 2)
		const model = "m03"
		w.conf.Models[model] = w.conf.Models["m00"]
		w.engine("e1").onDisk[model] = true
		w.engine("e1").publish()
		w.entries()
		w.run(time.Second)
		w.lateDelay = 100 * time.Millisecond
		sent, early := w.orders, 0
		w.paused, w.pauseEnds = "e1", w.now.Add(pause)
		for end := w.now.Add(6 * time.Second); w.now.Before(end); {
			if a := w.p.Want(w.now, Want{Model: model}); a.ReadyIn <= 0 && a.Refused == "" && w.holders(model) == 0 {
				early++
			}
			w.step()
		}
		if early > 0 {
			t.Errorf("pause of %v: %d requests are sent to an engine that has not loaded the model", pause, early)
		}
		if n := w.holders(model); n != 1 || w.orders-sent != 1 {
			t.Errorf("pause of %v: the model is loaded at %d engines after %d orders, want 1 and 1", pause, n, w.orders-sent)
		}
	}
}

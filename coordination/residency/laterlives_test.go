package residency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// unlist makes the planner's list lack engines, as if their entries had run out.
func (w *simCluster) unlist(hidden map[string]bool) {
	var list []*fleet.Endpoint
	for _, e := range w.engines {
		if !hidden[e.endpoint.ID] {
			list = append(list, e.endpoint)
		}
	}
	w.p.SetEndpoints(w.now, list)
}

// Guards against a late order that overloads a later incarnation of its engine (290,800 of 220,000 MB): the
// order was forgotten once an incarnation in between had counted past it, once the engine was not listed
// for a moment, or because its outcome arrived meanwhile.
func TestLateOrderFindsRoomInALaterIncarnation(t *testing.T) {
	listed, unlisted := map[string]bool{}, map[string]bool{"e0": true}
	for name, between := range map[string]func(w *simCluster, e *simEngine){
		"one in between has counted past the order": func(w *simCluster, e *simEngine) {
			e.restart(w.now)
			w.entries()
			w.loadModels(t, e, "m00")
			for _, adapter := range []string{"a1", "a2", "a3", "a4"} {
				w.p.Want(w.now, Want{Model: "m00", Adapter: adapter})
				w.run(500 * time.Millisecond)
			}
			if e.sequence <= 3 {
				t.Fatalf("the incarnation in between has counted %d orders", e.sequence)
			}
			e.restart(w.now)
			w.entries()
		},
		"its entry runs out between two incarnations": func(w *simCluster, e *simEngine) {
			w.unlist(unlisted)
			w.run(time.Second)
			e.restart(w.now)
			w.unlist(listed)
		},
		"its entry runs out, and the next one has no start": func(w *simCluster, e *simEngine) {
			w.unlist(unlisted)
			e.restart(w.now)
			e.endpoint.StartUnixMs = 0
			w.run(time.Second)
			w.unlist(listed)
		},
		"the outcome arrives while it is not listed": func(w *simCluster, e *simEngine) {
			last := w.late[len(w.late)-1].order
			w.unlist(unlisted)
			delete(w.p.unlisted, "e0")
			w.p.ObserveOutcome(w.now, last, Unanswered)
			e.restart(w.now)
			w.unlist(listed)
		},
		"one in between was never seen": func(w *simCluster, e *simEngine) {
			e.restart(w.now)
			w.now = w.now.Add(time.Second)
			e.restart(w.now)
			w.entries()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, e := lateOrderToTheFirst(t, 11800*time.Millisecond)
			between(w, e)
			for end := w.now.Add(lateOrderTTL); w.now.Before(end); {
				for _, m := range []string{"m00", "m01", "m02"} {
					w.p.Want(w.now, Want{Model: m})
				}
				w.step()
				w.check(t)
			}
		})
	}
}

// An order that can have no effect any more costs no room: the engine has counted past it, or its time is over.
func TestNoRoomIsKeptForAnOrderWithoutEffect(t *testing.T) {
	w := newSimCluster(0, 1)
	w.conf.Models = testEngine(4).Models
	w.fence = 0
	w.takeOver()
	e := w.engines[0]
	e.onDisk = map[string]bool{"m00": true, "m01": true, "m02": true, "m03": true}
	w.run(time.Second)
	w.lateDelay, w.fate = 12*time.Second, func() string { return "late" }
	for range 20 {
		w.p.Want(w.now, Want{Model: "m03"})
		w.step()
	}
	w.fate = nil
	e.restart(w.now)
	w.entries()
	w.run(time.Second)
	state := func() *engineState { return w.p.engines["e0"] }
	if state().unplannedMemory(w.conf) != w.conf.Models["m03"].SizeMB {
		t.Fatalf("%v MB are kept free of %d late orders, want room for one of them: they expect the same count", state().unplannedMemory(w.conf), len(state().late.list))
	}
	w.loadModels(t, e, "m00")
	if kept := state().unplannedMemory(w.conf); kept != 0 {
		t.Errorf("%v MB are kept free although the engine has counted past the order", kept)
	}
	w.unlist(map[string]bool{"e0": true})
	w.run(lateOrderTTL)
	if n := len(w.p.unlisted); n != 0 {
		t.Errorf("late orders of %d unlisted engines are kept after their time", n)
	}
}

// Guards against late orders that overload any later incarnation of their engines, which start again often, also
// in series and while they are not listed; some do not tell their start.
func TestLateOrdersThroughRandomIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := lateOrderCluster(t)
		w.fence = 0
		w.takeOver() // as the first coordinator of the service
		tellsStart := rapid.Bool().Draw(t, "tells its start")
		hidden := map[string]bool{}
		names := sortedKeys(w.conf.Models)
		if !tellsStart {
			for _, e := range w.engines {
				e.endpoint.StartUnixMs = 0
			}
			w.unlist(hidden)
		}
		for range rapid.IntRange(20, 100).Draw(t, "events") {
			e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
			model := rapid.SampledFrom(names).Draw(t, "model")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0, 1:
				e.restart(w.now)
				if !tellsStart {
					e.endpoint.StartUnixMs = 0
				}
				w.unlist(hidden)
			case 2:
				hidden[e.endpoint.ID] = true
				w.unlist(hidden)
			case 3:
				clear(hidden)
				w.unlist(hidden)
			case 4, 5, 6, 7, 8, 9:
				w.requestAdapter(t, model)
			default:
				w.p.Want(w.now, Want{Model: model})
			}
			w.runAndCheck(t)
		}
	})
}

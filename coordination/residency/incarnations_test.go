package residency

import (
	"testing"
	"time"
)

// loadModels requests models one after the other, each until it is loaded.
func (w *simCluster) loadModels(t *testing.T, e *simEngine, models ...string) {
	t.Helper()
	for _, m := range models {
		for range 200 {
			if _, ok := e.models[m]; ok {
				break
			}
			w.p.Want(w.now, Want{Model: m})
			w.step()
		}
		if _, ok := e.models[m]; !ok {
			t.Fatalf("%s was not loaded: %v", m, e.loaded())
		}
	}
}

// lateOrderToTheFirst returns an engine that holds two models and has accepted three orders, and has left orders to load
// a third model unanswered, which it carries out after lateDelay.
func lateOrderToTheFirst(t *testing.T, lateDelay time.Duration) (*simCluster, *simEngine) {
	t.Helper()
	w := newSimCluster(0, 1)
	w.conf.Models = testEngine(4).Models
	w.fence = 0
	w.takeOver() // as the first coordinator of the service
	e := w.engines[0]
	e.onDisk = map[string]bool{"m00": true, "m01": true, "m02": true, "m03": true}
	w.loadModels(t, e, "m00", "m01")
	w.p.Want(w.now, Want{Model: "m00", Adapter: "a1"})
	w.run(time.Second)
	if e.sequence != 3 {
		t.Fatalf("the engine has accepted %d orders, want 3", e.sequence)
	}
	w.lateDelay, w.fate = lateDelay, func() string { return "late" }
	for range 50 {
		w.p.Want(w.now, Want{Model: "m03"})
		w.step()
	}
	if len(w.late) == 0 || w.late[0].order.Expect != 3 {
		t.Fatalf("late orders %v, want one that expects 3", w.late)
	}
	w.fate = nil
	return w, e
}

// An unanswered order may be carried out seconds later, by the next incarnation of its
// engine, if that incarnation has accepted as many orders as the late order expects and has
// loaded other models in the meantime.
func TestLateOrderOfAnEarlierLifeFindsRoom(t *testing.T) {
	for _, successor := range []bool{false, true} {
		w, e := lateOrderToTheFirst(t, 6*time.Second)
		e.restart(w.now)
		if successor {
			w.takeOver()
		}
		w.entries()
		for end := w.now.Add(9 * time.Second); w.now.Before(end); {
			for _, m := range []string{"m00", "m01", "m02"} {
				w.p.Want(w.now, Want{Model: m})
			}
			w.step()
			w.check(t)
		}
	}
}

// Guards against a late order that overloads the next incarnation of its engine after a takeover where the clock of the engine's
// host is a minute off: its start then seems too long ago for such an order.
func TestLateOrderFindsRoomWithClocksApart(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Minute, 0, time.Minute} {
		w, e := lateOrderToTheFirst(t, 6*time.Second)
		e.restart(w.now.Add(ahead))
		w.takeOver()
		for end := w.now.Add(9 * time.Second); w.now.Before(end) && !e.overloaded; {
			for _, m := range []string{"m00", "m01", "m02"} {
				w.p.Want(w.now, Want{Model: m})
			}
			w.step()
		}
		if e.overloaded {
			t.Errorf("clock %v ahead: a late order overloaded the engine", ahead)
		}
	}
}

// An incarnation that the coordinator did not know of holds none of the models of its
// predecessor, and gets orders as soon as it has reported. A report of the predecessor that
// arrives later changes nothing.
func TestNextLifeIsKnownByItsReport(t *testing.T) {
	for _, listed := range []bool{true, false} {
		w := newSimCluster(6, 2)
		e := w.engines[0]
		e.sequence = 7
		w.run(time.Second)
		old := e.report(w.now, 0)
		e.restart(w.now)
		if listed {
			w.entries()
		} else {
			w.p.engines["e0"].probeAt = w.now // as if a request had found the engine unreachable
		}
		w.run(500 * time.Millisecond)
		w.p.ReceiveReport(w.now, old)
		if a := w.p.Want(w.now, Want{Model: "m00"}); a.Level == Resident {
			t.Fatalf("listed %v: answer uses a model of the previous incarnation: %+v", listed, a)
		}
		w.run(1500 * time.Millisecond)
		if _, ok := e.models["m00"]; !ok {
			t.Fatalf("listed %v: the model was not loaded from disk: %v", listed, e.loaded())
		}
	}
}

// Requests at an earlier incarnation of an engine do not keep models of the present
// incarnation loaded.
func TestDemandOfAnEarlierLifeDoesNotCount(t *testing.T) {
	w := newSimCluster(3, 1)
	e := w.engines[0]
	before := e.endpoint.Incarnation()
	w.run(100 * time.Millisecond)
	e.restart(w.now)
	w.entries()
	w.p.ReceiveDemand(w.now, "d", Demand{Active: map[string]int{"m00": 1}, Running: map[Place]int{{before, "m00"}: 1}})
	if n := len(w.p.demands["d"].Running); n != 0 {
		t.Fatalf("%d places of the previous incarnation count, want 0", n)
	}
	w.p.ReceiveDemand(w.now, "d", Demand{Running: map[Place]int{{incarnation("e0"), "m00"}: 1}})
	if w.p.demands["d"].Running[Place{e.endpoint.Incarnation(), "m00"}] != 1 {
		t.Fatal("demand without a start time does not count for the present incarnation")
	}
}

// A new coordinator keeps memory free only at engines that may have started after an order
// of its predecessor was sent. It does so neither at engines that hold models which nobody
// has ordered, nor at engines that have run for longer than an order may be delayed.
func TestMemoryIsKeptFreeOnlyAfterRestart(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration
		sequence uint64
		want     bool
	}{
		{"restarted", 5 * time.Second, 3, true},
		{"never restarted", 5 * time.Second, 2, false},
		{"running for long", 20 * time.Second, 3, false},
	} {
		w := newSimCluster(3, 1)
		e := w.engines[0]
		e.endpoint.StartUnixMs, e.sequence = w.now.Add(-c.age).UnixMilli(), c.sequence
		e.publish()
		w.takeOver()
		w.run(400 * time.Millisecond)
		if got := w.p.engines["e0"].unknownLateOrder; got != c.want {
			t.Errorf("%s: memory kept free: %v, want %v", c.name, got, c.want)
		}
	}
}

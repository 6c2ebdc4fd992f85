package residency

import (
	"testing"
	"time"
)

// load wants models one after the other, each until it is there.
func (w *world) load(t *testing.T, e *simEngine, models ...string) {
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

// An order without an answer may be carried out seconds later, in the next life of its
// engine, which has counted up to what the order expects and was filled meanwhile.
func TestLateOrderOfAnEarlierLifeFindsRoom(t *testing.T) {
	for _, successor := range []bool{false, true} {
		w := newWorld(0, 1)
		w.conf.Models = testEngine(4).Models
		w.fence = 0
		w.takeOver() // as the first of all coordinators
		e := w.engines[0]
		e.onDisk = map[string]bool{"m00": true, "m01": true, "m02": true, "m03": true}
		w.load(t, e, "m00", "m01")
		w.p.Want(w.now, Want{Model: "m00", Adapter: "a1"})
		w.run(time.Second)
		if e.sequence != 3 {
			t.Fatalf("the engine has accepted %d orders, want 3", e.sequence)
		}
		w.lateBy, w.chance = 6*time.Second, func() string { return "late" }
		for range 50 {
			w.p.Want(w.now, Want{Model: "m03"})
			w.step()
		}
		if len(w.late) == 0 {
			t.Fatal("no order is on its way")
		}
		w.chance = nil
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

// A life that the coordinator has not heard of holds nothing of what the one before
// held, and takes orders as soon as it has reported; an older report changes nothing.
func TestNextLifeIsKnownByItsReport(t *testing.T) {
	for _, listed := range []bool{true, false} {
		w := newWorld(6, 2)
		e := w.engines[0]
		e.sequence = 7
		w.run(time.Second)
		old := e.report(w.now, 0)
		e.restart(w.now)
		if listed {
			w.entries()
		} else {
			w.p.workers["e0"].probe = w.now // as when a request has found it gone
		}
		w.run(500 * time.Millisecond)
		w.p.ReceiveReport(w.now, old)
		if a := w.p.Want(w.now, Want{Model: "m00"}); a.Level == Resident {
			t.Fatalf("listed %v: the model of the life before is named: %+v", listed, a)
		}
		w.run(1500 * time.Millisecond)
		if _, ok := e.models["m00"]; !ok {
			t.Fatalf("listed %v: the model was not brought back from the disk: %v", listed, e.loaded())
		}
	}
}

// What runs at an earlier life of an engine keeps nothing of the next one in place.
func TestDemandOfAnEarlierLifeDoesNotCount(t *testing.T) {
	w := newWorld(3, 1)
	e := w.engines[0]
	before := e.endpoint.Incarnation()
	w.run(100 * time.Millisecond)
	e.restart(w.now)
	w.entries()
	w.p.ReceiveDemand(w.now, "d", Demand{Active: map[string]int{"m00": 1}, Running: map[Place]int{{before, "m00"}: 1}})
	if n := len(w.p.demands["d"].Running); n != 0 {
		t.Fatalf("%d places of the life before count", n)
	}
	w.p.ReceiveDemand(w.now, "d", Demand{Running: map[Place]int{{life("e0"), "m00"}: 1}})
	if w.p.demands["d"].Running[Place{e.endpoint.Incarnation(), "m00"}] != 1 {
		t.Fatal("a daemon that tells no start speaks of the present life")
	}
}

// A new coordinator keeps a place free only at engines that may have started since an
// order of the former one: not at those that hold what nobody has ordered, nor at those that
// have run for longer than an order may be on its way.
func TestPlacesAreKeptFreeOnlyAfterARestart(t *testing.T) {
	for _, c := range []struct {
		what     string
		age      time.Duration
		sequence uint64
		want     bool
	}{
		{"started again", 5 * time.Second, 3, true},
		{"as it was first started", 5 * time.Second, 2, false},
		{"has run for long", 20 * time.Second, 3, false},
	} {
		w := newWorld(3, 1)
		e := w.engines[0]
		e.endpoint.StartUnixMs, e.sequence = w.now.Add(-c.age).UnixMilli(), c.sequence
		e.publish()
		w.takeOver()
		w.run(400 * time.Millisecond)
		if got := w.p.workers["e0"].unknownLate; got != c.want {
			t.Errorf("%s: place kept free %v, want %v", c.what, got, c.want)
		}
	}
}

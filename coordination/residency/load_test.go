package residency

import (
	"fmt"
	"testing"
	"time"
)

// Load: models are replaced constantly at full engines, each time by an unload and a load.
// An engine that is still unloading refuses the next order, and nothing but such a refusal
// shows that the unload is incomplete. When orders were sent as soon as the unload had been
// accepted, half of the loads were refused.
func TestSwapsWaitForTheUnload(t *testing.T) {
	for _, takes := range []time.Duration{10 * time.Millisecond, 70 * time.Millisecond, 150 * time.Millisecond} {
		w := newSimCluster(12, 2)
		for _, e := range w.engines {
			e.unloadTime = takes
			for i := range 12 {
				e.onDisk[fmt.Sprintf("m%02d", i)] = true
			}
		}
		w.refused = 0
		for i := range 400 {
			w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i%12)})
			w.run(400 * time.Millisecond)
		}
		if share := float64(w.refused) / float64(w.orders); share > 0.05 {
			t.Errorf("unloads of %v: %.3f of %d orders were refused, want at most 0.05", takes, share, w.orders)
		}
	}
}

// Load: many rare models are requested at once. Every model at every engine is in use by a
// single short request, so that none can be unloaded at this moment, and each requested
// model has one nearby copy. A load from the weight store would block its engine for 6 s,
// so that models whose copy lies on that engine would have to be loaded from the store too,
// and so on. The load corresponds to 13.5 requests a second for 45 models, with room for 18
// and 0.6 s per request.
func TestNearCopyIsWaitedForBehindShortRequests(t *testing.T) {
	const models = 36
	w := newSimCluster(models, 6) // with m00 to m17 loaded
	for i := 18; i < models; i++ {
		w.engines[i%6].onDisk[fmt.Sprintf("m%02d", i)] = true
	}
	fromStore := 0
	w.accepted = func(o Order) {
		if !o.Unload && !w.engine(o.Endpoint.ID).onDisk[o.Model] {
			fromStore++
		}
	}
	w.run(time.Second)
	busy := Demand{Active: map[string]int{}, Running: map[Place]int{}, FirstEvents: map[Place]FirstEvents{}}
	for i := range 18 {
		model := fmt.Sprintf("m%02d", i)
		place := Place{incarnation(fmt.Sprintf("e%d", i/3)), model}
		busy.Active[model], busy.Running[place] = 1, 1
		busy.FirstEvents[place] = FirstEvents{Count: 1}
	}
	w.p.ReceiveDemand(w.now, "d", busy)
	for i := 18; i < 24; i++ {
		a := w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i)})
		if a.Level != Disk || a.ReadyIn > 3*time.Second {
			t.Errorf("m%02d: %+v, want its copy on disk", i, a)
		}
	}
	w.run(600 * time.Millisecond)
	w.p.ReceiveDemand(w.now, "d", Demand{})
	w.run(1500 * time.Millisecond)
	for i := 18; i < 24; i++ {
		if w.holders(fmt.Sprintf("m%02d", i)) == 0 {
			t.Errorf("m%02d is not loaded 1.5 s after the requests have ended", i)
		}
	}
	if fromStore > 0 {
		t.Errorf("%d loads from the store, although each model had a nearby copy", fromStore)
	}
	w.check(t)
}

// A busy model is not expected to become idle, so a request for another model is refused.
func TestBusyModelIsNotExpectedToBecomeIdle(t *testing.T) {
	w := newSimCluster(4, 1)
	w.engines[0].onDisk["m03"] = true
	w.run(time.Second)
	d := Demand{Active: map[string]int{}, Running: map[Place]int{}}
	for _, m := range []string{"m00", "m01", "m02"} {
		d.Active[m], d.Running[Place{incarnation("e0"), m}] = 30, 30
	}
	w.p.ReceiveDemand(w.now, "d", d)
	if a := w.p.Want(w.now, Want{Model: "m03"}); a.Refused != RefusedNoRoom {
		t.Fatalf("%+v, want a refusal for lack of room", a)
	}
}

// Load: more rare models than the engine has room for, one short request each. A model is
// replaced by the next one as soon as its daemon has reported the end of its request.
func TestEndedRequestFreesItsPlaceSoon(t *testing.T) {
	w := newSimCluster(4, 1)
	w.engines[0].onDisk["m03"] = true
	w.run(time.Second)
	d := Demand{Active: map[string]int{}, Running: map[Place]int{}}
	for _, m := range []string{"m00", "m01", "m02"} {
		w.p.Want(w.now, Want{Model: m})
		d.Active[m], d.Running[Place{incarnation("e0"), m}] = 1, 1
	}
	w.p.ReceiveDemand(w.now, "d", d)
	w.p.Want(w.now, Want{Model: "m03"})
	w.run(250 * time.Millisecond)
	w.p.ReceiveDemand(w.now, "d", Demand{})
	w.run(150 * time.Millisecond)
	if !w.engines[0].busy || w.engines[0].during.Model != "m03" {
		t.Fatal("m03 is not being loaded 150 ms after the request has ended")
	}
}

// Load: all daemons report every change. The coordinator receives no more reports than a
// small host can process, however many daemons there are, and does not take a model for
// idle before the daemons had time to report that it runs requests.
func TestTellsAreBounded(t *testing.T) {
	w := newSimCluster(3, 1)
	for n := 1; n <= 400; n++ {
		w.p.ReceiveDemand(w.now, fmt.Sprint("d", n), Demand{})
		delay := DemandDelay(n)
		if perSecond := float64(n) / delay.Seconds(); perSecond > maxDemandRate+1 {
			t.Fatalf("%d daemons send %.0f reports a second", n, perSecond)
		}
		if idle := w.p.idleAfterAnswer(); idle <= delay {
			t.Fatalf("%d daemons report after %v, but a model counts as idle after %v", n, delay, idle)
		}
	}
}

// Load: a burst of requests for more rare models than all engines hold together. Requests
// for models that are not in the schedule are given the time at which the first engine will
// have finished its scheduled work, rather than being asked to retry at once.
func TestNoRoomNamesATime(t *testing.T) {
	w := newSimCluster(30, 2) // room for six models
	for i := 6; i < 30; i++ {
		w.engines[i%2].onDisk[fmt.Sprintf("m%02d", i)] = true
	}
	w.run(4 * time.Second)
	var last Answer
	for i := 6; i < 30; i++ {
		last = w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i)})
	}
	if last.Refused != RefusedNoRoom || last.ReadyIn < 2*time.Second || last.ReadyIn > 6*time.Second {
		t.Fatalf("%+v, want 2 s to 6 s: three loads of 0.8 s are scheduled at each engine", last)
	}
}

package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// lateOrderCluster returns engines with models and adapters of any sizes, which leave each order
// unanswered with the given share and carry it out 2 to 12 s later.
func lateOrderCluster(t *rapid.T) *simCluster {
	models := rapid.IntRange(2, 6).Draw(t, "models")
	w := newSimCluster(0, rapid.SampledFrom([]int{1, 1, 1, 2, 3}).Draw(t, "engines"))
	w.conf.AdapterSlots = rapid.IntRange(1, 8).Draw(t, "slots")
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		w.conf.Models[name] = routing.Model{
			SizeMB: float64(rapid.IntRange(20, 120).Draw(t, "size")), AdapterMB: float64(rapid.IntRange(1, 15).Draw(t, "adapter size")),
			LoadFromStore: 3 * time.Second, LoadFromDisk: 800 * time.Millisecond, LoadFromMemory: 500 * time.Millisecond,
		}
		w.engines[0].onDisk[name] = true
	}
	w.reportLag = time.Duration(rapid.IntRange(0, 250).Draw(t, "lag")) * time.Millisecond
	share := rapid.IntRange(20, 60).Draw(t, "percent unanswered")
	w.fate = func() string {
		if rapid.IntRange(0, 99).Draw(t, "fate") >= share {
			return ""
		}
		w.lateDelay = time.Duration(rapid.IntRange(2000, 12000).Draw(t, "late ms")) * time.Millisecond
		return "late"
	}
	return w
}

// checkBelieved checks that the planner believes of an engine nothing that its last report denies, but for
// what it has ordered since.
func (w *simCluster) checkBelieved(t *rapid.T, rep Report) {
	e, actual := w.p.engines[rep.Endpoint.ID], w.engine(rep.Endpoint.ID)
	if rep.Busy || rep.Sequence != actual.sequence || e.order != nil {
		return
	}
	for name, r := range e.models {
		i := slices.IndexFunc(rep.Models, func(m fleet.LoadedModel) bool { return m.Model == name })
		if i < 0 {
			if w.now.After(r.readyAt.Add(2 * reportLag)) {
				t.Fatalf("%s is believed at %s, whose report has %v", name, rep.Endpoint.ID, rep.Models)
			}
			continue
		}
		for a, state := range r.adapters {
			if !slices.Contains(rep.Models[i].Adapters, a) && !slices.Contains(rep.LoadingAdapters, AdapterRef{name, a}) && w.now.After(state.readyAt.Add(2*reportLag)) {
				t.Fatalf("%s/%s is believed at %s, whose report has %v", name, a, rep.Endpoint.ID, rep.Models)
			}
		}
	}
}

// requestAdapter requests any adapter of a model.
func (w *simCluster) requestAdapter(t *rapid.T, model string) {
	w.p.Want(w.now, Want{Model: model, Adapter: fmt.Sprintf("a%d", rapid.IntRange(1, 9).Draw(t, "adapter"))})
}

// runAndCheck lets some time pass, short or long.
func (w *simCluster) runAndCheck(t *rapid.T) {
	w.run(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 20, 40, 100}).Draw(t, "steps")) * 20 * time.Millisecond)
	w.check(t)
}

// Guards against orders beyond an engine's memory or slots, and against models that it does not hold,
// after an order that was given up has taken effect in place of the one in progress.
func TestOrdersThatTakeEffectLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := lateOrderCluster(t)
		w.reported = func(rep Report) { w.checkBelieved(t, rep) }
		names := sortedKeys(w.conf.Models)
		for range rapid.IntRange(20, 120).Draw(t, "events") {
			model := rapid.SampledFrom(names).Draw(t, "model")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				w.takeOver()
				w.p.SetLease(w.now, Lease{Held: true, Fence: w.fence, OrdersFrom: w.now.Add(time.Second)})
			case 1, 2, 3, 4, 5, 6, 7, 8:
				w.requestAdapter(t, model)
			default:
				w.p.Want(w.now, Want{Model: model})
			}
			w.runAndCheck(t)
		}
	})
}

// Guards against an adapter's load that was given up, takes effect while the load of a model is in progress
// and is taken for that one: the next adapter is then ordered into a slot that is taken.
func TestLateAdapterIsNotTakenForTheModelInProgress(t *testing.T) {
	w := newSimCluster(2, 1)
	w.engines[0].models = map[string][]string{"m00": {"a1", "a2"}}
	w.engines[0].onDisk["m01"] = true
	w.engines[0].publish()
	w.entries()
	w.run(2 * time.Second)
	w.lateDelay = 2100 * time.Millisecond
	w.setFates("late")
	w.p.Want(w.now, Want{Model: "m00", Adapter: "a3"})
	w.run(2 * time.Second)
	w.setFates("lost")
	w.p.Want(w.now, Want{Model: "m01"})
	w.run(400 * time.Millisecond)
	w.p.Want(w.now, Want{Model: "m00", Adapter: "a4"})
	w.run(5 * time.Second)
	w.check(t)
	if a := w.p.Want(w.now, Want{Model: "m01"}); a.Refused != "" {
		t.Errorf("the model was given up: %+v", a)
	}
}

// Guards against a load that counts as accepted because the engine is busy with another order, and as
// complete once its own declared time has passed.
func TestBusyReportAcceptsNoOrder(t *testing.T) {
	w := newSimCluster(1, 1)
	e := w.engines[0]
	e.onDisk["m01"], e.onDisk["m02"] = true, true
	w.conf.Models = testEngine(3).Models
	slow := w.conf.Models["m01"]
	slow.LoadFromDisk = 5 * time.Second
	w.conf.Models["m01"] = slow
	e.publish()
	w.entries()
	w.run(time.Second)
	w.setFates("late", "lost")
	w.lateDelay = 1120 * time.Millisecond
	w.p.Want(w.now, Want{Model: "m01"})
	w.run(20 * time.Millisecond)
	w.beforeStep = func(time.Duration) { delete(w.p.wants, anywhere("m01")) } // its caller has left
	w.run(1060 * time.Millisecond)
	w.p.Want(w.now, Want{Model: "m02"})
	w.run(20 * time.Millisecond)
	if o := w.p.engines["e0"].order; e.busy || o == nil || o.order.Model != "m02" {
		t.Fatalf("the order for m01 is to be given up before it takes effect, and that for m02 to be on its way: %+v", o)
	}
	w.run(200 * time.Millisecond) // until the first report
	for end := w.now.Add(2 * time.Second); w.now.Before(end); w.step() {
		if !e.busy || e.during.Model != "m01" {
			t.Fatalf("the engine is to load m01: %+v", e.during)
		}
		if r := w.p.engines["e0"].models["m02"]; r != nil && !r.readyAt.After(w.now) {
			t.Fatal("m02 counts as loaded while the engine loads m01")
		}
	}
}

// Guards against an engine whose reports are all discarded, and whose orders are all refused, because an
// order that it answered as done already was counted although the engine did not count it.
func TestCountThatTheEngineDidNotRaise(t *testing.T) {
	w := newSimCluster(1, 1)
	e := w.engines[0]
	w.run(time.Second)
	for i := 1; i <= 3; i++ {
		w.p.Want(w.now, Want{Model: "m00", Adapter: fmt.Sprintf("a%d", i)})
		w.run(2 * time.Second)
	}
	e.models["m00"] = []string{"a2", "a3"} // the engine has lost one
	w.p.Want(w.now, Want{Model: "m00", Adapter: "a4"})
	w.run(3 * time.Second)
	w.p.Want(w.now, Want{Model: "m00", Adapter: "a4"})
	w.run(3 * time.Second)
	if !slices.Contains(e.models["m00"], "a4") {
		t.Errorf("a4 is not loaded, the engine holds %v and has counted %d orders; %d were refused", e.models["m00"], e.sequence, w.refused)
	}
	w.check(t)
}

// Guards against a late order that overloads an engine which has started again without telling its start: its
// count is lower then, and reaches the one that the order expects.
func TestLateOrderAfterARestartWithoutAStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := lateOrderCluster(t)
		for _, e := range w.engines {
			e.endpoint.StartUnixMs = 0
		}
		w.takeOver()
		names := sortedKeys(w.conf.Models)
		for range rapid.IntRange(20, 80).Draw(t, "events") {
			e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
			model := rapid.SampledFrom(names).Draw(t, "model")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0, 1:
				e.restart(w.now)
				e.endpoint.StartUnixMs = 0
			case 2, 3, 4, 5, 6, 7, 8:
				w.requestAdapter(t, model)
			default:
				w.p.Want(w.now, Want{Model: model})
			}
			w.runAndCheck(t)
		}
	})
}

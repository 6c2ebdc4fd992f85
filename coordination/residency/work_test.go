package residency

import (
	"math"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// newWorkCluster returns two engines with 64 slots that both hold m00.
func newWorkCluster() *simCluster {
	w := newSimCluster(3, 2)
	w.engines[1].models["m00"] = nil
	for _, e := range w.engines {
		e.endpoint.Slots = 64
		e.publish()
	}
	w.entries()
	w.run(time.Second)
	return w
}

func workAt(incarnation fleet.Incarnation, prompt, held int) Demand {
	return Demand{Work: map[fleet.Incarnation]EngineWork{incarnation: {PendingPrompt: prompt, Held: held}}}
}

// loadOf returns the work at an engine after the next planning step.
func (w *simCluster) loadOf(i int) EngineLoad {
	w.step()
	return w.p.Loads()[i]
}

// Guards against work that is counted twice after the next report of the same daemon, that stays
// after its reports have expired, or that counts at the next incarnation of an engine.
func TestReportedWorkIsSummed(t *testing.T) {
	w := newWorkCluster()
	e0 := w.engines[0].endpoint.Incarnation()
	w.p.ReceiveDemand(w.now, "a", workAt(e0, 9190, 20_000))
	w.p.ReceiveDemand(w.now, "b", workAt(incarnation("e0"), 826, 1000))
	if l := w.loadOf(0); l.PendingPrompt != 10_016 || l.Held != 21_000 {
		t.Errorf("work of two daemons: %+v, want 10016 pending and 21000 held tokens", l)
	}
	w.p.ReceiveDemand(w.now, "a", workAt(e0, 0, 9240))
	if l := w.p.Loads()[0]; l.PendingPrompt != 826 || l.Held != 10_240 {
		t.Errorf("after the next report, before the next step: %+v, want 826 pending and 10240 held tokens", l)
	}
	w.engines[0].restart(w.now)
	w.entries()
	w.p.ReceiveDemand(w.now, "a", workAt(e0, 9190, 20_000))
	if l := w.loadOf(0); l.PendingPrompt != 826 {
		t.Errorf("after a restart: %+v, want the work that names no incarnation only", l)
	}
	w.run(demandTTL + time.Second)
	if l := w.loadOf(0); l.EngineWork != (EngineWork{}) {
		t.Errorf("after all reports have expired: %+v, want no work", l)
	}
}

// Guards against absurd work in a report that overflows or makes an engine look busy for minutes.
func TestAbsurdWorkIsBounded(t *testing.T) {
	w := newWorkCluster()
	w.p.ReceiveDemand(w.now, "a", workAt(incarnation("e0"), math.MaxInt, math.MaxInt))
	w.p.ReceiveDemand(w.now, "b", workAt(incarnation("e0"), math.MinInt, math.MinInt))
	if l := w.loadOf(0); l.PendingPrompt != maxReportedTokens || l.Held != maxReportedTokens {
		t.Errorf("%+v, want %d tokens each", l, maxReportedTokens)
	}
	if cost := w.p.loadCost(w.now, w.p.engineOf(incarnation("e0"))); cost <= 0 || cost > time.Minute {
		t.Errorf("the load costs %v, want at most a minute", cost)
	}
}

// Requests go to the engine that processes its prompts sooner, not to the one with fewer requests.
// Guards against decisions by the number of requests only, and against ignoring speeds.
func TestAnswerGoesByPromptWork(t *testing.T) {
	e0, e1 := incarnation("e0"), incarnation("e1")
	for _, c := range []struct {
		name     string
		requests [2]int
		prompt   [2]int
		log      [2]float64 // measured durations, as the logarithm of their ratio to the average
		want     string
	}{
		{"one long prompt against five short ones", [2]int{1, 5}, [2]int{40_000, 4130}, [2]float64{}, "e1"},
		{"equal prompts at a slow engine", [2]int{2, 2}, [2]int{9190, 9190}, [2]float64{math.Log(3), 0}, "e1"},
		{"fewer prompt tokens at a slow engine", [2]int{2, 2}, [2]int{8000, 12_000}, [2]float64{math.Log(3), 0}, "e1"},
		{"no work known", [2]int{5, 1}, [2]int{}, [2]float64{}, "e1"},
		{"a slow engine without work", [2]int{0, 1}, [2]int{0, 9190}, [2]float64{math.Log(3), 0}, "e0"},
	} {
		w := newWorkCluster()
		d := Demand{Running: map[Place]int{}, Work: map[fleet.Incarnation]EngineWork{}}
		for i, id := range []fleet.Incarnation{e0, e1} {
			d.Running[Place{id, "m00"}] = c.requests[i]
			d.Work[id] = EngineWork{PendingPrompt: c.prompt[i]}
			d.Samples = append(d.Samples, workcost.Sample{Incarnation: id, Count: 10, LogRatio: 10 * c.log[i]})
		}
		w.p.ReceiveDemand(w.now, "d", d)
		if a := w.p.Want(w.now, Want{Model: "m00"}); a.Endpoint.ID != c.want {
			t.Errorf("%s: answer %+v, want %s", c.name, a, c.want)
		}
	}
}

// Guards against a burst of long prompts at one engine: prompts of answers count until their
// daemon has reported them, or should have.
func TestDirectedPromptsCountUntilReported(t *testing.T) {
	w := newWorkCluster()
	long := Want{Model: "m00", Daemon: "d", Work: workcost.Work{Prompt: 20_000, Output: 50}}
	first := w.p.Want(w.now, long).Endpoint
	if second := w.p.Want(w.now, long).Endpoint; second == first {
		t.Fatal("two long prompts were directed to the same of two idle engines")
	}
	pending := func() int {
		_, n := w.p.speedAndWork(w.now, w.p.engineOf(first))
		return n
	}
	if n := pending(); n != 20_000 {
		t.Errorf("%d prompt tokens count for an answer, want 20000", n)
	}
	w.run(answerDelay + 20*time.Millisecond)
	w.p.ReceiveDemand(w.now, "d", workAt(first, 20_000, 20_050))
	if n := pending(); n != 20_000 {
		t.Errorf("%d prompt tokens count after the report, want 20000", n)
	}
	w.p.ReceiveDemand(w.now, "d", Demand{})
	if n := pending(); n != 0 {
		t.Errorf("%d prompt tokens count after the request has begun its answer, want 0", n)
	}
}

// Speeds are known from the first report on, are not known any more after a while without
// measurements, and are forgotten with an engine's incarnation. Samples that are not numbers
// change nothing.
func TestSpeedsOfEngines(t *testing.T) {
	w := newWorkCluster()
	e0 := w.engines[0].endpoint.Incarnation()
	sample := func(log float64, count int) Demand {
		return Demand{Samples: []workcost.Sample{{Incarnation: e0, Count: count, LogRatio: log}}}
	}
	for _, log := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		w.p.ReceiveDemand(w.now, "a", sample(log, 1))
	}
	w.p.ReceiveDemand(w.now, "a", sample(1, -5))
	if s := w.loadOf(0).Speed; s != 0 {
		t.Errorf("speed without a usable sample: %v, want unknown", s)
	}
	w.p.ReceiveDemand(w.now, "a", sample(10*math.Log(3), 10))
	if s := w.loadOf(0).Speed; s > 0.5 || s < 0.25 {
		t.Errorf("speed after ten measurements of a threefold duration: %v, want about 1/3", s)
	}
	if s := w.loadOf(1).Speed; s != 0 {
		t.Errorf("speed of an engine without measurements: %v, want unknown", s)
	}
	w.run(maxSpeedAge)
	if s := w.loadOf(0).Speed; s != 0 {
		t.Errorf("speed %v after the last measurement: %v, want unknown", maxSpeedAge, s)
	}
	w.p.ReceiveDemand(w.now, "a", sample(10*math.Log(3), 10))
	w.engines[0].restart(w.now)
	w.entries()
	if s := w.loadOf(0).Speed; s != 0 {
		t.Errorf("speed after a restart: %v, want unknown", s)
	}
}

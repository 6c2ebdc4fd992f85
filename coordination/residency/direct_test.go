package residency

import (
	"math"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
)

// Load: short prompts of urgent callers and a fifth of long ones, at engines that differ in speed.
// Guards against requests that are directed by reports of prompts that have been processed since.
func TestDirectedPromptsWaitLess(t *testing.T) {
	for seed := range uint64(3) {
		byReport, directed := newPromptLoad(true, seed), newPromptLoad(true, seed)
		directed.directed = true
		for _, s := range []*promptLoad{byReport, directed} {
			s.play(60, 35)
		}
		t.Logf("seed %d: 99%% of the first events of short prompts within %v, by reports %v; work of the busiest engine to the mean %.2f, by reports %.2f", seed,
			directed.wait(0.99).Round(time.Millisecond), byReport.wait(0.99).Round(time.Millisecond), directed.imbalance(), byReport.imbalance())
		if got := directed.wait(0.99); got > 500*time.Millisecond || got > byReport.wait(0.99) {
			t.Errorf("seed %d: 99%% within %v, want at most the objective of 500 ms, and less than by reports", seed, got)
		}
		if got := directed.imbalance(); got > 1.5 {
			t.Errorf("seed %d: the busiest engine works %.2f times the mean, want at most 1.5", seed, got)
		}
	}
}

func longWant(parts ...protocol.PromptPart) Want {
	return Want{Model: "m00", Daemon: "d", Work: workcost.Work{Prompt: 10_000, Output: 50}, PromptTime: 300 * time.Millisecond, Parts: parts}
}

// Guards against prompts that all go to the engine that looked idle in the last report.
func TestDirectedPromptsSpread(t *testing.T) {
	w := newWorkCluster()
	first, second := w.p.Want(w.now, longWant()).Endpoint, w.p.Want(w.now, longWant()).Endpoint
	if first == second {
		t.Fatalf("two long prompts were directed to %s within one report", first.ID)
	}
}

// Guards against prompt parts that are processed again though an engine holds them, and against a
// crowd at that engine: parts are worth no more wait than the time they save.
func TestDirectedPromptsReuseHeldParts(t *testing.T) {
	w := newWorkCluster()
	shared := protocol.PromptPart{ID: "p", Tokens: 9000}
	holder := w.p.Want(w.now, longWant(shared)).Endpoint
	w.run(500 * time.Millisecond)
	if got := w.p.Want(w.now, longWant(shared)).Endpoint; got != holder {
		t.Fatalf("directed to %s, want %s, which holds the shared part", got.ID, holder.ID)
	}
	for range 20 {
		if w.p.Want(w.now, longWant(shared)).Endpoint != holder {
			return
		}
	}
	t.Fatal("20 prompts were directed to one engine at once")
}

// Guards against an engine in another failure domain that gets requests while one nearby is idle.
func TestDirectedPromptsStayInTheFailureDomain(t *testing.T) {
	w := newWorkCluster()
	for i, e := range w.engines {
		e.endpoint.FailureDomain = []string{"near", "far"}[i]
		e.publish()
	}
	w.entries()
	want := longWant()
	for range 4 {
		want.FailureDomain = "near"
		if got := w.p.Want(w.now, want).Endpoint; got.ID != w.engines[0].endpoint.ID {
			t.Fatalf("directed to %s", got.ID)
		}
		w.run(time.Second)
		w.p.ReceiveDemand(w.now, want.Daemon, Demand{}) // the request has ended
	}
}

// Guards against absurd sizes and times in a question that make an engine look busy for minutes or
// crash the coordinator.
func TestDirectedPromptsWithAbsurdSizes(t *testing.T) {
	for _, want := range []Want{
		{Work: workcost.Work{Prompt: math.MaxInt, Output: math.MaxInt}, PromptTime: math.MaxInt64},
		{Work: workcost.Work{Prompt: 1}, PromptTime: math.MaxInt64},
		{Work: workcost.Work{Prompt: math.MinInt}, PromptTime: math.MinInt64},
		{Work: workcost.Work{Prompt: 10}, PromptTime: time.Second, Parts: []protocol.PromptPart{{ID: "p", Tokens: math.MaxInt}, {ID: "q", Tokens: math.MaxInt}}},
	} {
		w := newWorkCluster()
		want.Model, want.Daemon = "m00", "d"
		for range 50 {
			if a := w.p.Want(w.now, want); a.Endpoint.IsZero() || a.ReadyIn < 0 {
				t.Fatalf("%+v: %+v", want, a)
			}
		}
		for _, e := range w.p.sorted {
			if b := e.backlog(w.now); b < 0 || b > maxBacklog {
				t.Errorf("%+v: backlog of %v", want, b)
			}
		}
	}
}

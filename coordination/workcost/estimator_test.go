package workcost

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

func TestWorkOf(t *testing.T) {
	for _, c := range []struct {
		prompt, output int
		known          bool
		want           Work
	}{
		{9190, 50, true, Work{9190, 50}},
		{0, 0, true, Work{}},
		{-5, math.MinInt, true, Work{}},
		{math.MaxInt, 2_000_000, true, Work{maxTokens, maxTokens}},
		{7, 7, false, Work{defaultPrompt, defaultOutput}},
	} {
		if got := WorkOf(c.prompt, c.output, c.known); got != c.want {
			t.Errorf("WorkOf(%d, %d, %v) = %+v, want %+v", c.prompt, c.output, c.known, got, c.want)
		}
	}
}

// learn makes the estimator measure durations at an engine that exceed its estimates by a factor.
func learn(e *Estimator, now time.Time, engine fleet.Incarnation, model string, times int, took time.Duration) {
	for range times {
		e.ObserveFirstEvent(now, engine, model, Work{Prompt: 9190}, Load{}, took)
	}
}

// Guards against an estimate that neglects one of its inputs.
func TestEstimateFollowsItsInputs(t *testing.T) {
	e := New()
	small, long := Work{Prompt: 826, Output: 58}, Work{Prompt: 9190, Output: 10}
	base := e.Estimate(start, e1, "m", small, Load{})
	if base.Known || base.Age != 0 {
		t.Errorf("%+v, want an unknown engine", base)
	}
	if got := e.Estimate(start, e1, "m", long, Load{}); got.FirstEvent < 4*base.FirstEvent || got.Gap != base.Gap {
		t.Errorf("long prompt: %+v, against %+v", got, base)
	}
	if got := e.Estimate(start, e1, "m", small, Load{PendingPrompt: 9190}); got.FirstEvent < 4*base.FirstEvent || got.Gap < 5*base.Gap {
		t.Errorf("behind a long prompt: %+v, against %+v", got, base)
	}
	if got := e.Estimate(start, e1, "m", small, Load{Running: 60}); got.Gap <= base.Gap || got.End <= base.End {
		t.Errorf("with 60 running requests: %+v, against %+v", got, base)
	}
	double := Work{Prompt: 826, Output: 2 * 58}
	if got := e.Estimate(start, e1, "m", double, Load{}); got.FirstEvent != base.FirstEvent || got.End-got.FirstEvent < 2*(base.End-base.FirstEvent)-time.Microsecond {
		t.Errorf("twice the output: %+v, against %+v", got, base)
	}
	e.SetStride(10)
	if got := e.Estimate(start, e1, "m", small, Load{}); got.Gap != 2*base.Gap {
		t.Errorf("twice the tokens for each event: a pause of %v, against %v", got.Gap, base.Gap)
	}
}

// Attention doubles the time of a prompt of 40,000 tokens. Guards against linear estimates, and
// against counting several prompts as a single one.
func TestCostOfVeryLongPrompts(t *testing.T) {
	e := New()
	first := func(prompt, pending int) float64 {
		return (e.Estimate(start, e1, "m", Work{Prompt: prompt}, Load{PendingPrompt: pending}).FirstEvent - baseLatency).Seconds()
	}
	if r := first(40_000, 0) / (40 * first(1000, 0)); r < 1.4 || r > 2 {
		t.Errorf("a prompt of 40,000 tokens takes %.2f times as long as 40 of 1,000", r)
	}
	if r := (first(0, 50_000) - first(0, 0)) / (5 * (first(10_000, 0) - first(0, 0))); r < 0.8 || r > 1.25 {
		t.Errorf("pending prompts of 10,000 tokens take %.2f times as long as estimated for each", 1/r)
	}
	if d := e.PromptTime(start, e1, "m", 9190) - PromptTime(9190, 1); d != 0 {
		t.Errorf("without measurements, PromptTime depends on the estimator: difference %v", d)
	}
}

// A model that is measured at one engine is expected to have its pace at others, and in the
// generation of tokens. Models and engines that are not known have the middle value.
func TestPaceOfModels(t *testing.T) {
	e := New()
	for i := range 20 {
		took := 100 * time.Millisecond
		if i%2 == 1 {
			took *= 4
		}
		learn(e, start, e1, fmt.Sprint("m", i%2), 10, took)
	}
	est := func(model string) Estimate {
		return e.Estimate(start, e2, model, Work{Prompt: 9190, Output: 10}, Load{})
	}
	fast, slow, unknown := est("m0"), est("m1"), est("new")
	if r := slow.FirstEvent.Seconds() / fast.FirstEvent.Seconds(); r < 3 || r > 5 {
		t.Errorf("first events differ by %.2f, want about 4", r)
	}
	if r := slow.Gap.Seconds() / fast.Gap.Seconds(); r < 3 || r > 5 {
		t.Errorf("gaps differ by %.2f, want about 4 although only first events were measured", r)
	}
	if unknown.FirstEvent <= fast.FirstEvent || unknown.FirstEvent >= slow.FirstEvent {
		t.Errorf("unknown model: first event after %v, want between %v and %v", unknown.FirstEvent, fast.FirstEvent, slow.FirstEvent)
	}
	if unknown.Known {
		t.Error("an engine without measurements counts as known")
	}
}

// An engine that was slow is tried again: its factor decays to the middle value.
func TestSpeedsDecay(t *testing.T) {
	e := New()
	e.Merge(start, []Speed{{e1, 0.25}, {e2, 4}})
	for _, c := range []struct {
		after      time.Duration
		slow, fast float64
	}{{0, 0.25, 4}, {factorHalfLife, 0.5, 2}, {10 * factorHalfLife, 1, 1}} {
		slow, age := e.Speed(start.Add(c.after), e1)
		fast, _ := e.Speed(start.Add(c.after), e2)
		if math.Abs(slow-c.slow) > 0.01 || math.Abs(fast-c.fast) > 0.01 || age != c.after {
			t.Errorf("after %v: speeds %.3f and %.3f of age %v, want %v and %v", c.after, slow, fast, age, c.slow, c.fast)
		}
	}
	if s, age := e.Speed(start, fleet.Incarnation{ID: "new"}); s != 1 || age != 0 {
		t.Errorf("speed of a new engine: %v of age %v, want 1 of age 0", s, age)
	}
}

// The deviations of a model that is hardly known are not attributed to the engine. Guards against
// speeds that depend on which models an engine has just loaded.
func TestNewModelDoesNotChangeSpeeds(t *testing.T) {
	e := New()
	learn(e, start, e1, "m", minModelCount, 2*time.Second)
	if e.Measured(e1) || len(e.TakeSamples()) != 0 {
		t.Fatal("the first measurements of a model count for the engine")
	}
	learn(e, start, e1, "m", 1, 2*time.Second)
	if !e.Measured(e1) || len(e.TakeSamples()) != 1 {
		t.Fatal("later measurements do not count for the engine")
	}
	if len(e.TakeSamples()) != 0 {
		t.Fatal("samples are reported twice")
	}
}

// bigEstimator knows 600 engines and 221 models.
func bigEstimator() (*Estimator, []fleet.Incarnation) {
	e := New()
	ids := make([]fleet.Incarnation, 600)
	for i := range ids {
		ids[i] = fleet.Incarnation{ID: fmt.Sprintf("engine-%03d.zone-a.example", i), StartUnixMs: 1_796_000_000_000 + int64(i)}
		learn(e, start, ids[i], fmt.Sprintf("model-%03d", i%221), 8, time.Second)
	}
	return e, ids
}

// Guards against allocations in a routing decision.
func TestEstimateDoesNotAllocate(t *testing.T) {
	e, ids := bigEstimator()
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		id := ids[i%len(ids)]
		i++
		_ = e.Estimate(start, id, "model-007", Work{Prompt: 9190, Output: 50}, Load{Running: 8, PendingPrompt: 20_000})
		_ = e.PromptTime(start, id, "model-007", 9190)
		_, _ = e.Speed(start, id)
	}); n != 0 {
		t.Errorf("%v allocations, want none", n)
	}
}

func BenchmarkEstimate(b *testing.B) {
	e, ids := bigEstimator()
	for i := 0; b.Loop(); i++ {
		_ = e.Estimate(start, ids[i%len(ids)], "model-007", Work{Prompt: 9190, Output: 50}, Load{Running: 8, PendingPrompt: 20_000})
	}
}

// Daemons whose estimates of the service have a common bias find all engines slow. Guards against
// speeds that follow the bias: in the end, engines that are alike have the speed 1, and the others
// their speed relative to the mean.
func TestSpeedsAreRelativeToTheMean(t *testing.T) {
	e := New()
	now := start
	for range 2000 {
		now = now.Add(100 * time.Millisecond)
		e.MergeSample(now, Sample{e1, 1, math.Log(4)})
		e.MergeSample(now, Sample{e2, 1, math.Log(2)})
	}
	slow, _ := e.Speed(now, e1)
	fast, _ := e.Speed(now, e2)
	if math.Abs(slow*math.Sqrt2-1) > 0.1 || math.Abs(fast/math.Sqrt2-1) > 0.1 {
		t.Errorf("speeds %.3f and %.3f, want 0.707 and 1.414", slow, fast)
	}
}

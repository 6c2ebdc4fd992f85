package workcost

import (
	"math"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

var (
	e1 = fleet.Incarnation{ID: "e1", StartUnixMs: 1}
	e2 = fleet.Incarnation{ID: "e2", StartUnixMs: 1}
)

// checkUsable fails the test if an estimate or speed is not finite, positive and bounded.
func checkUsable(t *testing.T, e *Estimator, now time.Time, engine fleet.Incarnation, model string, w Work, l Load) {
	t.Helper()
	est := e.Estimate(now, engine, model, w, l)
	for _, d := range []time.Duration{est.FirstEvent, est.Gap, est.End, est.End - est.FirstEvent + 1, maxEstimate - est.End + 1} {
		if d <= 0 {
			t.Fatalf("Estimate(%+v, %+v) = %+v", w, l, est)
		}
	}
	if est.Age < 0 {
		t.Fatalf("age %v", est.Age)
	}
	if d := e.PromptTime(now, engine, model, w.Prompt); d < 0 || d > maxEstimate {
		t.Fatalf("PromptTime(%d) = %v", w.Prompt, d)
	}
	if s, age := e.Speed(now, engine); !(s >= 0.12 && s <= 8.01) || age < 0 {
		t.Fatalf("Speed = %v, %v", s, age)
	}
}

// Guards against a report or measurement that makes an engine receive all requests or none, and
// against overflow.
func TestInvalidInput(t *testing.T) {
	ints := []int{math.MinInt, -1, 0, 1, 1_000_000, math.MaxInt}
	durations := []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64}
	floats := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -math.MaxFloat64, -1, 0, math.SmallestNonzeroFloat64, math.MaxFloat64}
	times := []time.Time{{}, start, start.Add(-1000 * time.Hour), start.Add(1_000_000 * time.Hour)}
	e := New()
	for i := range 600 {
		w := Work{Prompt: ints[i%6], Output: ints[i/6%6]}
		l := Load{Running: ints[i/36%6], PendingPrompt: ints[i/2%6]}
		now := times[i%4]
		e.SetStride(ints[i%6])
		e.ObserveFirstEvent(now, e1, "m", w, l, durations[i%5])
		e.ObserveGap(now, e1, "m", l, durations[i/5%5])
		e.MergeSample(now, Sample{e1, ints[i/7%6], floats[i%8]})
		e.Merge(now, []Speed{{e1, floats[i/8%8]}})
		checkUsable(t, e, now, e1, "m", w, l)
		checkUsable(t, e, now, e2, "unknown", w, l)
	}
	for _, s := range e.TakeSamples() {
		if s.Count <= 0 || !(math.Abs(s.LogRatio) <= float64(s.Count)*maxLogFactor) {
			t.Errorf("sample %+v is out of bounds", s)
		}
	}
}

// Guards against input that one of the tables does not contain.
func FuzzEstimator(f *testing.F) {
	f.Add(9190, 50, 3, 40_000, int64(time.Second), int64(time.Second), 0.3, 4, 1.2)
	f.Add(-1, math.MinInt, math.MaxInt, math.MaxInt, int64(math.MinInt64), int64(math.MaxInt64), math.NaN(), -3, math.Inf(1))
	f.Fuzz(func(t *testing.T, prompt, output, running, pending int, took, after int64, logRatio float64, count int, relative float64) {
		e, now := New(), start
		w, l := Work{Prompt: prompt, Output: output}, Load{Running: running, PendingPrompt: pending}
		for range 6 { // beyond minModelCount
			e.ObserveFirstEvent(now, e1, "m", w, l, time.Duration(took))
			e.ObserveGap(now, e1, "m", l, time.Duration(took))
			checkUsable(t, e, now, e1, "m", w, l)
			now = now.Add(time.Duration(after))
		}
		for _, s := range append(e.TakeSamples(), Sample{e1, count, logRatio}) {
			e.MergeSample(now, s)
			checkUsable(t, e, now, e1, "m", w, l)
		}
		e.Merge(now, []Speed{{e1, relative}})
		checkUsable(t, e, now, e1, "m", w, l)
	})
}

// A few measurements that are off by any factor move an engine's speed by a bounded factor. Guards
// against a single hanging request that keeps all others away from its engine.
func TestOneMeasurementIsBounded(t *testing.T) {
	e := New()
	w := Work{Prompt: 9190, Output: 50}
	for range 50 {
		e.ObserveFirstEvent(start, e1, "m", w, Load{}, e.Estimate(start, e1, "m", w, Load{}).FirstEvent)
	}
	before, _ := e.Speed(start, e1)
	e.ObserveFirstEvent(start, e1, "m", w, Load{}, time.Hour)
	after, _ := e.Speed(start, e1)
	if r := before / after; r > math.Exp(engineStep*maxLogRatio)+1e-9 {
		t.Errorf("one measurement changed the speed by a factor of %.3f, want at most %.3f", r, math.Exp(engineStep*maxLogRatio))
	}
}

// Guards against growth with the names of models and with engines that are gone.
func TestStateIsBounded(t *testing.T) {
	e := New()
	w := Work{Prompt: 9190}
	for i := range 3 * maxModels {
		e.ObserveFirstEvent(start, e1, string(rune(i)), w, Load{}, time.Second)
	}
	if len(e.models) > maxModels {
		t.Errorf("%d models are kept, want at most %d", len(e.models), maxModels)
	}
	e = New()
	for _, id := range []fleet.Incarnation{e1, e2} {
		for range 5 {
			e.ObserveFirstEvent(start, id, "m", w, Load{}, time.Second)
		}
	}
	e.Retain(func(id fleet.Incarnation) bool { return id == e2 })
	if e.Measured(e1) || !e.Measured(e2) {
		t.Error("Retain has not kept the second engine only")
	}
	if samples := e.TakeSamples(); len(samples) != 1 || samples[0].Incarnation != e2 {
		t.Errorf("samples %+v, want those of the second engine only", samples)
	}
}

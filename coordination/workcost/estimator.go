package workcost

import (
	"math"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// initialPromptRate and initialStep are assumed until a first answer has been measured: prompt
	// tokens a second, and the time of one step in which each running request gets a token.
	initialPromptRate = 30_000.0
	initialStep       = 6 * time.Millisecond
	// baseLatency is the part of the time to the first event that does not depend on tokens.
	baseLatency = 15 * time.Millisecond
	// stepPerRequest is the share by which each running request lengthens a step.
	stepPerRequest = 0.0025
	// defaultStride is the number of tokens of an event where the service declares none.
	defaultStride = 5
	// maxLogRatio bounds what one measurement can change: a request may have waited for something
	// other than the engine's work.
	maxLogRatio = 1.5
	// The weights of one measurement in the factors of the engine, the model and the service.
	engineStep  = 0.25
	modelStep   = 0.08
	serviceStep = 0.02
	// maxLogFactor bounds the factors of an engine and of a model to 1/8 and 8.
	maxLogFactor = 2.079
	// factorHalfLife is the half-life of an engine's factor without new measurements. Engines are
	// slow for seconds, and an engine that gets no requests for being slow must be tried again.
	factorHalfLife = 8 * time.Second
	// minMeasured is the shortest predicted duration that is learned from: in shorter ones the
	// network and the host dominate.
	minMeasured = 20 * time.Millisecond
)

// factor is a learned logarithm of a duration's ratio: positive for slower than average.
type factor struct {
	log float64
	at  time.Time // last measurement
}

func (f *factor) decayed(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.log * math.Exp2(-max(0, now.Sub(f.at).Seconds())/factorHalfLife.Seconds())
}

func (f *factor) learn(now time.Time, step, residual float64) {
	f.log = clamp(f.decayed(now)+step*residual, maxLogFactor)
	f.at = now
}

func clamp(x, limit float64) float64 { return max(-limit, min(limit, x)) }

// Estimator learns and estimates the costs of one service. It is not safe for concurrent use.
//
// Invariants: estimates are finite and positive for any input; a measurement changes an engine's
// factor by at most engineStep * maxLogRatio, and no factor leaves its bounds.
type Estimator struct {
	stride  int
	service float64            // logarithm of the service-wide ratio to the initial assumptions
	models  map[string]float64 // by model, relative to the service
	engines map[fleet.Incarnation]*factor
	samples map[fleet.Incarnation]*Sample // since the last TakeSamples
}

// New returns an estimator without measurements.
func New() *Estimator {
	return &Estimator{stride: defaultStride, models: map[string]float64{}, engines: map[fleet.Incarnation]*factor{}, samples: map[fleet.Incarnation]*Sample{}}
}

// SetStride sets the number of tokens of one event; values below 1 stand for the default.
func (e *Estimator) SetStride(tokens int) {
	if tokens < 1 {
		tokens = defaultStride
	}
	e.stride = tokens
}

// slowness returns the factor by which durations exceed the initial assumptions.
func (e *Estimator) slowness(now time.Time, engine fleet.Incarnation, model string) float64 {
	log := e.service + e.models[model]
	if f := e.engines[engine]; f != nil {
		log += f.decayed(now)
	}
	return math.Exp(log)
}

// PromptTime returns how long an engine processes a number of prompt tokens.
func (e *Estimator) PromptTime(now time.Time, engine fleet.Incarnation, model string, tokens int) time.Duration {
	return PromptTime(tokens, 1/e.slowness(now, engine, model))
}

// PromptTime returns how long an engine of a relative speed processes a number of prompt tokens of
// a model of average pace, where no estimator has measured the service.
func PromptTime(tokens int, speed float64) time.Duration {
	return seconds(float64(max(0, tokens)) / initialPromptRate / speed)
}

// Estimate returns the expected course of a request that is sent to an engine now.
func (e *Estimator) Estimate(now time.Time, engine fleet.Incarnation, model string, w Work, l Load) Estimate {
	slow := e.slowness(now, engine, model)
	step := stepTime(l) * slow
	first := baseLatency.Seconds() + float64(max(0, w.Prompt)+max(0, l.PendingPrompt))/initialPromptRate*slow + step
	out := Estimate{FirstEvent: seconds(first), Gap: seconds(step * float64(e.stride)), End: seconds(first + step*float64(max(0, w.Output)))}
	if f := e.engines[engine]; f != nil {
		out.Known, out.Age = true, max(0, now.Sub(f.at))
	}
	return out
}

func stepTime(l Load) float64 {
	return initialStep.Seconds() * (1 + stepPerRequest*float64(max(0, l.Running)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ObserveFirstEvent learns from the time between the send of a request and its first event. load is
// the engine's load when the request was sent.
func (e *Estimator) ObserveFirstEvent(now time.Time, engine fleet.Incarnation, model string, w Work, load Load, took time.Duration) {
	e.observe(now, engine, model, e.Estimate(now, engine, model, w, load).FirstEvent-baseLatency, took-baseLatency)
}

// ObserveGap learns from the mean pause between the events of a stream.
func (e *Estimator) ObserveGap(now time.Time, engine fleet.Incarnation, model string, load Load, gap time.Duration) {
	e.observe(now, engine, model, e.Estimate(now, engine, model, Work{}, load).Gap, gap)
}

// observe learns from a measured duration. Samples for the coordinator are relative to an average
// engine: if they were relative to this daemon's estimate of the engine, the coordinator would add
// up what many daemons have found before they received its answer.
func (e *Estimator) observe(now time.Time, engine fleet.Incarnation, model string, predicted, measured time.Duration) {
	if predicted < minMeasured || measured <= 0 {
		return
	}
	residual := clamp(math.Log(measured.Seconds()/predicted.Seconds()), maxLogRatio)
	f := e.engine(engine)
	s := e.samples[engine]
	if s == nil {
		s = &Sample{Incarnation: engine}
		e.samples[engine] = s
	}
	s.Count++
	s.LogRatio += clamp(f.decayed(now)+residual, maxLogFactor)
	e.service = clamp(e.service+serviceStep*residual, 2*maxLogFactor)
	e.models[model] = clamp(e.models[model]+modelStep*residual, maxLogFactor)
	f.learn(now, engineStep, residual)
}

func (e *Estimator) engine(id fleet.Incarnation) *factor {
	f := e.engines[id]
	if f == nil {
		f = &factor{}
		e.engines[id] = f
	}
	return f
}

// Speed returns the speed of an engine relative to the average engine, and the age of its last
// measurement; 1 and zero if it was never measured.
func (e *Estimator) Speed(now time.Time, engine fleet.Incarnation) (relative float64, age time.Duration) {
	f := e.engines[engine]
	if f == nil {
		return 1, 0
	}
	return math.Exp(-f.decayed(now)), max(0, now.Sub(f.at))
}

// Measured reports whether an engine's speed has been measured.
func (e *Estimator) Measured(engine fleet.Incarnation) bool { return e.engines[engine] != nil }

// TakeSamples returns the measurements since the last call, for the coordinator.
func (e *Estimator) TakeSamples() []Sample {
	out := make([]Sample, 0, len(e.samples))
	for _, s := range e.samples {
		out = append(out, *s)
	}
	clear(e.samples)
	return out
}

// Merge takes over speeds that the coordinator has derived from the measurements of all daemons.
// Speeds that are not finite and positive are ignored.
func (e *Estimator) Merge(now time.Time, speeds []Speed) {
	for _, s := range speeds {
		relative := BoundedSpeed(s.Relative)
		if relative == 0 {
			continue
		}
		f := e.engine(s.Incarnation)
		f.log, f.at = -math.Log(relative), now
	}
}

// BoundedSpeed returns a relative speed within the bounds of speeds, or zero if it is not a finite
// positive number and therefore not known.
func BoundedSpeed(relative float64) float64 {
	if !(relative > 0) || math.IsInf(relative, 0) {
		return 0
	}
	return math.Exp(clamp(math.Log(relative), maxLogFactor))
}

// maxSampleCount bounds the weight of one report: with that many measurements, the factor is that
// of the report.
const maxSampleCount = 1000

// MergeSample learns an engine's factor from other daemons' measurements. The service-wide value
// follows the mean of all samples, so that factors stay relative to the average engine even if the
// daemons' own estimates of the service are biased.
func (e *Estimator) MergeSample(now time.Time, s Sample) {
	if s.Count <= 0 || math.IsNaN(s.LogRatio) || math.IsInf(s.LogRatio, 0) {
		return
	}
	f := e.engine(s.Incarnation)
	residual := clamp(clamp(s.LogRatio/float64(s.Count), maxLogFactor)-e.service-f.decayed(now), maxLogRatio)
	e.service = clamp(e.service+weight(serviceStep, s.Count)*residual, 2*maxLogFactor)
	f.learn(now, weight(engineStep, s.Count), residual)
}

// weight returns the weight of several measurements of which each has the weight step.
func weight(step float64, count int) float64 {
	return 1 - math.Pow(1-step, float64(min(count, maxSampleCount)))
}

// Retain removes the factors of engines that keep rejects.
func (e *Estimator) Retain(keep func(fleet.Incarnation) bool) {
	for id := range e.engines {
		if !keep(id) {
			delete(e.engines, id)
			delete(e.samples, id)
		}
	}
}

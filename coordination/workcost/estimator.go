package workcost

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// initialPromptRate and initialStep are assumed until a first answer has been measured: prompt
	// tokens a second, and the time of one step in which each running request gets a token.
	initialPromptRate = 30_000.0
	initialStep       = 6 * time.Millisecond
	// attentionPerPair is the time in seconds, at the initial rate, that attention takes for each pair
	// of a prompt's tokens. 0.5 to 0.7 ms for a million pairs were measured, which doubles the time of
	// a prompt of 40,000 tokens.
	attentionPerPair = 0.6e-9
	// pendingPromptSize is the size of the prompts that pending prompt tokens are assumed to consist
	// of. The sum does not tell it: one long prompt is the usual case, and the largest prompts are
	// underestimated rather than several smaller ones overestimated.
	pendingPromptSize = 20_000
	// chunkTokens is the number of prompt tokens that an engine processes between two steps. Engines
	// do not report it; 2,048 and 4,096 are in use.
	chunkTokens = 2048
	// baseLatency is the part of the time to the first event that does not depend on tokens.
	baseLatency = 15 * time.Millisecond
	// stepPerRequest is the share by which each running request lengthens a step.
	stepPerRequest = 0.0025
	// defaultStride is the number of tokens of an event where the service declares none, and
	// maxStride a bound for declared ones.
	defaultStride = 5
	maxStride     = 1000
	// maxLogRatio bounds what one measurement can change: a request may have waited for something
	// other than the engine's work.
	maxLogRatio = 1.5
	// engineStep is the weight of one measurement in the factor of an engine: ten measurements teach
	// 94% of a sudden change.
	engineStep = 0.25
	// modelStep and serviceStep are the least weights of one measurement in the pace of a model and of
	// the service. First measurements weigh more. Models do not change, but a change of the service
	// as a whole must be followed.
	modelStep   = 0.05
	serviceStep = 0.005
	// minModelCount is the number of measurements of a model from which its deviations count for the
	// engine. Models differ more than engines do.
	minModelCount = 3
	// maxModels bounds the number of models whose pace is learned.
	maxModels = 4096
	// maxLogFactor bounds the factor of an engine, and of a model relative to the service, to 1/8
	// and 8.
	maxLogFactor = 2.079
	// factorHalfLife is the half-life of an engine's factor without new measurements. Engines are
	// slow for seconds, and an engine that gets no requests for being slow must be tried again.
	factorHalfLife = 8 * time.Second
	// minMeasured is the shortest predicted duration that is learned from: in shorter ones the
	// network and the host dominate.
	minMeasured = 20 * time.Millisecond
	// maxEstimate bounds all estimates.
	maxEstimate = 24 * time.Hour
)

// factor is a learned logarithm of a duration's ratio: positive for slower than average.
type factor struct {
	log float64
	at  time.Time // last measurement
}

// decayed returns the present logarithm; zero if nothing has been measured.
func (f *factor) decayed(now time.Time) float64 {
	if f == nil || f.at.IsZero() {
		return 0
	}
	return f.log * math.Exp2(-max(0, now.Sub(f.at).Seconds())/factorHalfLife.Seconds())
}

func (f *factor) learn(now time.Time, step, residual float64) {
	f.log = clamp(f.decayed(now)+step*residual, maxLogFactor)
	f.at = now
}

// pace is the learned logarithm of the ratio of durations to the initial assumptions.
type pace struct {
	log   float64
	count int // measurements
}

// learn moves the pace towards a measurement. The first one decides most, as the initial value says
// little.
func (p *pace) learn(minStep, residual float64) {
	step := max(minStep, 1/(float64(p.count)+1.25))
	p.log += step * residual
	p.count++
}

// The kinds of work whose paces are learned separately.
const (
	prompts = iota // processing of prompts
	steps          // generation of tokens
	kinds
)

// paces are those of a model or of the service, by kind.
type paces [kinds]pace

func clamp(x, limit float64) float64 { return max(-limit, min(limit, x)) }

// Estimator learns and estimates the costs of one service. It is not safe for concurrent use.
//
// Invariants: estimates are finite and positive for any input; a measurement changes an engine's
// factor by at most engineStep * maxLogRatio, and no factor leaves its bounds.
type Estimator struct {
	stride  int
	service paces // mean of all measurements; used for models that are not known
	models  map[string]*paces
	engines map[fleet.Incarnation]*factor
	// middle is the mean of the samples of other daemons. Their estimates of the service may have
	// a common bias, which is no property of the engines.
	middle  float64
	samples map[fleet.Incarnation]*Sample // since the last TakeSamples
}

// New returns an estimator without measurements.
func New() *Estimator {
	return &Estimator{stride: defaultStride, models: map[string]*paces{}, engines: map[fleet.Incarnation]*factor{}, samples: map[fleet.Incarnation]*Sample{}}
}

// SetStride sets the number of tokens of one event; values below 1 stand for the default.
func (e *Estimator) SetStride(tokens int) {
	if tokens < 1 {
		tokens = defaultStride
	}
	e.stride = min(maxStride, tokens)
}

// paceOf returns the logarithm of the pace of one kind of a model, or of the service if m is nil. If
// only the other kind has been measured, the model is assumed to differ from the service as it does
// there.
func (e *Estimator) paceOf(m *paces, kind int) float64 {
	other := kinds - 1 - kind
	switch {
	case m == nil:
		return e.service[kind].log
	case m[kind].count > 0:
		return m[kind].log
	}
	return e.service[kind].log + m[other].log - e.service[other].log
}

// PromptTime returns how long an engine processes a number of prompt tokens.
func (e *Estimator) PromptTime(now time.Time, engine fleet.Incarnation, model string, tokens int) time.Duration {
	return PromptTime(tokens, math.Exp(-e.paceOf(e.models[model], prompts)-e.engines[engine].decayed(now)))
}

// PromptTime returns how long an engine of a relative speed processes a number of prompt tokens of
// a model of average pace, where no estimator has measured the service.
func PromptTime(tokens int, speed float64) time.Duration {
	return seconds(pendingSeconds(tokens) / speed)
}

// promptSeconds returns the time to process one prompt at the initial rate.
func promptSeconds(tokens int) float64 {
	n := float64(min(maxTokens, max(0, tokens)))
	return n/initialPromptRate + attentionPerPair*n*n
}

// pendingSeconds returns the time to process several prompts of which the sum is known.
func pendingSeconds(tokens int) float64 {
	tokens = max(0, tokens)
	return float64(tokens/pendingPromptSize)*promptSeconds(pendingPromptSize) + promptSeconds(tokens%pendingPromptSize)
}

// forecast is the course of a request at an engine in seconds, before rounding.
type forecast struct {
	prompt float64 // until the prompts are processed
	step   float64
	stall  float64 // by which the processing of prompts lengthens a pause between two events
}

func (e *Estimator) forecast(now time.Time, f *factor, model string, w Work, l Load) forecast {
	engineLog, m := f.decayed(now), e.models[model]
	slow := math.Exp(e.paceOf(m, prompts) + engineLog)
	return forecast{
		prompt: (promptSeconds(w.Prompt) + pendingSeconds(l.PendingPrompt)) * slow,
		step:   stepTime(l) * math.Exp(e.paceOf(m, steps)+engineLog),
		stall:  promptSeconds(min(l.PendingPrompt, e.stride*chunkTokens)) * slow,
	}
}

// Estimate returns the expected course of a request that is sent to an engine now.
func (e *Estimator) Estimate(now time.Time, engine fleet.Incarnation, model string, w Work, l Load) Estimate {
	f := e.engines[engine]
	c := e.forecast(now, f, model, w, l)
	first := baseLatency.Seconds() + c.prompt + c.step
	out := Estimate{
		FirstEvent: seconds(first), Gap: seconds(c.step*float64(e.stride) + c.stall),
		End: seconds(first + c.step*float64(min(maxTokens, max(0, w.Output)))),
	}
	if f != nil {
		out.Known, out.Age = true, max(0, now.Sub(f.at))
	}
	return out
}

func stepTime(l Load) float64 {
	return initialStep.Seconds() * (1 + stepPerRequest*float64(max(0, l.Running)))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxEstimate.Seconds()) * float64(time.Second))
}

// ObserveFirstEvent learns from the time between the send of a request and its first event. load is
// the engine's load when the request was sent.
func (e *Estimator) ObserveFirstEvent(now time.Time, engine fleet.Incarnation, model string, w Work, load Load, took time.Duration) {
	f := e.forecast(now, e.engines[engine], model, w, load)
	e.observe(now, engine, model, prompts, measurement{predicted: f.prompt + f.step, measured: (took - baseLatency).Seconds(), share: f.prompt / (f.prompt + f.step)})
}

// ObserveGap learns from the mean pause between the events of a stream. Prompts are processed during
// few of the pauses of a stream, so pending prompt tokens do not matter.
func (e *Estimator) ObserveGap(now time.Time, engine fleet.Incarnation, model string, load Load, gap time.Duration) {
	f := e.forecast(now, e.engines[engine], model, Work{}, load)
	e.observe(now, engine, model, steps, measurement{predicted: f.step * float64(e.stride), measured: gap.Seconds(), share: 1})
}

// measurement is a measured duration in seconds. share is the part of the predicted duration that
// depends on the pace that the measurement is about.
type measurement struct{ predicted, measured, share float64 }

// observe learns from a measured duration. Samples for the coordinator are relative to an average
// engine: if they were relative to this daemon's estimate of the engine, the coordinator would add
// up what many daemons have found before they received its answer.
func (e *Estimator) observe(now time.Time, engine fleet.Incarnation, model string, kind int, m measurement) {
	if m.predicted < minMeasured.Seconds() || m.measured <= 0 {
		return
	}
	deviation := math.Log(m.measured / m.predicted)
	residual := clamp(deviation, maxLogRatio)
	if e.learnModel(model, kind, m.share*residual) < minModelCount {
		return
	}
	f := e.engine(engine)
	e.addSample(engine, f.decayed(now)+deviation)
	f.learn(now, engineStep, residual)
}

// learnModel learns the pace of a model and of the service from a deviation from the model's pace,
// and returns the number of earlier measurements of the model.
func (e *Estimator) learnModel(model string, kind int, residual float64) int {
	m := e.models[model]
	before := e.paceOf(m, kind)
	service := &e.service[kind]
	service.learn(serviceStep, before+residual-service.log)
	service.log = clamp(service.log, 2*maxLogFactor)
	if m == nil {
		if len(e.models) >= maxModels {
			return 0
		}
		m = &paces{}
		e.models[model] = m
	}
	count := m[kind].count
	m[kind].log = before
	m[kind].learn(modelStep, residual)
	m[kind].log = service.log + clamp(m[kind].log-service.log, maxLogFactor)
	return count
}

func (e *Estimator) addSample(engine fleet.Incarnation, logRatio float64) {
	s := e.samples[engine]
	if s == nil {
		s = &Sample{Incarnation: engine}
		e.samples[engine] = s
	}
	s.Count++
	s.LogRatio += clamp(logRatio, maxLogFactor)
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

// TakeSamples returns the measurements since the last call, for the coordinator, sorted by engine.
func (e *Estimator) TakeSamples() []Sample {
	out := make([]Sample, 0, len(e.samples))
	for _, s := range e.samples {
		out = append(out, *s)
	}
	clear(e.samples)
	slices.SortFunc(out, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.StartUnixMs, b.Incarnation.StartUnixMs))
	})
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

// MergeSample learns an engine's factor from other daemons' measurements. Factors are relative to the
// mean of all samples, and so stay relative to the average engine even if the daemons' own
// estimates of the service are biased.
func (e *Estimator) MergeSample(now time.Time, s Sample) {
	if s.Count <= 0 || math.IsNaN(s.LogRatio) || math.IsInf(s.LogRatio, 0) {
		return
	}
	f := e.engine(s.Incarnation)
	mean := clamp(s.LogRatio/float64(s.Count), maxLogFactor)
	residual := clamp(mean-e.middle-f.decayed(now), maxLogRatio)
	e.middle += weight(serviceStep, s.Count) * (mean - e.middle)
	f.learn(now, weight(f.mergeStep(now), s.Count), residual)
}

const (
	// mergeWindow is the time within which a change of speed should be known from all daemons'
	// samples. Samples that are as far apart as a quarter of it weigh as much as at a daemon.
	mergeWindow = time.Second
	// minMergeStep is the least weight of one sample. Many daemons together send tens of samples a
	// second for an engine, of which single ones are slowed by noise.
	minMergeStep = 0.05
)

// mergeStep returns the weight of one sample by the time since the previous one.
func (f *factor) mergeStep(now time.Time) float64 {
	if f.at.IsZero() {
		return engineStep
	}
	return max(minMergeStep, min(engineStep, now.Sub(f.at).Seconds()/mergeWindow.Seconds()))
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

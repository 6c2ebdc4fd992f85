package workcost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simService is a simulated service whose engines and models differ in speed.
type simService struct {
	rng        *rand.Rand
	now        time.Time
	promptRate float64 // prompt tokens a second of an average engine and model
	step       float64 // seconds
	engines    []simEngine
	models     []simModel
}

type simEngine struct {
	id       fleet.Incarnation
	slowness float64
}

type simModel struct {
	name     string
	slowness float64
}

const (
	simStride = 5
	// simAttention is the time for each pair of a prompt's tokens, in units of the time for one
	// token: a slower processor is slower in both.
	simAttention  = 38_700 * 0.6e-9
	simNoiseShare = 0.15
	simNoise      = 2.5
)

// newSimService returns a service with engines that differ twofold and models that differ eightfold.
func newSimService(engines, models int, promptRate, step float64, seed uint64) *simService {
	s := &simService{rng: rand.New(rand.NewPCG(seed, 0)), now: start, promptRate: promptRate, step: step}
	for i := range engines {
		s.engines = append(s.engines, simEngine{fleet.Incarnation{ID: fmt.Sprintf("e%d", i), StartUnixMs: 1}, math.Exp2(float64(i)/float64(engines-1) - 0.5)})
	}
	for i := range models {
		s.models = append(s.models, simModel{fmt.Sprintf("m%d", i), math.Pow(8, float64(i)/float64(models-1)-0.5)})
	}
	return s
}

// simRequest is a request and the prompts that its engine processes before it.
type simRequest struct {
	engine  int
	model   int
	work    Work
	ahead   []int // prompt tokens of each
	running int
	noise   float64
}

func (s *simService) request() simRequest {
	r := simRequest{engine: s.rng.IntN(len(s.engines)), model: s.rng.IntN(len(s.models)), running: s.rng.IntN(40), work: Work{Prompt: s.prompt(), Output: 50}, noise: 1}
	for s.rng.Float64() < 0.3 {
		r.ahead = append(r.ahead, s.prompt())
	}
	if s.rng.Float64() < simNoiseShare {
		r.noise = simNoise
	}
	return r
}

// prompt returns the prompt tokens of a short request, or of a long one with 1,000 to 40,000.
func (s *simService) prompt() int {
	if s.rng.Float64() < 0.6 {
		return 400 + s.rng.IntN(850)
	}
	return int(1000 * math.Pow(40, s.rng.Float64()))
}

func (s *simService) load(r simRequest) Load {
	l := Load{Running: r.running}
	for _, n := range r.ahead {
		l.PendingPrompt += n
	}
	return l
}

func (s *simService) promptTime(tokens int) float64 {
	n := float64(tokens)
	return (n + simAttention*n*n) / s.promptRate
}

func (s *simService) stepTime(r simRequest) float64 {
	return s.step * (1 + 0.0025*float64(r.running)) * s.slowness(r)
}

func (s *simService) slowness(r simRequest) float64 {
	return s.engines[r.engine].slowness * s.models[r.model].slowness * r.noise
}

// speed returns the speed of an engine relative to the geometric mean of all engines.
func (s *simService) speed(engine int) float64 {
	sum := 0.0
	for _, e := range s.engines {
		sum += math.Log(e.slowness)
	}
	return math.Exp(sum/float64(len(s.engines))) / s.engines[engine].slowness
}

// firstEvent and gap return the measured durations.
func (s *simService) firstEvent(r simRequest) time.Duration {
	t := s.promptTime(r.work.Prompt)
	for _, n := range r.ahead {
		t += s.promptTime(n)
	}
	return seconds(0.01 + t*s.slowness(r) + s.stepTime(r))
}

func (s *simService) gap(r simRequest) time.Duration { return seconds(simStride * s.stepTime(r)) }

func (s *simService) estimate(e *Estimator, r simRequest) Estimate {
	return e.Estimate(s.now, s.engines[r.engine].id, s.models[r.model].name, r.work, s.load(r))
}

func (s *simService) observe(e *Estimator, r simRequest) {
	id, model := s.engines[r.engine].id, s.models[r.model].name
	e.ObserveFirstEvent(s.now, id, model, r.work, s.load(r), s.firstEvent(r))
	e.ObserveGap(s.now, id, model, s.load(r), s.gap(r))
}

// errors collects the absolute logarithms of estimated over measured durations.
type errors []float64

func (e *errors) add(estimated, measured time.Duration) {
	*e = append(*e, math.Abs(math.Log(float64(estimated)/float64(measured))))
}

// quantile returns the factor within which a share of the estimates lies.
func (e errors) quantile(share float64) float64 {
	sorted := slices.Sorted(slices.Values(e))
	return math.Exp(sorted[int(share*float64(len(sorted)-1))])
}

// The error bounds of the design, against measurements of which some are slowed. Guards against an
// estimator that neglects a model's pace, an engine's speed, or what very long prompts cost.
func TestErrorOfEstimates(t *testing.T) {
	for _, c := range []struct {
		name             string
		promptRate, step float64
	}{
		{"usual service", 38_700, 0.00547},
		{"slow prompt processing", 12_000, 0.005},
		{"slow steps", 40_000, 0.02},
	} {
		for seed := range uint64(3) {
			s := newSimService(20, 24, c.promptRate, c.step, seed)
			e := New()
			e.SetStride(simStride)
			var first, long, gap errors
			for i := range 8000 {
				s.now = s.now.Add(10 * time.Millisecond)
				r := s.request()
				if i >= 2000 {
					first.add(s.estimate(e, r).FirstEvent, s.firstEvent(r))
					alone := r
					alone.ahead = nil
					gap.add(s.estimate(e, alone).Gap, s.gap(r))
					if r.work.Prompt >= 20_000 {
						long.add(s.estimate(e, r).FirstEvent, s.firstEvent(r))
					}
				}
				s.observe(e, r)
			}
			for kind, errs := range map[string]errors{"first event": first, "first event of long prompts": long, "gap": gap} {
				median, most := errs.quantile(0.5), errs.quantile(0.9)
				t.Logf("%s, seed %d, %s: median %.3f, nine in ten %.3f", c.name, seed, kind, median, most)
				if median > 1.25 || most > 2.5 {
					t.Errorf("%s, seed %d, %s: median error %.3f, nine in ten within %.3f; want 1.25 and 2.5", c.name, seed, kind, median, most)
				}
			}
		}
	}
}

// Guards against a sudden slow-down that is learned late. The measurements of the slow engine have
// no noise, as one slowed measurement among the last ones is allowed to count.
func TestSlowdownIsLearnedInTenSamples(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimService(20, 24, 38_700, 0.00547, seed)
		e := New()
		e.SetStride(simStride)
		for range 4000 {
			s.now = s.now.Add(10 * time.Millisecond)
			s.observe(e, s.request())
		}
		e.TakeSamples()
		slow := s.engines[7].id
		s.engines[7].slowness *= 3
		request := func() simRequest {
			r := s.request()
			r.engine, r.noise = 7, 1
			return r
		}
		for learned := 0; learned < 10; {
			s.now = s.now.Add(50 * time.Millisecond)
			r := request()
			e.ObserveFirstEvent(s.now, slow, s.models[r.model].name, r.work, s.load(r), s.firstEvent(r))
			for _, sample := range e.TakeSamples() {
				learned += sample.Count
			}
		}
		var errs errors
		for range 200 {
			r := request()
			errs.add(s.estimate(e, r).FirstEvent, s.firstEvent(r))
		}
		if median := errs.quantile(0.5); median > 1.25 {
			t.Errorf("seed %d: after ten samples of a threefold slow-down the median error is %.3f, want at most 1.25", seed, median)
		}
	}
}

// Many daemons measure the engines and exchange samples with a coordinator whose answers are old.
// Guards against speeds that overshoot because each daemon reports the same deviation again, and
// against speeds that depend on when a daemon has joined.
func TestExchangedSpeeds(t *testing.T) {
	const daemons, interval = 60, 400 * time.Millisecond
	s := newSimService(10, 24, 38_700, 0.00547, 1)
	center := New()
	list := make([]*Estimator, daemons)
	for i := range list {
		list[i] = New()
		list[i].SetStride(simStride)
	}
	var errs errors
	slow := s.engines[3].id
	for round := range 100 {
		if round == 60 {
			s.engines[3].slowness *= 3
		}
		s.now = s.now.Add(interval)
		var answer []Speed
		for _, en := range s.engines {
			if speed, _ := center.Speed(s.now, en.id); center.Measured(en.id) {
				answer = append(answer, Speed{en.id, speed})
			}
		}
		for _, d := range list {
			for range 3 {
				s.observe(d, s.request())
			}
			for _, sample := range d.TakeSamples() {
				center.MergeSample(s.now, sample)
			}
			d.Merge(s.now, answer) // as of before this round's samples
		}
		if round < 40 || round >= 60 && round < 63 {
			continue
		}
		for i, en := range s.engines {
			speed, _ := center.Speed(s.now, en.id)
			errs = append(errs, math.Abs(math.Log(speed/s.speed(i))))
		}
	}
	speed, _ := list[0].Speed(s.now, slow)
	most := errs.quantile(0.95)
	t.Logf("nineteen in twenty speeds at the coordinator are within a factor of %.3f; speed of the slow engine at a daemon: %.3f, in fact %.3f", most, speed, s.speed(3))
	if most > 1.25 {
		t.Errorf("nineteen in twenty speeds are within a factor of %.3f, want at most 1.25", most)
	}
	if r := speed / s.speed(3); r > 1.25 || r < 1/1.25 {
		t.Errorf("speed of the slow engine at a daemon: %.3f, want about %.3f", speed, s.speed(3))
	}
}

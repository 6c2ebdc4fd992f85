package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/promptcache"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	promptStep       = 5 * time.Millisecond
	promptRate       = 38.7 // tokens a millisecond of an engine at the usual speed
	decodeStep       = 5470 * time.Microsecond
	tokensPerEvent   = 5
	shortPrompt      = 826
	shortEvents      = 58
	shortTarget      = 500 * time.Millisecond
	longEvents       = 10
	longTarget       = 800 * time.Millisecond
	promptGapTarget  = 500 * time.Millisecond
	promptCache      = 232_000
	promptReportTurn = 400 * time.Millisecond
)

// arrival is a request of the simulated callers. The arrivals do not depend on the choices.
type arrival struct {
	at     time.Duration
	daemon int
	short  bool
	work   workcost.Work
	parts  []protocol.PromptPart
}

// promptEngine processes one prompt after the other, in the order of their arrival, and generates
// the tokens of all requests that have been processed.
type promptEngine struct {
	endpoint *fleet.Endpoint
	freeAt   time.Time // end of the prompts that it has got
	busy     time.Duration
	tokens   float64              // processed
	cached   map[string]time.Time // ids of prompt parts with the time of their last use
}

type promptRequest struct {
	arrival
	engine      *promptEngine
	ticket      Ticket
	began       time.Time
	first, end  time.Time
	firstPassed bool
}

// promptSite simulates daemons that send prompts of different lengths to the replicas of a model, in
// virtual time.
type promptSite struct {
	byWork  bool // the balancer knows the work; otherwise it goes by the number of requests
	daemons []*Balancer
	engines []*promptEngine
	now     time.Time
	active  []*promptRequest
	// reported is the last report of each daemon; lost reports says when none arrive.
	reported    []EngineLoads
	all         EngineLoads // sum of the reports, with the speeds
	lost        func(time.Duration) bool
	speedAt     func(engine int, at time.Duration) float64
	reports     int // turns to report so far
	coordinator *workcost.Estimator

	shorts, lateShorts, longs, lateLongs int
	reprocessed, shared                  int // tokens of shared parts
	questions                            int
	overfull                             int // requests that exceeded the cache of their engine
	held                                 map[*promptEngine]int
}

func newPromptSite(daemons int, speeds []float64, byWork bool) *promptSite {
	s := &promptSite{byWork: byWork, now: start, all: EngineLoads{}, coordinator: workcost.New(), lost: func(time.Duration) bool { return false },
		speedAt: func(engine int, _ time.Duration) float64 { return speeds[engine] }, held: map[*promptEngine]int{}}
	for i := range daemons {
		b := newBalancer(fmt.Sprint("d", i%3), uint64(i))
		b.SetDaemons(daemons)
		s.daemons, s.reported = append(s.daemons, b), append(s.reported, EngineLoads{})
	}
	for i := range speeds {
		e := &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", FailureDomain: fmt.Sprint("d", i%3), Slots: 64}
		s.engines = append(s.engines, &promptEngine{endpoint: e, cached: map[string]time.Time{}})
	}
	return s
}

// promptArrivals returns requests at a rate for a time. Half of them are short. Each shares a part of
// a third of its prompt with others of its kind.
func promptArrivals(seed uint64, rate float64, daemons int, d time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		if at > d.Seconds() {
			return list
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), daemon: rng.IntN(daemons), short: rng.IntN(2) == 0}
		a.work = workcost.Work{Prompt: shortPrompt, Output: shortEvents * tokensPerEvent}
		if !a.short {
			// Log-normal: with a sigma of 0.85, bounded to 40,000, its mean is about 9,190.
			a.work = workcost.Work{Prompt: int(min(40_000, max(1000, 6700*math.Exp(0.85*rng.NormFloat64())))), Output: longEvents * tokensPerEvent}
		}
		common := a.work.Prompt / 3
		a.parts = []protocol.PromptPart{
			{ID: fmt.Sprintf("%t-%d", a.short, rng.IntN(20)), Tokens: common},
			{ID: fmt.Sprint("own", len(list)), Tokens: a.work.Prompt - common},
		}
		list = append(list, a)
	}
}

func (s *promptSite) run(arrivals []arrival, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(promptStep) {
		s.progress()
		s.report()
		for len(arrivals) > 0 && arrivals[0].at <= s.now.Sub(start) {
			s.send(arrivals[0])
			arrivals = arrivals[1:]
		}
	}
}

func (s *promptSite) progress() {
	s.active = slices.DeleteFunc(s.active, func(r *promptRequest) bool {
		b := s.daemons[r.daemon]
		if !r.firstPassed && !r.first.After(s.now) {
			r.firstPassed = true
			b.FirstEvent(s.now, &r.ticket, r.first.Sub(r.began))
			s.count(r)
		}
		if r.end.After(s.now) {
			return false
		}
		b.Ended(s.now, &r.ticket, r.end.Sub(r.began), true)
		s.held[r.engine] -= r.work.Held()
		return true
	})
}

func (s *promptSite) count(r *promptRequest) {
	took := r.first.Sub(r.began)
	switch {
	case r.short:
		s.shorts++
		if took > shortTarget {
			s.lateShorts++
		}
	default:
		s.longs++
		if took > longTarget {
			s.lateLongs++
		}
	}
}

// report lets the daemons report to the coordinator in turn and receive the sum of all reports, which
// is between 0 and twice the interval old when it is used.
func (s *promptSite) report() {
	elapsed := s.now.Sub(start)
	for ; s.reports < int(elapsed*time.Duration(len(s.daemons))/promptReportTurn); s.reports++ {
		if s.lost(elapsed) {
			continue
		}
		i := s.reports % len(s.daemons)
		b := s.daemons[i]
		s.add(s.reported[i], -1)
		s.reported[i] = b.OwnLoads()
		s.add(s.reported[i], 1)
		for _, sample := range b.TakeSamples("llm") {
			s.coordinator.MergeSample(s.now, sample)
		}
		s.setSpeeds()
		b.ReceiveLoads("llm", s.now.Add(-promptReportTurn/2), s.all, s.reported[i])
	}
}

// add adds a report to the sum, or with sign -1 takes it out.
func (s *promptSite) add(report EngineLoads, sign int) {
	for id, l := range report {
		sum := s.all[id]
		s.all[id] = EngineLoad{Running: sum.Running + sign*l.Running, PendingPrompt: sum.PendingPrompt + sign*l.PendingPrompt, Held: sum.Held + sign*l.Held}
	}
}

func (s *promptSite) setSpeeds() {
	for _, e := range s.engines {
		id := e.endpoint.Incarnation()
		sum := s.all[id]
		sum.Speed, _ = s.coordinator.Speed(s.now, id)
		s.all[id] = sum
	}
}

func (s *promptSite) send(a arrival) {
	q := Query{Unit: "m", Affinity: a.parts[0].ID}
	if s.byWork {
		q.Work, q.Parts, q.GapTarget, q.CacheTokens = a.work, a.parts, promptGapTarget, promptCache
	}
	b := s.daemons[a.daemon]
	candidates := make([]*fleet.Endpoint, len(s.engines))
	for i, e := range s.engines {
		candidates[i] = e.endpoint
	}
	if b.NearCapacity(s.now, candidates, q) {
		s.questions++
	}
	picked := b.Pick(s.now, candidates, q)
	i := slices.Index(candidates, picked)
	e, speed := s.engines[i], s.speedAt(i, s.now.Sub(start))
	r := &promptRequest{arrival: a, engine: e, ticket: b.Started(s.now, picked, q), began: s.now}
	tokens := float64(s.uncached(e, a))
	processing := time.Duration(tokens / promptRate / speed * float64(time.Millisecond))
	e.busy, e.tokens = e.busy+processing, e.tokens+tokens
	e.freeAt = later(e.freeAt, s.now).Add(processing)
	step := time.Duration(float64(decodeStep) / speed)
	r.first = e.freeAt.Add(15*time.Millisecond + step)
	r.end = r.first.Add(time.Duration(a.work.Output) * step)
	s.held[e] += a.work.Held()
	if s.held[e] > promptCache {
		s.overfull++
	}
	s.active = append(s.active, r)
}

// uncached returns the tokens of a prompt that an engine has to process, and keeps its shared part in
// the engine's cache.
func (s *promptSite) uncached(e *promptEngine, a arrival) int {
	part := a.parts[0]
	used, ok := e.cached[part.ID]
	e.cached[part.ID] = s.now
	s.shared += part.Tokens
	if ok && s.now.Sub(used) < promptcache.HeldFor {
		return a.work.Prompt - part.Tokens
	}
	s.reprocessed += part.Tokens
	return a.work.Prompt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unequal returns the busiest engine's work over the mean, as prompt tokens and as time.
func (s *promptSite) unequal() (tokens, seconds float64) {
	var work, busy []float64
	for _, e := range s.engines {
		work, busy = append(work, e.tokens), append(busy, e.busy.Seconds())
	}
	return mostOverMean(work), mostOverMean(busy)
}

func mostOverMean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return slices.Max(values) / sum * float64(len(values))
}

// playPrompts plays the same arrivals by the number of requests and by work.
func playPrompts(speeds []float64, prepare func(*promptSite)) (byNumber, byWork total) {
	const daemons, rate, plays, length = 60, 11, 4, 5 * time.Minute
	var sites [2][]*promptSite
	for seed := range plays {
		arrivals := promptArrivals(uint64(seed), rate, daemons, length)
		for i := range sites {
			s := newPromptSite(daemons, speeds, i == 1)
			prepare(s)
			s.run(arrivals, length+20*time.Second)
			sites[i] = append(sites[i], s)
		}
	}
	return totalOf(sites[0]), totalOf(sites[1])
}

func equalSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

// total adds up plays of different arrivals.
type total struct {
	shorts, lateShorts, longs, lateLongs, reprocessed, shared, questions, overfull int
	tokens, seconds                                                                float64 // busiest over mean, the average of the plays
}

func totalOf(sites []*promptSite) (t total) {
	for _, s := range sites {
		t.shorts, t.lateShorts, t.longs, t.lateLongs = t.shorts+s.shorts, t.lateShorts+s.lateShorts, t.longs+s.longs, t.lateLongs+s.lateLongs
		t.reprocessed, t.shared = t.reprocessed+s.reprocessed, t.shared+s.shared
		t.questions, t.overfull = t.questions+s.questions, t.overfull+s.overfull
		tokens, seconds := s.unequal()
		t.tokens, t.seconds = t.tokens+tokens/float64(len(sites)), t.seconds+seconds/float64(len(sites))
	}
	return t
}

func (t total) lateShort() float64 { return float64(t.lateShorts) / float64(t.shorts) }

func (t total) String() string {
	return fmt.Sprintf("late short %.4f, late long %.4f, busiest over mean %.2f by tokens and %.2f by time, shared parts processed %.3f, questions %d of %d, beyond the cache %d",
		t.lateShort(), float64(t.lateLongs)/float64(t.longs), t.tokens, t.seconds, float64(t.reprocessed)/float64(t.shared), t.questions, t.shorts+t.longs, t.overfull)
}

// Guards against routing by the number of requests, where short prompts wait behind long ones and
// slow engines get as much as others.
func TestLongAndShortPromptsShareSevenReplicas(t *testing.T) {
	for _, c := range []struct {
		name    string
		speeds  []float64
		prepare func(*promptSite)
	}{
		{"equal engines", equalSpeeds(7), func(*promptSite) {}},
		{"unequal engines", []float64{0.55, 0.55, 1.2, 1.2, 1.2, 1.2, 1.2}, func(*promptSite) {}},
		{"reports are lost for 4 of 10 s", equalSpeeds(7), func(s *promptSite) {
			s.lost = func(at time.Duration) bool { return at%(10*time.Second) < 4*time.Second }
		}},
		{"an engine turns slow by a factor of 3 for 15 of 60 s", equalSpeeds(7), func(s *promptSite) {
			s.speedAt = func(engine int, at time.Duration) float64 {
				if engine == int(at/time.Minute) && at%time.Minute < 15*time.Second {
					return 1.0 / 3
				}
				return 1
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			byNumber, byWork := playPrompts(c.speeds, c.prepare)
			t.Logf("by number: %v", byNumber)
			t.Logf("by work:   %v", byWork)
			if byWork.lateShorts >= byNumber.lateShorts {
				t.Errorf("%d short prompts late by work, %d by the number of requests", byWork.lateShorts, byNumber.lateShorts)
			}
			if byWork.seconds >= 1.5 {
				t.Errorf("the busiest engine works %.2f times the mean, want less than 1.5", byWork.seconds)
			}
			if byWork.questions > byWork.shorts/100 {
				t.Errorf("%d questions to the coordinator", byWork.questions)
			}
		})
	}
}

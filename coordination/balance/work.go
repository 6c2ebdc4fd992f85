package balance

import (
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/promptcache"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// levelTime is the time that weighs as much as all slots of an engine. With 64 slots, a request
	// waits 9 ms rather than share an engine with one more request, which lengthens each of its
	// steps by 0.25%: 4 ms over a stream of 1.7 s, and longer while that request's prompt is
	// processed. Trials with 300 to 800 ms differed little in late requests; below 500 ms, the fast
	// ones of unequal engines got close to 1.5 times the mean work.
	levelTime = 600 * time.Millisecond
	// speedTolerance is the factor by which a learned speed may differ from the average without
	// effect, and the median error that is allowed for estimates. All daemons learn the same speeds:
	// if errors had effect, the long prompts of all would go to the engine that looks fastest.
	speedTolerance = 1.25
	// crowding is the share of the requests since the report that compete for the same engines.
	// Requests that share other parts prefer other engines. If all counted, requests would leave the
	// engine that holds their parts too often: engines then processed 0.25 of the shared parts again
	// instead of 0.21 (trial, TestLongAndShortPromptsShareSevenReplicas).
	crowding = 0.3
	// sharedWeight is the weight of the time for a prompt's shared parts in the affinity rank. The
	// best and the next of several engines differ by a fraction of the rank, but by nearly the whole
	// time, since few requests with these parts go to the next. Trials, share of the shared parts
	// processed again and busiest over mean work of 7 engines: 0.21 and 1.30 with 1, 0.18 and 1.37
	// with 2, 0.16 and 1.39 with 3, 0.13 and 1.46 with 5. With 3, it was 1.78 for 12 engines.
	sharedWeight = 2.0
	// ownLevel is the weight of a level of work among this daemon's own requests, where a running
	// request weighs one: a wait of 150 ms. Each stands for others that are not known.
	ownLevel = 4.0
	// beyondPromptBound is the cost of an engine that gets no further long prompt, as a share of its
	// slots. Ten times levelTime is longer than the wait at any engine that is below the bound.
	beyondPromptBound = 10.0
	// cacheFull is the cost of an engine whose cache does not hold the request.
	cacheFull = 100.0
	// gapTargetFor is how long the strictest gap target of a service's requests applies after the
	// last request that has it.
	gapTargetFor = time.Minute
	// longPromptStep is the weight of one request in the mean prompt time of a service.
	longPromptStep = 0.05
	// tokensPriced is the number of tokens for which the processing time is estimated: enough that
	// rounding to nanoseconds does not matter.
	tokensPriced = 1000
)

// requestWork is the work of a request, with what is the same for all candidates.
type requestWork struct {
	known       bool
	service     *service
	model       string
	work        workcost.Work
	held        promptcache.HeldPrompt
	cacheTokens int
	average     float64 // seconds for a prompt token on an average engine
	pause       float64 // seconds between two events of an average stream
	bound       float64 // seconds of pending prompts beyond which an engine gets no long prompt; zero for no bound
	long        bool    // its prompt takes an average engine longer than pause
	affinity    float64 // cost of the worst affinity rank
}

// requestWork returns the work of a request for a service. The work of a request of unknown size is
// unknown, and does not change the choice.
func (b *Balancer) requestWork(now time.Time, s *service, q Query) requestWork {
	r := requestWork{affinity: affinity}
	if !q.sized() {
		return r
	}
	r.known, r.service, r.model = true, s, q.model()
	r.work, r.cacheTokens = q.Work, q.CacheTokens
	r.held = b.prefixes.Held(now, q.Unit, q.Parts)
	r.average = s.tokenTime(now, fleet.Incarnation{}, r.model)
	r.pause = s.pause(now, r.model).Seconds()
	r.long = float64(q.Work.Prompt)*r.average > r.pause
	if s.gapTarget > 0 && now.Sub(s.gapTargetAt) < gapTargetFor {
		r.bound = max(r.pause, s.gapTarget.Seconds()-r.pause)
	}
	r.affinity += sharedWeight * max(0, float64(q.sharedTokens())*r.average-r.pause) / levelTime.Seconds()
	return r
}

// pause returns the time between two events of a stream of a model on an average engine without
// other requests.
func (s *service) pause(now time.Time, model string) time.Duration {
	return s.estimator.Estimate(now, fleet.Incarnation{}, model, workcost.Work{}, workcost.Load{}).Gap
}

// noteGapTarget keeps the strictest gap target of the service's requests.
func (s *service) noteGapTarget(now time.Time, target time.Duration) {
	if target <= 0 {
		return
	}
	if s.gapTarget == 0 || target <= s.gapTarget || now.Sub(s.gapTargetAt) >= gapTargetFor {
		s.gapTarget, s.gapTargetAt = target, now
	}
}

// sized reports whether the tokens of the request are known.
func (q *Query) sized() bool { return q.Work.Prompt > 0 }

// model returns the model of the unit.
func (q *Query) model() string {
	model, _, _ := strings.Cut(q.Unit, "/")
	return model
}

// sharedTokens returns the tokens of the parts of the prompt that other requests may share: all but
// the last.
func (q *Query) sharedTokens() int {
	tokens := 0
	for i := 0; i+1 < len(q.Parts); i++ {
		tokens += q.Parts[i].Tokens
	}
	return min(tokens, q.Work.Prompt)
}

// uncached returns the prompt tokens that an engine has to process.
func (r *requestWork) uncached(engine fleet.Incarnation) int {
	return max(0, r.work.Prompt-r.held.At(engine))
}

// tokenTime returns the seconds that an engine needs for a prompt token. Differences from the average
// count only beyond speedTolerance.
func (r *requestWork) tokenTime(now time.Time, engine fleet.Incarnation) float64 {
	t := r.service.tokenTime(now, engine, r.model)
	return max(t/speedTolerance, min(r.average, t*speedTolerance))
}

// tokenTime returns the estimated seconds that an engine needs for a prompt token.
func (s *service) tokenTime(now time.Time, engine fleet.Incarnation, model string) float64 {
	return max(time.Nanosecond, s.estimator.PromptTime(now, engine, model, tokensPriced)).Seconds() / tokensPriced
}

// pendingPrompt returns the pending prompt tokens at an engine. The reported ones are reduced by what
// the engine has processed since the report.
func (l *load) pendingPrompt(sinceReport time.Duration, tokenTime float64) float64 {
	return float64(l.own.PendingPrompt) + max(0, float64(l.others.PendingPrompt)-sinceReport.Seconds()/tokenTime)
}

// cost returns the cost of a request's work at an engine with pending prompt tokens and held tokens,
// as a share of the slots. Prompts that take no longer than the pause between two events cost
// nothing: they are processed within the running streams' steps.
func (r *requestWork) cost(engine fleet.Incarnation, tokenTime, pending float64, held int) float64 {
	if !r.known {
		return 0
	}
	cost := max(0, (pending+float64(r.uncached(engine)))*tokenTime-r.pause) / levelTime.Seconds()
	if r.long && r.bound > 0 && pending*tokenTime > r.bound {
		cost += beyondPromptBound
	}
	if r.cacheTokens > 0 && held+r.work.Held() > r.cacheTokens {
		cost += cacheFull
	}
	return cost
}

const (
	// directedPromptTime is the mean time by which processing a prompt exceeds a pause between two
	// events, from which the coordinator chooses the engines: reports are older than most prompts take,
	// so that daemons cannot tell which engine processes one.
	directedPromptTime = 25 * time.Millisecond
	// maxDirectedRate is the number of a service's requests a second up to which the coordinator is
	// asked for each. An answer costs it some 0.1 ms of processor time, and a host may have a fifth
	// of a core.
	maxDirectedRate = 400.0
)

// PromptTime returns how long an average engine of a service processes the prompt of a request; zero
// if its size is not known.
func (b *Balancer) PromptTime(now time.Time, service string, q Query) time.Duration {
	if !q.sized() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).estimator.PromptTime(now, fleet.Incarnation{}, q.model(), q.Work.Prompt)
}

// CoordinatorDirects reports whether the coordinator should choose the engine of a request among
// several holders of its model: prompts are long, a report shows that there is a coordinator, and
// all daemons together send it no more questions than it can answer.
func (b *Balancer) CoordinatorDirects(now time.Time, service string, q Query, holders int) bool {
	if !q.sized() || holders < 2 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	if now.Sub(s.reportedAt) >= reportTTL || s.promptTime < directedPromptTime.Seconds() {
		return false
	}
	return float64(s.reportedRunning) <= maxDirectedRate*s.runTime.Seconds()
}

package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// EngineLoad is the work at an engine, from the valid reports of all daemons.
type EngineLoad struct {
	Endpoint fleet.Incarnation
	Requests int // running requests
	EngineWork
	Speed float64 // relative to the average engine of the service; zero if it is not known
}

// Loads returns the work and speed of each engine, sorted by id, as of the last planning step.
// Requests that no daemon has reported yet are not included.
func (p *Planner) Loads() []EngineLoad {
	list := make([]EngineLoad, len(p.sorted))
	for i, e := range p.sorted {
		list[i] = EngineLoad{Endpoint: e.incarnation, Requests: e.running, EngineWork: e.work, Speed: e.speed}
	}
	return list
}

// knownSpeed returns the relative speed of an engine, or zero if it has not been measured lately.
func (p *Planner) knownSpeed(now time.Time, e *engineState) float64 {
	speed, age := p.costs.Speed(now, e.incarnation)
	if !p.costs.Measured(e.incarnation) || age >= maxSpeedAge {
		return 0
	}
	return speed
}

// maxSpeedAge is the age of an engine's last measurement from which its speed counts as not
// known. By then the estimate has decayed to a twentieth of what was measured.
const maxSpeedAge = 35 * time.Second

// sentRequest is a request that an answer has directed to an engine and that its daemon has
// not reported yet.
type sentRequest struct {
	daemon      string
	incarnation fleet.Incarnation
	at          time.Time
	prompt      int // prompt tokens
}

// addSent records that an answer has directed a request to an engine.
func (p *Planner) addSent(now time.Time, e *engineState, want Want) {
	prompt := workcost.WorkOf(want.Work.Prompt, want.Work.Output, true).Prompt
	e.unreported++
	e.unreportedPrompt += prompt
	p.sent = append(p.sent, sentRequest{want.Daemon, e.incarnation, now, prompt})
}

// answerDelay is the maximum time until an answer has reached its daemon and the request is
// counted there. Requests that were answered later than that are not included in the
// daemon's present report.
const answerDelay = 20 * time.Millisecond

// pruneSent drops the requests that a daemon has reported by now, and those it should have
// reported.
func (p *Planner) pruneSent(now time.Time, daemon string) {
	reported, overdue := now.Add(-answerDelay), now.Add(-p.idleAfterAnswer())
	p.sent = slices.DeleteFunc(p.sent, func(s sentRequest) bool {
		if !(s.daemon == daemon && s.at.Before(reported)) && s.at.After(overdue) {
			return false
		}
		if e := p.engines[s.incarnation.ID]; e != nil && e.incarnation.Matches(s.incarnation) {
			e.unreported--
			e.unreportedPrompt -= s.prompt
		}
		return true
	})
}

// countDelta adds the difference between a daemon's new report and its previous one.
func (p *Planner) countDelta(daemon string, d Demand) {
	if before := p.demands[daemon]; before != nil {
		p.addRunning(before.Running, -1)
		p.addWork(before.Work, -1)
	}
	p.addRunning(d.Running, 1)
	p.addWork(d.Work, 1)
}

// addRunning adds the running requests of each engine, multiplied by sign; requests for an
// adapter count for its model.
func (p *Planner) addRunning(running map[Place]int, sign int) {
	for place, n := range running {
		if e := p.engines[place.Endpoint.ID]; e != nil && !strings.Contains(place.Model, "/") {
			e.running += sign * n
		}
	}
}

// maxReportedTokens bounds the tokens of one daemon's requests at one engine. It is several times
// what the cache of an engine holds, and a faulty report must not make an engine look busy for
// minutes.
const maxReportedTokens = 1 << 20

// boundedWork returns the reported work of engines within the range that is safe to add up.
func boundedWork(work map[fleet.Incarnation]EngineWork) map[fleet.Incarnation]EngineWork {
	out := make(map[fleet.Incarnation]EngineWork, len(work))
	for incarnation, w := range work {
		out[incarnation] = EngineWork{PendingPrompt: min(maxReportedTokens, max(0, w.PendingPrompt)), Held: min(maxReportedTokens, max(0, w.Held))}
	}
	return out
}

// addWork adds the reported work of each engine, multiplied by sign. Work at earlier incarnations
// of an engine has ended with them.
func (p *Planner) addWork(work map[fleet.Incarnation]EngineWork, sign int) {
	for incarnation, w := range work {
		if e := p.engineOf(incarnation); e != nil {
			e.work.PendingPrompt += sign * w.PendingPrompt
			e.work.Held += sign * w.Held
		}
	}
}

// learnSpeeds takes over the durations that a daemon has measured at engines.
func (p *Planner) learnSpeeds(now time.Time, samples []workcost.Sample) {
	for _, s := range samples {
		if e := p.engineOf(s.Incarnation); e != nil {
			s.Incarnation = e.incarnation
			p.costs.MergeSample(now, s)
		}
	}
}

// speedAndWork returns the speed of an engine relative to the average one, which is 1 if it is not
// known, and the prompt tokens that it has not processed yet, including those of requests directed
// there that no daemon has reported yet.
func (p *Planner) speedAndWork(now time.Time, e *engineState) (speed float64, pendingPrompt int) {
	speed, _ = p.costs.Speed(now, e.incarnation)
	return speed, max(0, e.work.PendingPrompt+e.unreportedPrompt)
}

// load returns the number of requests that run or wait at an engine, including those
// directed there that no daemon has reported yet.
func (e *engineState) load() int { return e.running + e.unreported }

// spreadCost is the cost of a full engine compared with an empty one if both could start
// the request at once. It equals the load time of an adapter, since each request slows the
// others down a little.
const spreadCost = adapterLoad

// startsIn estimates how long one more request waits for a slot of an engine. Requests
// beyond the slots queue, and all slots become free once in the mean duration of a request.
func (p *Planner) startsIn(e *engineState) time.Duration {
	slots := p.capacity(e)
	queued := max(0, e.load()+1-slots)
	return time.Duration(float64(p.runTime()) * float64(queued) / float64(slots))
}

// loadCost returns the cost that an engine's load adds to sending a request there: the wait for a
// slot, and the time until the prompts that were sent before are processed.
func (p *Planner) loadCost(now time.Time, e *engineState) time.Duration {
	return p.slotCost(e) + p.pendingTime(now, e)
}

// slotCost returns the cost of the running requests of an engine.
func (p *Planner) slotCost(e *engineState) time.Duration {
	full := min(1, float64(e.load())/float64(p.capacity(e)))
	return p.startsIn(e) + time.Duration(full*float64(spreadCost))
}

// pendingTime returns how long an engine processes the reported prompts that wait there.
func (p *Planner) pendingTime(now time.Time, e *engineState) time.Duration {
	speed, pendingPrompt := p.speedAndWork(now, e)
	return workcost.PromptTime(pendingPrompt, speed)
}

// runTime returns the mean duration of a request as of the last planning step.
func (p *Planner) runTime() time.Duration {
	if p.draft.runTime == 0 {
		return defaultRunTime
	}
	return p.draft.runTime
}

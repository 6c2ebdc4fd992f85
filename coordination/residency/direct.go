package residency

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/promptcache"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// runningCost is the cost of an engine whose slots are all taken: each running request lengthens the
	// steps of all others. With 64 slots one counts 9 ms, about what it delays ten others by over a
	// stream of 1.7 s. It also keeps requests away from an engine where streams hang.
	runningCost = 600 * time.Millisecond
	// otherDomainCost is the cost of an engine in another failure domain, which is worth a wait of
	// about one pause between two events.
	otherDomainCost = 30 * time.Millisecond
	// reportedShare is the weight of reported pending prompts beside the backlog of the prompts that
	// this planner has directed. Reports are some 200 to 600 ms old, in which most prompts have been
	// processed; an engine that is slower than estimated still shows in them.
	reportedShare = 0.5
	// maxBacklog bounds the estimated time of the prompts that wait at one engine.
	maxBacklog = 30 * time.Second
	// maxPromptTime bounds the time of one prompt that a daemon may state.
	maxPromptTime = 30 * time.Second
)

// promptWork is the processing that the prompt of a request needs at the engines that hold its
// model, which may have cached a part of it.
type promptWork struct {
	known      bool
	held       promptcache.HeldPrompt
	tokens     int
	promptTime time.Duration // of the whole prompt, at an average engine
	domain     string
}

// promptWorkOf returns the prompt work of a request. It is unknown if the request does not state how
// long its prompt takes.
func (p *Planner) promptWorkOf(now time.Time, want Want) promptWork {
	if want.PromptTime <= 0 || want.Work.Prompt <= 0 {
		return promptWork{}
	}
	return promptWork{
		known: true, held: p.prompts.Held(now, want.unit(), want.Parts), tokens: want.Work.Prompt,
		promptTime: min(maxPromptTime, want.PromptTime), domain: want.FailureDomain,
	}
}

// unit returns MODEL or MODEL/ADAPTER.
func (w *Want) unit() string {
	if w.Adapter == "" {
		return w.Model
	}
	return w.Model + "/" + w.Adapter
}

// averageTime returns how long an average engine processes the part of the prompt that an engine does
// not hold.
func (d *promptWork) averageTime(engine fleet.Incarnation) time.Duration {
	uncached := max(0, d.tokens-d.held.At(engine))
	return time.Duration(float64(d.promptTime) * float64(uncached) / float64(d.tokens))
}

// processing returns how long an engine processes the part of the prompt that it does not hold.
func (p *Planner) processing(now time.Time, e *engineState, d *promptWork) time.Duration {
	speed, _ := p.costs.Speed(now, e.incarnation)
	return time.Duration(float64(d.averageTime(e.incarnation)) / speed)
}

// backlog returns the time until an engine has processed the prompts that were directed there.
func (e *engineState) backlog(now time.Time) time.Duration {
	return max(0, e.promptsUntil.Sub(now))
}

// directCost returns the cost that an engine's work adds to sending a request there.
func (p *Planner) directCost(now time.Time, e *engineState, d *promptWork) time.Duration {
	if !d.known {
		return p.loadCost(now, e)
	}
	cost := p.startsIn(e) + p.occupancyCost(e) + max(e.backlog(now), time.Duration(reportedShare*float64(p.pendingTime(now, e)))) + p.processing(now, e, d)
	if d.domain != e.endpoint.FailureDomain {
		cost += otherDomainCost
	}
	return cost
}

// occupancyCost returns the cost of the running requests of an engine.
func (p *Planner) occupancyCost(e *engineState) time.Duration {
	return time.Duration(min(1, float64(e.load())/float64(p.capacity(e))) * float64(runningCost))
}

// noteDirected records that an answer has directed a request to an engine.
func (p *Planner) noteDirected(now time.Time, e *engineState, want Want, d *promptWork) {
	if !d.known {
		return
	}
	p.values[want.Model].observeProcessing(d.averageTime(e.incarnation).Seconds())
	e.promptsUntil = now.Add(min(maxBacklog, e.backlog(now)+p.processing(now, e, d)))
	p.prompts.Observe(now, want.unit(), want.Parts, e.incarnation)
}

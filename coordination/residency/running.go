package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Running counts what runs at an engine, by what all daemons have told lately.
type Running struct {
	Endpoint fleet.Incarnation
	Requests int
}

// Running returns what runs at each engine, sorted by id, as of the last step.
func (p *Planner) Running() []Running {
	list := make([]Running, len(p.sorted))
	for i, w := range p.sorted {
		list[i] = Running{w.life, w.running}
	}
	return list
}

// sentRequest is a request that an answer has sent to an engine and that its daemon has
// not told of yet.
type sentRequest struct {
	daemon string
	life   fleet.Incarnation
	at     time.Time
}

// sentTo notes that an answer has sent a daemon's request to an engine.
func (p *Planner) sentTo(now time.Time, w *worker, daemon string) {
	w.sent++
	p.sent = append(p.sent, sentRequest{daemon, w.life, now})
}

// answerWay is how long an answer takes to its daemon and the request from there to be
// counted, at most: what was answered later is not in what the daemon tells now.
const answerWay = 20 * time.Millisecond

// forgetSent forgets what a daemon has told of by now, and what it should have.
func (p *Planner) forgetSent(now time.Time, daemon string) {
	told, overdue := now.Add(-answerWay), now.Add(-p.idleAfter())
	p.sent = slices.DeleteFunc(p.sent, func(s sentRequest) bool {
		if !(s.daemon == daemon && s.at.Before(told)) && s.at.After(overdue) {
			return false
		}
		if w := p.workers[s.life.ID]; w != nil && w.life.Matches(s.life) {
			w.sent--
		}
		return true
	})
}

// countDelta takes the difference of what a daemon tells to what it told before.
func (p *Planner) countDelta(daemon string, running map[Place]int) {
	if before := p.demands[daemon]; before != nil {
		p.countRunningOf(before.Running, -1)
	}
	p.countRunningOf(running, 1)
}

// countRunningOf adds what runs at each engine; adapters count for their model.
func (p *Planner) countRunningOf(running map[Place]int, sign int) {
	for place, n := range running {
		if w := p.workers[place.Endpoint.ID]; w != nil && !strings.Contains(place.Model, "/") {
			w.running += sign * n
		}
	}
}

// load returns the requests that run at an engine or wait there, with those that were
// sent to it and that no daemon has told of yet.
func (w *worker) load() int { return w.running + w.sent }

// spreadCost is what a full engine counts against an empty one where both could begin
// at once: as much as the load of an adapter, since each request slows the others a
// little.
const spreadCost = adapterLoad

// startsIn estimates how long one more request waits for a slot of an engine: requests
// queue beyond the slots, and as many slots come free in the time of a run as there are.
func (p *Planner) startsIn(w *worker) time.Duration {
	slots := p.capacity(w)
	queued := max(0, w.load()+1-slots)
	return time.Duration(float64(p.runTime()) * float64(queued) / float64(slots))
}

// loadCost is what an engine's load counts against sending a request there.
func (p *Planner) loadCost(w *worker) time.Duration {
	full := min(1, float64(w.load())/float64(p.capacity(w)))
	return p.startsIn(w) + time.Duration(full*float64(spreadCost))
}

// runTime returns how long requests run, as of the last step.
func (p *Planner) runTime() time.Duration {
	if p.draft.runTime == 0 {
		return runTimeUnknown
	}
	return p.draft.runTime
}

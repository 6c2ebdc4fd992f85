package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Running is the number of running requests at an engine, from the valid reports of all
// daemons.
type Running struct {
	Endpoint fleet.Incarnation
	Requests int
}

// Running returns the running requests of each engine, sorted by id, as of the last
// planning step.
func (p *Planner) Running() []Running {
	list := make([]Running, len(p.sorted))
	for i, e := range p.sorted {
		list[i] = Running{e.incarnation, e.running}
	}
	return list
}

// sentRequest is a request that an answer has directed to an engine and that its daemon has
// not reported yet.
type sentRequest struct {
	daemon      string
	incarnation fleet.Incarnation
	at          time.Time
}

// addSent records that an answer has directed a daemon's request to an engine.
func (p *Planner) addSent(now time.Time, e *engineState, daemon string) {
	e.unreported++
	p.sent = append(p.sent, sentRequest{daemon, e.incarnation, now})
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
		}
		return true
	})
}

// countDelta adds the difference between a daemon's new report and its previous one.
func (p *Planner) countDelta(daemon string, running map[Place]int) {
	if before := p.demands[daemon]; before != nil {
		p.addRunning(before.Running, -1)
	}
	p.addRunning(running, 1)
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

// loadCost returns the cost that an engine's load adds to sending a request there.
func (p *Planner) loadCost(e *engineState) time.Duration {
	full := min(1, float64(e.load())/float64(p.capacity(e)))
	return p.startsIn(e) + time.Duration(full*float64(spreadCost))
}

// runTime returns the mean duration of a request as of the last planning step.
func (p *Planner) runTime() time.Duration {
	if p.draft.runTime == 0 {
		return defaultRunTime
	}
	return p.draft.runTime
}

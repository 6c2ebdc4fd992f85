package residency

import (
	"slices"
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

// toldWithin is how long it takes until daemons have told of a request that an answer
// has sent to an engine.
func (p *Planner) toldWithin() time.Duration { return TellSoon(len(p.demands)) + idleMargin }

// sentTo notes that an answer has sent a request to an engine.
func (w *worker) sentTo(now time.Time) { w.named = append(w.named, now) }

// load returns the requests that run at an engine, with those that were sent there and
// that no daemon has told of yet.
func (p *Planner) load(now time.Time, w *worker) int {
	told := now.Add(-p.toldWithin())
	w.named = slices.DeleteFunc(w.named, func(at time.Time) bool { return at.Before(told) })
	return w.running + len(w.named)
}

// spreadCost is what a full engine counts against an empty one where both could begin
// at once: as much as the load of an adapter, since each request slows the others a
// little.
const spreadCost = adapterLoad

// startsIn estimates how long one more request waits for a slot of an engine, with a
// little for how full it is: requests queue beyond the slots, and a slot comes free as
// one of them ends.
func (p *Planner) startsIn(now time.Time, w *worker) time.Duration {
	slots := float64(max(1, w.endpoint.Slots))
	load := float64(p.load(now, w))
	cost := time.Duration(float64(spreadCost) * min(1, load/slots))
	if queued := load + 1 - slots; queued > 0 {
		cost += time.Duration(float64(p.runTime()) * queued / slots)
	}
	return cost
}

// runTime returns how long requests run, as of the last step.
func (p *Planner) runTime() time.Duration {
	if p.draft.runTime == 0 {
		return runTimeUnknown
	}
	return p.draft.runTime
}

package residency

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// fullFor is how long an engine counts as full under its rate limit after a daemon reported
// that. It is as long as rejected requests take to be retried, so that the model's next
// replica is ordered in the meantime.
const fullFor = 1500 * time.Millisecond

// incarnationLimit is the rate limit that one incarnation of an engine reports.
type limitedLife struct {
	life fleet.Incarnation
	word limit.Report
}

// SetLimit sets the rate limit that an engine reports, or removes it if the engine no
// longer reports one.
func (p *Planner) SetLimit(life fleet.Incarnation, w limit.Report) {
	if w.Limited {
		p.limits[life.ID] = limitedLife{life, w}
		return
	}
	if l, known := p.limits[life.ID]; known && l.life.Matches(life) {
		delete(p.limits, life.ID)
	}
	if worker := p.workerOf(life); worker != nil {
		worker.fullUntil = time.Time{}
	}
}

// markFull records that engines have no capacity left under their rate limits, as reported
// by a daemon. Their replicas do not count during that time, so that another one is loaded
// if it is worth it.
func (p *Planner) full(now time.Time, lives []fleet.Incarnation) {
	for _, life := range lives {
		if w := p.workerOf(life); w != nil {
			w.fullUntil = now.Add(fullFor)
		}
	}
}

func (w *worker) isFull(now time.Time) bool { return now.Before(w.fullUntil) }

// capacity returns how many requests an engine can process at once: the declared number of
// slots, or less under its rate limit.
func (p *Planner) capacity(w *worker) int {
	declared := max(1, w.endpoint.Slots)
	if l, limited := p.limits[w.life.ID]; limited && l.life.Matches(w.life) {
		return min(declared, l.word.Capacity(p.runTime()))
	}
	return declared
}

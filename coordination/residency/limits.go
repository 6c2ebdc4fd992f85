package residency

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// fullFor is how long an engine counts as one without room within its limit after a daemon has
// said so: as long as requests that are refused there take to come again, so that the model's
// next replica is ordered while they do.
const fullFor = 1500 * time.Millisecond

// limitedLife is the limit that one life of an engine names.
type limitedLife struct {
	life fleet.Incarnation
	word limit.Report
}

// Limited takes the limit that an engine names, or that it names none any more.
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

// full takes a daemon's word that engines have no room within their limits. Their replicas do
// not count while that lasts: another one is loaded where one is worth it.
func (p *Planner) full(now time.Time, lives []fleet.Incarnation) {
	for _, life := range lives {
		if w := p.workerOf(life); w != nil {
			w.fullUntil = now.Add(fullFor)
		}
	}
}

func (w *worker) isFull(now time.Time) bool { return now.Before(w.fullUntil) }

// capacity returns how many requests an engine works on at once: as it declares, or less under
// its limit.
func (p *Planner) capacity(w *worker) int {
	declared := max(1, w.endpoint.Slots)
	if l, limited := p.limits[w.life.ID]; limited && l.life.Matches(w.life) {
		return min(declared, l.word.Capacity(p.runTime()))
	}
	return declared
}

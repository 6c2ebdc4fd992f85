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
type incarnationLimit struct {
	incarnation fleet.Incarnation
	report      limit.Report
}

// SetLimit sets the rate limit that an engine reports, or removes it if the engine no
// longer reports one.
func (p *Planner) SetLimit(incarnation fleet.Incarnation, r limit.Report) {
	if r.Limited {
		p.limits[incarnation.ID] = incarnationLimit{incarnation, r}
		return
	}
	if l, known := p.limits[incarnation.ID]; known && l.incarnation.Matches(incarnation) {
		delete(p.limits, incarnation.ID)
	}
	if e := p.engineOf(incarnation); e != nil {
		e.fullUntil = time.Time{}
	}
}

// markFull records that engines have no capacity left under their rate limits, as reported
// by a daemon. Their replicas do not count during that time, so that another one is loaded
// if it is worth it.
func (p *Planner) markFull(now time.Time, incarnations []fleet.Incarnation) {
	for _, incarnation := range incarnations {
		if e := p.engineOf(incarnation); e != nil {
			e.fullUntil = now.Add(fullFor)
		}
	}
}

func (e *engineState) isFull(now time.Time) bool { return now.Before(e.fullUntil) }

// capacity returns how many requests an engine can process at once: the declared number of
// slots, or less under its rate limit.
func (p *Planner) capacity(e *engineState) int {
	declared := max(1, e.endpoint.Slots)
	if l, limited := p.limits[e.incarnation.ID]; limited && l.incarnation.Matches(e.incarnation) {
		return min(declared, l.report.Capacity(p.runTime()))
	}
	return declared
}

package residency

import (
	"math"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// promptShare is the share of an engine's time that the prompts of one replica should take.
// Engines hold two or three models, and prompts that arrive while others are processed wait.
const promptShare = 0.35

// minWorkEvents is the decayed number of first events from which the rate of a model is known
// well enough. A few requests in a row for a rare model must not count as a rate.
const minWorkEvents = 8

// replicasForWork returns the number of replicas that the prompts of a model need: the time
// that one engine would take for the prompts of a second, divided by the share of that time
// which a replica should take. It returns zero if the requests state no tokens. Slow answers show
// the same need only once requests are late.
func (p *Planner) replicasForWork(now time.Time, model string, s *pressure) int {
	v := p.values[model]
	if v == nil || v.prompt == 0 || s.count < minWorkEvents {
		return 0
	}
	each := v.processing
	if each == 0 {
		each = p.costs.PromptTime(now, fleet.Incarnation{}, model, int(v.prompt)).Seconds()
	}
	return int(math.Ceil(s.rate() * each / promptShare))
}

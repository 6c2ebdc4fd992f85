package edge

import (
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// maxRefusalReasons bounds the series of refusals by reason; further reasons count as otherReason.
// The daemon's own reasons are some thirty; others come from the coordinator, another process.
const (
	maxRefusalReasons = 48
	otherReason       = "other"
)

// reasonCounters count requests by the reason of their end. They are safe for concurrent use.
type reasonCounters struct {
	scope tally.Scope
	name  string

	mu       sync.Mutex
	byReason map[string]tally.Counter
}

// newRefusals counts refused and failed requests by the reason of their final answer.
func newRefusals(scope tally.Scope) *reasonCounters {
	return newReasonCounters(scope, "refusals_by_reason_total")
}

func newReasonCounters(scope tally.Scope, name string) *reasonCounters {
	return &reasonCounters{scope: scope, name: name, byReason: map[string]tally.Counter{}}
}

// count counts one end.
func (r *reasonCounters) count(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reason = strings.ToValidUTF8(reason, "?") // labels of metrics must be valid
	c := r.byReason[reason]
	if c == nil && len(r.byReason) >= maxRefusalReasons {
		reason = otherReason
		c = r.byReason[reason]
	}
	if c == nil {
		c = r.scope.Tagged(map[string]string{"reason": reason}).Counter(r.name)
		r.byReason[reason] = c
	}
	c.Inc(1)
}

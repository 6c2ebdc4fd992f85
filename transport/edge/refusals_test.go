package edge

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"
)

// Refusals are counted by reason, and reasons that another process makes up can't add series
// without a bound.
func TestRefusalsByReasonAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	r := newRefusals(scope)
	const reasons = 1000
	for i := range reasons {
		r.count(fmt.Sprint("reason", i))
		r.count("reason0")
	}
	r.count("\xff")
	counters := scope.Snapshot().Counters()
	if n := len(counters); n != maxRefusalReasons+1 {
		t.Errorf("%d series, want %d", n, maxRefusalReasons+1)
	}
	if n := counters["refusals_by_reason_total+reason=reason0"].Value(); n != reasons+1 {
		t.Errorf("reason0 counted %d times, want %d", n, reasons+1)
	}
	total := int64(0)
	for _, c := range counters {
		total += c.Value()
	}
	if total != 2*reasons+1 {
		t.Errorf("%d refusals counted, want %d", total, 2*reasons+1)
	}
}

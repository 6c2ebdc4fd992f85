package edgedaemon

import (
	"fmt"
	"math"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// The metrics of the work at engines have the same few series for any number of engines, and unknown
// or invalid speeds do not spoil the range.
func TestWorkMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	g := newGauges(scope)
	loads := balance.EngineLoads{
		{ID: "unknown"}: {Running: 1}, {ID: "nan"}: {Speed: math.NaN()}, {ID: "negative"}: {Speed: -4},
	}
	for i := range 600 {
		loads[fleet.Incarnation{ID: fmt.Sprint(i)}] = balance.EngineLoad{PendingPrompt: 10, Held: 20, Speed: 0.5 + float64(i)/600}
	}
	g.setWork(loads)
	got := map[string]float64{}
	for name, s := range scope.Snapshot().Gauges() {
		got[name] = s.Value()
	}
	for name, want := range map[string]float64{
		"work.pending_prompt_tokens+": 6000, "work.held_tokens+": 12000, "work.engine_speed_ratio+engine=slowest": 0.5, "work.engine_speed_ratio+engine=fastest": 0.5 + 599.0/600,
	} {
		if v, ok := got[name]; !ok || v != want {
			t.Errorf("%s: %v, want %v", name, v, want)
		}
	}
	before := len(got)
	loads[fleet.Incarnation{ID: "new"}] = balance.EngineLoad{Speed: 1}
	g.setWork(loads)
	if after := len(scope.Snapshot().Gauges()); after != before {
		t.Errorf("%d series, %d with another engine", before, after)
	}
}

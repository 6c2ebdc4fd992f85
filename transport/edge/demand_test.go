package edge

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

func demandChanged(s *Server) bool {
	select {
	case <-s.DemandChanged():
		return true
	default:
		return false
	}
}

func testRequest() *request {
	return &request{
		call: protocol.Call{ID: "r", Model: "m"}, service: &routing.Service{Name: "llm"},
		route: &routing.Route{LatencyTarget: time.Second, Rank: 1}, rank: 1, work: &inbound.Work{}, deadline: time.Now().Add(time.Minute),
	}
}

// The coordinator is notified at once when a model gets its first running request at an endpoint or
// has none left there, and not of each request of a busy model.
func TestDemandTurns(t *testing.T) {
	s, q := New(Options{Metrics: tally.NoopScope}), testRequest()
	for i, step := range []struct {
		n    int
		want bool
	}{{1, true}, {1, false}, {-1, false}, {-1, true}} {
		s.countRunning(q, fleet.Incarnation{ID: "e"}, step.n)
		if got := demandChanged(s); got != step.want {
			t.Errorf("step %d: change signalled %v", i, got)
		}
	}
}

// First events are part of one report only, or the coordinator would count them twice.
func TestFirstEventsReportedOnce(t *testing.T) {
	s, q := New(Options{Metrics: tally.NoopScope}), testRequest()
	s.countFirstEvent(q, fleet.Incarnation{ID: "e"}, 100*time.Millisecond)
	s.countFirstEvent(q, fleet.Incarnation{ID: "e"}, 900*time.Millisecond)
	place := residency.Place{Endpoint: fleet.Incarnation{ID: "e"}, Model: "m"}
	if got, want := s.Demand()["llm"].FirstEvents[place], (residency.FirstEvents{Count: 2, Slow: 1, Rank: 1}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if got := s.Demand()["llm"].FirstEvents; len(got) != 0 {
		t.Fatalf("first events reported twice: %+v", got)
	}
}

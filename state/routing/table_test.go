package routing

import "testing"

// The least urgent rank of a service is the highest rank among all routes that have a share of
// their requests at the service.
func TestLeastUrgentRankOfAService(t *testing.T) {
	services := []*Service{{Name: "llm"}, {Name: "app"}, {Name: "unused"}}
	NewTable(1, Limits{}, services, []*Route{
		{Name: "a", Rank: 0, Shares: []Share{{Service: "llm", Weight: 1}}},
		{Name: "b", Rank: 1, Shares: []Share{{Service: "llm", Weight: 9}, {Service: "app", Weight: 1}}},
		{Name: "c", Rank: 3, Shares: []Share{{Service: "not declared", Weight: 1}}},
	}, nil)
	for _, s := range services {
		if want := map[string]int{"llm": 1, "app": 1, "unused": 0}[s.Name]; s.LeastUrgentRank != want {
			t.Errorf("%s: %d, want %d", s.Name, s.LeastUrgentRank, want)
		}
	}
}

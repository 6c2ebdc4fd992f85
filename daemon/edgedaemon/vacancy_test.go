package edgedaemon

import (
	"testing"
	"time"
)

// A request is told how long a takeover still takes, not to ask again each
// second.
func TestVacancyIsEstimated(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := vacancies{takeover: 5 * time.Second}
	steps := []struct {
		name   string
		after  time.Duration
		outage bool
		want   time.Duration
	}{
		{"a coordinator that has just died", 0, false, 5 * time.Second},
		{"two seconds later", 2 * time.Second, false, 3 * time.Second},
		{"after the takeover was due", 4 * time.Second, false, minVacancyEstimate},
		{"the store is away", time.Second, true, storeOutageEstimate},
		{"the store is still away", 4 * time.Second, true, storeOutageEstimate},
		{"the store has just come back", time.Second, false, 4 * time.Second},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if got := v.readyIn(now, "llm", s.outage); got != s.want {
			t.Errorf("%s: %v, not %v", s.name, got, s.want)
		}
	}
	v.filled("llm")
	if got := v.readyIn(now, "llm", false); got != 5*time.Second {
		t.Errorf("the next vacancy begins with %v", got)
	}
}

package edgedaemon

import (
	"testing"
	"time"
)

// The estimate is the rest of the takeover, or of a store outage, not a fixed retry
// delay.
func TestVacancyIsEstimated(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := vacancies{takeover: 5 * time.Second}
	steps := []struct {
		name   string
		after  time.Duration
		outage bool
		want   time.Duration
	}{
		{"a coordinator has just crashed", 0, false, 5 * time.Second},
		{"two seconds later", 2 * time.Second, false, 3 * time.Second},
		{"after the expected takeover", 4 * time.Second, false, minVacancyEstimate},
		{"the store does not answer", time.Second, true, storeOutageEstimate},
		{"the store still does not answer", 4 * time.Second, true, storeOutageEstimate},
		{"the store has just recovered", time.Second, false, 4 * time.Second},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if got := v.readyIn(now, "llm", s.outage); got != s.want {
			t.Errorf("%s: estimate %v, want %v", s.name, got, s.want)
		}
	}
	v.filled("llm")
	if got := v.readyIn(now, "llm", false); got != 5*time.Second {
		t.Errorf("the next vacancy begins with an estimate of %v, want 5s", got)
	}
}

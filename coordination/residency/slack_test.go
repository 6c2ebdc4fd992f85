package residency

import (
	"testing"
	"time"
)

// The order of wanted models follows the slack of their requests. A model with much slack came
// first if it was asked for more often, and the requests of the other one were late.
func TestUrgencyOfWantedModels(t *testing.T) {
	const load = 800 * time.Millisecond
	known := func(slacks ...time.Duration) float64 {
		w := &wantedModel{}
		for _, s := range slacks {
			w.addSlack(start, Want{Slack: s, TimeLeft: 10 * time.Second})
		}
		return w.urgency(start, load)
	}
	for _, c := range []struct {
		name     string
		got      float64
		min, max float64
	}{
		{"nothing stated: as without slack", (&wantedModel{}).urgency(start, load), 1, 1},
		{"just enough slack for the load", known(load), 1, 1},
		{"one more time constant", known(load + lookahead), 0.36, 0.37},
		{"the least slack counts", known(load+lookahead, load), 1, 1},
		{"late", known(-time.Second), 1 - lateLossShare, 1 - lateLossShare},
		{"late ones do not hide one that can be in time", known(-time.Second, load), 1, 1},
		{"absurd slack", known(1 << 62), 0, 0.001},
	} {
		if c.got < c.min || c.got > c.max {
			t.Errorf("%s: %v, want %v to %v", c.name, c.got, c.min, c.max)
		}
	}
	w := &wantedModel{}
	w.addSlack(start, Want{Slack: time.Second, TimeLeft: time.Second})
	w.addSlack(start.Add(2*time.Second), Want{Slack: 4 * time.Second, TimeLeft: 10 * time.Second})
	if w.dueAt != start.Add(6*time.Second) {
		t.Errorf("due at %v, want the time of the request that can still be in time", w.dueAt)
	}
}

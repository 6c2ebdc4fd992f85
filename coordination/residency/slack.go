package residency

import (
	"math"
	"time"
)

// lookahead is the time constant with which the weight of a wanted model decreases with the
// slack of its requests beyond the time of a load. It is about the time of two replacements at
// one engine, each of which takes an unload and a load from disk.
const lookahead = 2 * time.Second

// addSlack records the slack of a request that waits for the model.
func (w *wantedModel) addSlack(now time.Time, want Want) {
	if want.TimeLeft <= 0 {
		return
	}
	w.slackKnown = true
	dueAt := now.Add(want.Slack)
	if want.Slack > 0 && (!w.dueAt.After(now) || dueAt.Before(w.dueAt)) {
		w.dueAt = dueAt
	}
}

// urgency returns the factor by which the slack of the requests for a model changes its
// weight. Among models of the same value, that of the request with the least slack comes
// first. A model whose requests have much slack yields to others, and one whose requests are
// all late has lost a part of its value. The rule is that of apparent tardiness cost.
func (w *wantedModel) urgency(now time.Time, load time.Duration) float64 {
	if !w.slackKnown {
		return 1
	}
	slack := w.dueAt.Sub(now)
	if slack <= 0 {
		return 1 - lateLossShare
	}
	return math.Exp(-max(0, slack-load).Seconds() / lookahead.Seconds())
}

package residency

import (
	"math"
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
)

// value is the decaying sum of the weights of the recent requests for a model.
type value struct {
	sum float64
	at  time.Time
	// prompt is the mean number of prompt tokens of recent requests; zero if unknown.
	prompt float64
	// processing is the mean time, in seconds, in which an average engine processes what it does not
	// hold of the prompts of recent requests; zero if unknown.
	processing float64
}

// promptStep is the weight of one request in the means of prompt tokens and of processing times.
const promptStep = 0.1

// addValue adds the weight of a request to the value of its model.
func (p *Planner) addValue(now time.Time, want Want) {
	v := p.values[want.Model]
	if v == nil {
		v = &value{at: now}
		p.values[want.Model] = v
	}
	weight := rankValue(want.Rank)
	if want.Returning {
		weight *= returningWeight
	}
	v.sum, v.at = v.now(now)+weight, now
	switch prompt := float64(workcost.WorkOf(want.Work.Prompt, want.Work.Output, true).Prompt); {
	case prompt == 0:
	case v.prompt == 0:
		v.prompt = prompt
	default:
		v.prompt += promptStep * (prompt - v.prompt)
	}
}

// observeProcessing adds the processing time of a directed request's prompt to the mean.
func (v *value) observeProcessing(seconds float64) {
	if v.processing == 0 {
		v.processing = seconds
		return
	}
	v.processing += promptStep * (seconds - v.processing)
}

// rankValue returns the weight of one request of a rank.
func rankValue(rank int) float64 {
	return math.Pow(rankWeight, float64(ranks-1-min(ranks-1, max(0, rank))))
}

func (v *value) now(now time.Time) float64 {
	return v.sum * math.Exp2(-now.Sub(v.at).Seconds()/valueHalfLife.Seconds())
}

// value returns the sum of the weights of the recent requests for a model, decayed to the
// present.
func (p *Planner) value(now time.Time, model string) float64 {
	if v := p.values[model]; v != nil {
		return v.now(now)
	}
	return 0
}

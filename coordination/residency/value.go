package residency

import (
	"math"
	"time"
)

// value is what a model's recent wants weigh together.
type value struct {
	sum float64
	at  time.Time
}

// wanted adds a request's weight to its model.
func (p *Planner) wanted(now time.Time, want Want) {
	v := p.values[want.Model]
	if v == nil {
		v = &value{at: now}
		p.values[want.Model] = v
	}
	v.sum, v.at = v.now(now)+rankValue(want.Rank), now
}

// rankValue is what one request of a rank weighs.
func rankValue(rank int) float64 {
	return math.Pow(rankWeight, float64(ranks-1-min(ranks-1, max(0, rank))))
}

func (v *value) now(now time.Time) float64 {
	return v.sum * math.Exp2(-now.Sub(v.at).Seconds()/valueHalfLife.Seconds())
}

// value returns what a model's recent wants weigh.
func (p *Planner) value(now time.Time, model string) float64 {
	if v := p.values[model]; v != nil {
		return v.now(now)
	}
	return 0
}

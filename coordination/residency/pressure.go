package residency

import (
	"math"
	"time"
)

const (
	// pressureHalfLife is how fast first events are forgotten: demand moves
	// within seconds.
	pressureHalfLife = 1500 * time.Millisecond
	// pressedShare of slow first events asks for one more replica; less would take
	// places from rare models.
	pressedShare = 0.3
	// pressedLeast, in requests, keeps one or two slow ones from asking for it.
	pressedLeast = 3.0
	// calmShare of slow first events says that the replicas carry what they
	// have: a third of pressedShare, so that the two do not alternate.
	calmShare = 0.1
	// pressureSettles is how long a new replica has to show its effect: daemons
	// learn of it within a heartbeat of its engine.
	pressureSettles = 1500 * time.Millisecond
	// headroom is the part of what a replica could carry that it is meant to, so
	// that one fewer is tried only when the load has fallen by a fifth.
	headroom = 0.8
	// lostPart is the part of a request's worth that is taken to be lost with a
	// late answer.
	lostPart = 0.5
)

// pressure is how fast the engines that hold a model begin to answer. What one
// replica carries depends on the model, its prompts and what else its engine
// does; none of that is declared, so it is learned from the first events.
type pressure struct {
	count, slow float64   // first events lately, fading
	seconds     float64   // in which they came, fading in the same way
	at          time.Time // of the last fading
	rank        int       // of the most urgent requests that a daemon told of last
	// perReplica is the first events a second of one replica at which the model
	// was pressed, or which it has carried since; zero if it never was.
	perReplica float64
}

func (s *pressure) fade(now time.Time) {
	f := math.Exp2(-now.Sub(s.at).Seconds() / pressureHalfLife.Seconds())
	s.count, s.slow, s.at = s.count*f, s.slow*f, now
	s.seconds = s.seconds*f + (1-f)*pressureHalfLife.Seconds()/math.Ln2
}

// rate returns the first events a second.
func (s *pressure) rate() float64 { return s.count / s.seconds }

func (s *pressure) isPressed() bool { return s.slow >= pressedLeast && s.slow >= pressedShare*s.count }

// pressed takes what a daemon says of a model's first events.
func (p *Planner) pressed(now time.Time, model string, f FirstEvents) {
	s := p.pressures[model]
	if s == nil {
		s = &pressure{at: now, seconds: DemandInterval.Seconds()}
		p.pressures[model] = s
	}
	s.fade(now)
	s.count += float64(f.Count)
	s.slow += float64(f.Slow)
	s.rank = f.Rank
}

// forgottenAt is the number of first events, fading, at which a model's
// pressure is forgotten.
const forgottenAt = 0.01

// pressedReplicas returns the replicas that slow first events ask for, by
// model: one more at a time, as the last one has shown its effect.
func (p *Planner) pressedReplicas(d *draft) map[string]int {
	need := map[string]int{}
	for model, s := range p.pressures {
		s.fade(d.now)
		if s.count < forgottenAt {
			delete(p.pressures, model)
			continue
		}
		ready := d.ready[model]
		if ready.replicas == 0 {
			continue
		}
		each := s.rate() / float64(ready.replicas)
		switch {
		case s.isPressed() && ready.replicas == d.replicas[model] && d.now.Sub(ready.since) > pressureSettles:
			s.perReplica = each
		case s.perReplica > 0 && s.slow < calmShare*s.count:
			s.perReplica = max(s.perReplica, each)
		}
		if s.perReplica > 0 {
			need[model] = min(int(math.Ceil(s.rate()/(s.perReplica*headroom))), ready.replicas+1, max(1, len(p.sorted)/2))
		}
	}
	return need
}

// pressureWeight is what one more replica is worth against the wants of other
// models: its slow answers, as if they were wants.
func (p *Planner) pressureWeight(now time.Time, model string) float64 {
	s := p.pressures[model]
	if s == nil || s.perReplica == 0 {
		return 0
	}
	s.fade(now)
	return lostPart * s.slow * rankValue(s.rank) * valueHalfLife.Seconds() / pressureHalfLife.Seconds()
}

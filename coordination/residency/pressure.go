package residency

import (
	"math"
	"time"
)

const (
	// pressureHalfLife is the half-life of the first events in the statistics. It is short
	// because demand shifts within seconds.
	pressureHalfLife = 1500 * time.Millisecond
	// overloadShare is the share of slow first events from which a model gets one more
	// replica. A lower value would take room from rare models.
	overloadShare = 0.3
	// minOverloadEvents is the minimum number of slow first events for one more replica, so
	// that one or two slow requests are not enough.
	minOverloadEvents = 3.0
	// normalShare is the share of slow first events below which the replicas can serve
	// their present load. It is a third of overloadShare, so that the decision does not
	// oscillate.
	normalShare = 0.1
	// replicaSettleTime is the time that a new replica has to show its effect: daemons
	// learn of it within one heartbeat of its engine.
	replicaSettleTime = 1500 * time.Millisecond
	// targetUtilization is the share of a replica's capacity that is planned to be used, so
	// that a replica is removed only after the load has dropped by a fifth.
	targetUtilization = 0.8
	// lateLossShare is the share of a request's value that is assumed to be lost by a late
	// answer.
	lateLossShare = 0.5
)

// pressure measures how quickly the engines that hold a model begin to answer. The load
// that one replica can serve depends on the model, its prompts and the other work of its
// engine. None of that is declared, so it is learned from the first events.
type pressure struct {
	count, slow float64   // recent first events, decaying
	seconds     float64   // time span of these events, decaying in the same way
	at          time.Time // time of the last decay
	rank        int       // of the most urgent requests in the last report of a daemon
	// perReplica is the rate of first events per second and replica at which the model was
	// overloaded, or a higher rate that its replicas have served since. It is zero if the
	// model has never been overloaded.
	perReplica float64
}

func (s *pressure) decay(now time.Time) {
	f := math.Exp2(-now.Sub(s.at).Seconds() / pressureHalfLife.Seconds())
	s.count, s.slow, s.at = s.count*f, s.slow*f, now
	s.seconds = s.seconds*f + (1-f)*pressureHalfLife.Seconds()/math.Ln2
}

// rate returns the number of first events per second.
func (s *pressure) rate() float64 { return s.count / s.seconds }

func (s *pressure) isOverloaded() bool {
	return s.slow >= minOverloadEvents && s.slow >= overloadShare*s.count
}

// addFirstEvents adds the first events of a model that a daemon reports.
func (p *Planner) addFirstEvents(now time.Time, model string, f FirstEvents) {
	s := p.pressures[model]
	if s == nil {
		s = &pressure{at: now, seconds: DemandInterval.Seconds()}
		p.pressures[model] = s
	}
	s.decay(now)
	s.count += float64(f.Count)
	s.slow += float64(f.Slow)
	s.rank = f.Rank
}

// minFirstEvents is the decayed number of first events below which a model's pressure is
// deleted.
const minFirstEvents = 0.01

// replicasForPressure returns the replicas that are needed because of slow first events, by
// model. The number grows by one at a time, once the previous replica has shown its effect.
func (p *Planner) replicasForPressure(d *draft) map[string]int {
	need := map[string]int{}
	for model, s := range p.pressures {
		s.decay(d.now)
		if s.count < minFirstEvents {
			delete(p.pressures, model)
			continue
		}
		ready := d.ready[model]
		if ready.replicas == 0 {
			continue
		}
		each := s.rate() / float64(ready.replicas)
		switch {
		case s.isOverloaded() && ready.replicas == d.replicas[model] && d.now.Sub(ready.since) > replicaSettleTime:
			s.perReplica = each
		case s.perReplica > 0 && s.slow < normalShare*s.count:
			s.perReplica = max(s.perReplica, each)
		}
		// One replica, or none, is no requirement: the model may be unloaded like any other.
		if n := p.replicasForWork(d.now, model, s); n > 1 {
			need[model] = min(n, max(1, len(p.sorted)/2))
		}
		if s.perReplica > 0 {
			need[model] = max(need[model], min(int(math.Ceil(s.rate()/(s.perReplica*targetUtilization))), ready.replicas+1, max(1, len(p.sorted)/2)))
		}
	}
	return need
}

// pressureWeight returns the value of one more replica, comparable with the value of
// requests for other models: slow answers count like requests.
func (p *Planner) pressureWeight(now time.Time, model string) float64 {
	s := p.pressures[model]
	if s == nil || s.perReplica == 0 {
		return 0
	}
	s.decay(now)
	return lateLossShare * s.slow * rankValue(s.rank) * valueHalfLife.Seconds() / pressureHalfLife.Seconds()
}

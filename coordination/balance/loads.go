package balance

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// EngineLoad is the work at one engine.
type EngineLoad struct {
	Running       int     // running requests
	PendingPrompt int     // prompt tokens of the running requests that have no first event yet
	Held          int     // prompt and output tokens of all running requests
	Speed         float64 // relative to the average engine of the service; zero if not known
}

// EngineLoads is the work at each engine.
type EngineLoads map[fleet.Incarnation]EngineLoad

// maxReportedTokens bounds the pending and held tokens of an engine that a report may state, so that
// sums stay finite. It is 16 requests of the largest size.
const maxReportedTokens = 16_000_000

// OwnLoads returns the work of this daemon's requests. The daemon reports it, and passes it to
// ReceiveLoads together with the work of all daemons.
func (b *Balancer) OwnLoads() EngineLoads {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := EngineLoads{}
	for id, l := range b.loads {
		if l.own.Running > 0 {
			own[id] = l.own
		}
	}
	return own
}

// ReceiveLoads sets the work of all daemons at the engines of a service as of a time. own is the
// part of it that this daemon had reported.
func (b *Balancer) ReceiveLoads(service string, asOf time.Time, all, own EngineLoads) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.reportedAt, s.reportedRunning = asOf, 0
	s.speeds = s.speeds[:0]
	for id, l := range all {
		mine := own[id]
		s.reportedRunning += l.Running
		b.load(id).others = EngineLoad{
			Running:       max(0, l.Running-mine.Running),
			PendingPrompt: othersTokens(l.PendingPrompt, mine.PendingPrompt),
			Held:          othersTokens(l.Held, mine.Held),
		}
		if l.Speed != 0 {
			s.speeds = append(s.speeds, workcost.Speed{Incarnation: id, Relative: l.Speed})
		}
	}
	s.estimator.Merge(asOf, s.speeds)
}

// othersTokens returns the other daemons' part of reported tokens.
func othersTokens(all, own int) int {
	return min(maxReportedTokens, max(0, min(maxReportedTokens, all)-own))
}

// TakeSamples returns the measurements at the engines of a service since the last call, which the
// daemon reports to the coordinator.
func (b *Balancer) TakeSamples(service string) []workcost.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return nil
	}
	return s.estimator.TakeSamples()
}

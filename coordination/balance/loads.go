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

// OwnLoads returns the work of this daemon's requests. The daemon reports it, and passes it to
// ReceiveLoads together with the work of all daemons.
func (b *Balancer) OwnLoads() EngineLoads {
	own := EngineLoads{}
	for id, n := range b.OwnRunning() {
		own[id] = EngineLoad{Running: n}
	}
	return own
}

// ReceiveLoads sets the work of all daemons at the engines of a service as of a time. own is the
// part of it that this daemon had reported.
func (b *Balancer) ReceiveLoads(service string, asOf time.Time, all, own EngineLoads) {
	runningAll, runningOwn := Running{}, Running{}
	for id, l := range all {
		runningAll[id] = l.Running
	}
	for id, l := range own {
		runningOwn[id] = l.Running
	}
	b.ReceiveRunning(service, asOf, runningAll, runningOwn)
}

// TakeSamples returns the measurements at the engines of a service since the last call, which the
// daemon reports to the coordinator.
func (b *Balancer) TakeSamples(string) []workcost.Sample { return nil }

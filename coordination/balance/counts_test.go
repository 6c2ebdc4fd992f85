package balance

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Running is a count of requests for each endpoint.
type Running map[fleet.Incarnation]int

// OwnRunning returns the running requests of this daemon, for reports without the rest of the work.
func (b *Balancer) OwnRunning() Running {
	own := Running{}
	for id, l := range b.OwnLoads() {
		own[id] = l.Running
	}
	return own
}

// ReceiveRunning is ReceiveLoads for a report that has only the numbers of requests.
func (b *Balancer) ReceiveRunning(service string, asOf time.Time, all, own Running) {
	b.ReceiveLoads(service, asOf, runningLoads(all), runningLoads(own))
}

func runningLoads(counts Running) EngineLoads {
	loads := make(EngineLoads, len(counts))
	for id, n := range counts {
		loads[id] = EngineLoad{Running: n}
	}
	return loads
}

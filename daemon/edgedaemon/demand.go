package edgedaemon

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// runDemand sends this daemon's demand to the coordinators of its services until
// ctx ends. It also keeps the balancer informed of the number of daemons.
func (d *Daemon) runDemand(ctx context.Context) error {
	alive := len(d.alive())
	var demandTimer residency.DemandTimer
	demandTimer.ObserveSent(time.Now(), alive)
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		due.Reset(time.Until(demandTimer.Due()))
		select {
		case <-ctx.Done():
			return nil
		case <-d.callers.DemandChanged():
			demandTimer.ObserveChange(time.Now(), alive)
		case <-d.callers.PlaceFreed():
			demandTimer.ObserveFreed(time.Now(), alive)
		case <-due.C:
			alive = len(d.alive())
			d.balancer.SetDaemons(alive)
			for service, demand := range d.callers.Demand() {
				d.sendDemand(ctx, service, demand, alive)
			}
			demandTimer.ObserveSent(time.Now(), alive)
		}
	}
}

// serviceConfigured reports whether a service is configured. Before the first desired state, all are.
func (d *Daemon) serviceConfigured(service string) bool {
	table := d.view.Table()
	return table == nil || table.Services[service] != nil
}

// sendDemand sends this daemon's demand to a service's coordinator and applies the answer:
// the work that all daemons have at each endpoint. alive is the number of daemons. Without
// requests, now and in the last message, it sends nothing.
func (d *Daemon) sendDemand(ctx context.Context, service string, demand residency.Demand, alive int) {
	if len(demand.Active) == 0 && d.lastSent[service] == 0 {
		return
	}
	d.lastSent[service] = len(demand.Active)
	own := ofService(d.balancer.OwnLoads(), d.view.Endpoints(), service)
	demand.Work = workOf(own)
	demand.Samples = d.balancer.TakeSamples(service)
	if c := d.localCoordinator(service); c != nil && c.Holds() {
		c.ReceiveDemand(d.self, demand)
		d.receiveLoads(service, c.Loads(), own, alive)
		return
	}
	address := d.holder(service)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	resp, err := d.fleet(address).Demand(ctx, demandToWire(d.self, service, demand))
	if err != nil {
		d.log.Debug("demand message failed", "service", service, "holder", address, "error", err)
		return
	}
	d.receiveLoads(service, d.lists.unpackLoads(d.view.Endpoints().ByService[service], resp), own, alive)
}

// ofService returns the loads at the endpoints of one service.
func ofService(loads balance.EngineLoads, view *fleet.View, service string) balance.EngineLoads {
	out := balance.EngineLoads{}
	for incarnation, l := range loads {
		if e := view.Find(incarnation); e != nil && e.Service == service {
			out[incarnation] = l
		}
	}
	return out
}

// workOf returns the work that a daemon reports of its requests.
func workOf(own balance.EngineLoads) map[fleet.Incarnation]residency.EngineWork {
	work := make(map[fleet.Incarnation]residency.EngineWork, len(own))
	for incarnation, l := range own {
		if l.PendingPrompt > 0 || l.Held > 0 {
			work[incarnation] = residency.EngineWork{PendingPrompt: l.PendingPrompt, Held: l.Held}
		}
	}
	return work
}

// Demand implements fleetpb.Fleet.
func (s *fleetServer) Demand(_ context.Context, req *fleetpb.DemandRequest) (*fleetpb.DemandResponse, error) {
	if c := (*Daemon)(s).localCoordinator(req.Service); c != nil {
		c.ReceiveDemand(req.Daemon, demandFromWire(req))
		if c.Holds() {
			return packLoads(c.Loads()), nil
		}
	}
	return &fleetpb.DemandResponse{}, nil
}

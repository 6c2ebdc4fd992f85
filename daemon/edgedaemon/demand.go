package edgedaemon

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// runDemand sends this daemon's demand to the coordinators of its services until
// ctx ends. It also keeps the retry budget and the balancer informed of the number
// of daemons.
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
			d.shareRetries(alive)
			d.balancer.SetDaemons(alive)
			for service, demand := range d.callers.Demand() {
				d.sendDemand(ctx, service, demand, alive)
			}
			demandTimer.ObserveSent(time.Now(), alive)
		}
	}
}

// minSharing is the least number of daemons assumed to share the allowed
// retries: a daemon that has just started, or is partitioned, sees few others
// and must not use all retries itself.
const minSharing = 6

// shareRetries sets the burst of the retry budget to this daemon's share of the
// retries that all daemons together may make.
func (d *Daemon) shareRetries(alive int) {
	d.budget.SetBurst(max(1, d.set.Retries.Extra*retryShare/float64(max(minSharing, alive))))
}

// sendDemand sends this daemon's demand to a service's coordinator and applies the answer:
// the number of requests that all daemons have at each endpoint. alive is the number of
// daemons. Without requests, now and in the last message, it sends nothing.
func (d *Daemon) sendDemand(ctx context.Context, service string, demand residency.Demand, alive int) {
	if len(demand.Active) == 0 && d.lastSent[service] == 0 {
		return
	}
	d.lastSent[service] = len(demand.Active)
	mine := d.balancer.OwnRunning()
	if own := d.localCoordinator(service); own != nil && own.Holds() {
		own.ReceiveDemand(d.self, demand)
		d.receiveRunning(service, own.Running(), mine, alive)
		return
	}
	address := d.holder(service)
	if address == "" {
		return
	}
	req := &fleetpb.DemandRequest{Daemon: d.self, Service: service, Active: make(map[string]int32, len(demand.Active))}
	for model, n := range demand.Active {
		req.Active[model] = int32(n)
	}
	for place, n := range demand.Running {
		first := demand.FirstEvents[place]
		delete(demand.FirstEvents, place)
		req.Running = append(req.Running, runningAt(place, n, first))
	}
	for place, first := range demand.FirstEvents {
		req.Running = append(req.Running, runningAt(place, 0, first))
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	resp, err := d.fleet(address).Demand(ctx, req)
	if err != nil {
		d.log.Debug("demand message failed", "service", service, "holder", address, "error", err)
		return
	}
	d.receiveRunning(service, d.lists.unpackRunning(d.view.Endpoints().ByService[service], resp), mine, alive)
}

func runningAt(place residency.Place, requests int, first residency.FirstEvents) *fleetpb.Running {
	return &fleetpb.Running{
		Endpoint: place.Endpoint.ID, Born: place.Endpoint.StartUnixMs, Model: place.Model, Requests: int32(requests),
		FirstEvents: int32(first.Count), Slow: int32(first.Slow), Rank: int32(first.Rank),
	}
}

// Demand implements fleetpb.Fleet.
func (s *fleetServer) Demand(_ context.Context, req *fleetpb.DemandRequest) (*fleetpb.DemandResponse, error) {
	if c := (*Daemon)(s).localCoordinator(req.Service); c != nil {
		demand := residency.Demand{
			Active: make(map[string]int, len(req.Active)), Running: make(map[residency.Place]int, len(req.Running)), FirstEvents: map[residency.Place]residency.FirstEvents{},
		}
		for model, n := range req.Active {
			demand.Active[model] = int(n)
		}
		for _, r := range req.Running {
			place := residency.Place{Endpoint: fleet.Incarnation{ID: r.Endpoint, StartUnixMs: r.Born}, Model: r.Model}
			demand.Running[place] = int(r.Requests)
			if r.FirstEvents > 0 {
				demand.FirstEvents[place] = residency.FirstEvents{Count: int(r.FirstEvents), Slow: int(r.Slow), Rank: int(r.Rank)}
			}
		}
		c.ReceiveDemand(req.Daemon, demand)
		if c.Holds() {
			return packRunning(c.Running()), nil
		}
	}
	return &fleetpb.DemandResponse{}, nil
}

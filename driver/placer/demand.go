package placer

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/grants"
	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// HandleDemand serves the Demand call of a peer. The response has Coordinator
// unset if this daemon does not coordinate the group.
func (p *Placer) HandleDemand(req *peerpb.DemandRequest) *peerpb.DemandResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.place == nil || !p.opt.Roles.Coordinates(p.opt.Group) {
		return &peerpb.DemandResponse{}
	}
	p.allocator.Report(now, req.From, fromWire(now, req.Units))
	p.place.Step(now, placement.DemandChanged{Units: p.allocator.Demand(now)})
	p.allocate(now)
	resp := &peerpb.DemandResponse{Coordinator: true}
	for _, c := range p.allocated[req.From] {
		resp.Credits = append(resp.Credits, &peerpb.Credit{Unit: c.Unit, Endpoint: c.Endpoint, Limit: int64(c.Limit)})
	}
	for _, u := range req.Units {
		resp.Estimates = append(resp.Estimates, p.estimate(now, u.Unit))
	}
	return resp
}

// ReasonScripts is the refusal reason while the operator's scripts run the service.
const ReasonScripts = "left-to-scripts"

func (p *Placer) estimate(now time.Time, unit string) *peerpb.Estimate {
	e := &peerpb.Estimate{Unit: unit}
	if p.service.Mode == bundle.ModeScripts {
		e.WaitMs, e.Reason = -1, ReasonScripts
		return e
	}
	w := p.place.Estimate(unit, now)
	if w.Reason != "" {
		e.WaitMs, e.Reason = -w.RetryAfter.Milliseconds()-1, w.Reason
		return e
	}
	e.WaitMs = w.Time.Milliseconds()
	e.ShareMillislots = int64(1000*p.slots(unit)) / int64(max(1, p.allocator.Users(unit)))
	return e
}

// slots adds up the slots of a unit's ready replicas.
func (p *Placer) slots(unit string) int {
	n := 0
	for _, r := range p.place.Replicas() {
		if r.Unit == unit {
			n += r.Endpoint.Slots
		}
	}
	return n
}

// allocate divides the slots again. With many reports it does so only at
// intervals, so that its cost neither grows with the square of the number of
// daemons nor exceeds a fiftieth of a core.
func (p *Placer) allocate(now time.Time) {
	if p.allocator.Len() > smallGroup && now.Before(p.allocNext) {
		return
	}
	p.allocated = p.allocator.Allocate(now, p.place.Replicas())
	p.allocNext = now.Add(max(allocateEvery, allocateRest*time.Since(now)))
}

func fromWire(now time.Time, units []*peerpb.UnitDemand) []grants.UnitReport {
	list := make([]grants.UnitReport, len(units))
	for i, u := range units {
		r := grants.UnitReport{Unit: u.Unit, InFlight: int(u.InFlight), Arrivals: int(u.Arrivals), Unavailable: int(u.Shut), UnavailableWorth: u.ShutWorth}
		for _, w := range u.Waiting {
			r.Waiting = append(r.Waiting, grants.Waiting{
				Worth: w.Worth, Count: int(w.Count), Deadline: now.Add(time.Duration(w.EarliestDeadlineMs) * time.Millisecond),
			})
		}
		list[i] = r
	}
	return list
}

// View is a placer's state for a dump.
type View struct {
	Group     string           `json:"group"`
	Held      bool             `json:"held"`
	Fence     uint64           `json:"fence"`
	Until     time.Time        `json:"until"`
	Object    placement.Object `json:"placement"`
	Ready     []string         `json:"ready"`
	Reporting int              `json:"reporting_daemons"`
}

// View returns the placer's state.
func (p *Placer) View() View {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, held := p.lease.Holds(clock.Now()) // p.held is not kept up to date for a service that is gone or left to scripts
	v := View{Group: p.opt.Group, Held: held, Until: p.lease.HeldUntil(), Reporting: p.allocator.Len()}
	if p.place == nil {
		return v
	}
	v.Fence, v.Object = p.place.Fence(), p.place.Object()
	for _, r := range p.place.Replicas() {
		v.Ready = append(v.Ready, r.Unit+"@"+r.Endpoint.Name)
	}
	return v
}

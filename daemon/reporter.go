package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/admission"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/transport/peers"
)

const (
	waitingReportInterval = 50 * time.Millisecond  // between reports while requests wait
	runningReportInterval = 500 * time.Millisecond // between reports while requests run or have run within reportIdleAfter
	minReportInterval     = 5 * time.Millisecond   // least time between two reports
	reportIdleAfter       = 2 * time.Second        // since its last use, after which a unit is no longer reported
	demandTimeout         = time.Second
	// unansweredLimit is how long the coordinator may leave reports unanswered before
	// waiting requests are refused.
	unansweredLimit = 2 * time.Second
)

// reporter sends this daemon's demand to one group's coordinator and applies the
// credits and estimates of the answer. An idle daemon sends nothing.
type reporter struct {
	group string
	d     *Daemon
	kick  chan struct{}

	mu       sync.Mutex
	service  bundle.Service
	gates    map[string]*gate.Gate
	credited map[string]bool // units that hold credit
	answered time.Time       // time of the last answer; only run uses it
}

func newReporter(group string, d *Daemon) *reporter {
	return &reporter{group: group, d: d, kick: make(chan struct{}, 1), credited: map[string]bool{}, answered: time.Now()}
}

// configure sets the service's configuration and the gates of its units.
func (r *reporter) configure(s bundle.Service, gates map[string]*gate.Gate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service, r.gates = s, gates
	for _, g := range gates {
		g.ForgetEstimate()
	}
}

// kickNow requests a report as soon as minReportInterval allows. It does not block.
func (r *reporter) kickNow() { wake.Once(r.kick) }

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	t := time.NewTicker(waitingReportInterval)
	defer t.Stop()
	last := time.Time{}
	idle := true
	for {
		kicked := false
		tick := t.C
		if idle {
			tick = nil // the next request has no credit and calls kickNow
		}
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
			kicked = true
		case <-tick:
		}
		units, waiting := r.demand()
		idle = len(units) == 0
		if len(units) == 0 || !kicked && !waiting && time.Since(last) < runningReportInterval {
			continue
		}
		if d := minReportInterval - time.Since(last); d > 0 {
			time.Sleep(d)
			units, _ = r.demand()
		}
		last = time.Now()
		r.report(ctx, units)
	}
}

// activeUnit is a unit with demand.
type activeUnit struct {
	name string
	gate *gate.Gate
}

// demand returns the units in use and whether requests wait, and withdraws the credit
// of the other units.
func (r *reporter) demand() (units []activeUnit, waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, g := range r.gates {
		wait, running := g.Busy()
		if wait || running || now.Sub(g.LastUse()) < reportIdleAfter {
			units = append(units, activeUnit{name, g})
			waiting = waiting || wait
		} else if r.credited[name] {
			delete(r.credited, name)
			g.Update(now, nil, admission.Estimate{})
		}
	}
	return units, waiting
}

// report sends the demand of units and applies the answer.
func (r *reporter) report(ctx context.Context, units []activeUnit) {
	req := &peerpb.DemandRequest{From: r.d.self, Group: r.group}
	now := time.Now()
	for _, u := range units {
		req.Units = append(req.Units, unitDemand(now, u))
	}
	resp := r.callCoordinator(ctx, req)
	now = time.Now()
	if resp == nil || !resp.Coordinator {
		r.handleUnanswered(now, units)
		return
	}
	r.answered = now
	r.apply(now, units, resp)
}

// callCoordinator sends req to the coordinator, which may be this daemon. It returns
// nil if there is no answer.
func (r *reporter) callCoordinator(ctx context.Context, req *peerpb.DemandRequest) *peerpb.DemandResponse {
	m, ok := r.d.coordinator(r.group)
	if !ok {
		return nil
	}
	if m.ID == r.d.self {
		if p := r.d.placer(r.group); p != nil {
			return p.HandleDemand(req)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	resp, err := r.d.peers.To(m.PeerAddress).Demand(ctx, req)
	if err != nil {
		r.d.log.Debug("demand not answered", "group", r.group, "coordinator", m.ID, "error", err)
		return nil
	}
	return resp
}

// handleUnanswered leaves the credits as they are and, after unansweredLimit without an
// answer, refuses the requests that wait for credit.
func (r *reporter) handleUnanswered(now time.Time, units []activeUnit) {
	if now.Sub(r.answered) < unansweredLimit {
		return
	}
	for _, u := range units {
		u.gate.Fail(now, "no-coordinator", r.d.set.LeaseTerm.D()+peers.CallTimeout)
	}
}

// unitDemand returns a unit's demand, which it takes from the gate: arrivals and refusals
// are counted only once.
func unitDemand(now time.Time, u activeUnit) *peerpb.UnitDemand {
	rep := u.gate.Report()
	d := &peerpb.UnitDemand{Unit: u.name, InFlight: rep.InFlight, Arrivals: rep.Arrivals, Shut: rep.Unavailable, ShutWorth: rep.UnavailableWorth}
	for _, it := range rep.Waiting { // sorted by worth, highest first, so equal worths are adjacent
		n := len(d.Waiting)
		if n > 0 && d.Waiting[n-1].Worth == it.Worth {
			d.Waiting[n-1].Count++
			continue
		}
		d.Waiting = append(d.Waiting, &peerpb.Waiting{Worth: it.Worth, Count: 1, EarliestDeadlineMs: it.Deadline.Sub(now).Milliseconds()})
	}
	return d
}

// apply passes the credits and estimates of an answer to the gates.
func (r *reporter) apply(now time.Time, units []activeUnit, resp *peerpb.DemandResponse) {
	r.mu.Lock()
	endpoints := map[string]bundle.Endpoint{}
	for _, e := range r.service.Endpoints {
		endpoints[e.Name] = e
	}
	r.mu.Unlock()
	credits := map[string][]gate.Credit{}
	for _, c := range resp.Credits {
		if e, ok := endpoints[c.Endpoint]; ok {
			credits[c.Unit] = append(credits[c.Unit], gate.Credit{Endpoint: e, Limit: int(c.Limit)})
		}
	}
	estimates := map[string]admission.Estimate{}
	for _, e := range resp.Estimates {
		est := estimateFrom(e.WaitMs, e.Reason)
		est.Slots = float64(e.ShareMillislots) / 1000
		estimates[e.Unit] = est
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range units {
		if r.gates[u.name] != u.gate {
			continue // the unit has moved to another service, or is gone
		}
		u.gate.Update(now, credits[u.name], estimates[u.name])
		if len(credits[u.name]) > 0 {
			r.credited[u.name] = true
		}
	}
}

// estimateFrom decodes an estimate: a wait in milliseconds or, if there is a reason, a
// refusal with a retry delay of -waitMs-1 milliseconds.
func estimateFrom(waitMs int64, reason string) admission.Estimate {
	if reason != "" {
		return admission.Estimate{RefuseReason: reason, RetryAfter: time.Duration(-waitMs-1) * time.Millisecond}
	}
	return admission.Estimate{Ready: time.Duration(waitMs) * time.Millisecond}
}

// Package placer drives one group's coordination on one daemon: the lease and
// the placement that it guards, the endpoints' states, and the allocation of
// slots.
package placer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/grants"
	"github.com/doorvalve/doorvalve/coordination/keepalive"
	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/transport/engine"
	"github.com/doorvalve/doorvalve/transport/platform"
)

const (
	tick          = 25 * time.Millisecond
	pollBusy      = 100 * time.Millisecond // while units change their state or requests wait
	pollRest      = time.Second
	orderTTL      = 3 * time.Second
	resendAfter   = time.Second
	retryAfter    = 250 * time.Millisecond
	marginDivisor = 4 // a holder stops a quarter of the term early
	allocateEvery = 20 * time.Millisecond
	allocateRest  = 50 // pause after an allocation, as a multiple of its duration
	refreshEvery  = 250 * time.Millisecond
	restTick      = 250 * time.Millisecond // while this daemon has no role in the group
	// smallGroup is the number of reporting daemons up to which every report is
	// answered with a fresh allocation.
	smallGroup = 16
)

// Roles connects a placer to the membership of the daemons. All methods must be
// safe for concurrent use.
type Roles interface {
	// Coordinates reports whether this daemon answers the group's Demand calls.
	Coordinates(group string) bool
	// Candidate reports whether this daemon should try to hold the lease.
	Candidate(group string) bool
	// Leaving reports whether an endpoint is being taken out of service.
	Leaving(endpoint string) bool
	// Fence returns the highest fence of the group's lease that was announced to this daemon.
	Fence(group string) uint64
	// LastHolder returns the holder of the lease under that fence, empty after a release.
	LastHolder(group string) placement.FormerHolder
	// AnnounceHolder announces to all daemons whether this daemon holds the group's lease.
	AnnounceHolder(group string, fence uint64, held bool)
	// Quiescent reports whether no order of a former holder can still arrive. It may ask the holder.
	Quiescent(ctx context.Context, holder, group string, fence uint64) bool
}

// Options configure a Placer.
type Options struct {
	Group     string
	Self      string
	LeaseTerm time.Duration
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Generations holds the highest generation of the platform; nil: the platform has none.
	Generations *generations.Tracker
	Platform    *platform.Client
	Engines     *engine.Client
	Roles       Roles
	Log         *decisions.Log
}

// poll is the state of the polling of one endpoint.
type poll struct {
	inProgress bool      // a poll is in progress
	at         time.Time // start of the last poll; zero: poll at once
}

// Placer drives one group's coordination. It is safe for concurrent use.
type Placer struct {
	opt Options
	log *decisions.Log

	mu        sync.Mutex
	service   bundle.Service
	lease     *lease.Machine
	place     *placement.Machine
	allocator *grants.Allocator
	polls     map[string]*poll
	policy    bundle.Policy
	held      bool
	// ordersFrom and unrecorded hold orders back after a restore of the platform has lost the record of
	// the lease's holder: until the orders of the last known holder have expired, and that holder has
	// reported that none can still arrive.
	ordersFrom    time.Time
	unrecorded    *placement.FormerHolder
	releasing     bool
	allocated     map[string][]grants.Credit
	allocNext     time.Time // earliest next allocation, with many reports
	refreshedAt   time.Time
	formerAskedAt time.Time // last query to former holders
	askingFormer  bool      // a query is in progress
}

// New returns a placer for one group.
func New(opt Options) *Placer {
	return &Placer{
		opt: opt, log: opt.Log.With("group", opt.Group), allocator: grants.NewAllocator(), polls: map[string]*poll{},
		lease: lease.New(lease.Options{Self: opt.Self, Term: opt.LeaseTerm, Margin: opt.LeaseTerm / marginDivisor, FirstStart: opt.FirstStart}),
	}
}

// Configure applies a generation of the configuration.
func (p *Placer) Configure(s *snapshot.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conf := placement.NewConfig(s.Generation, s.Bundle, p.opt.Group)
	if conf.Service.Kind == bundle.KindPlain {
		// A plain service is one unit that is always loaded.
		conf.Service.Mode = bundle.ModeWatched
		conf.Units = map[string]bundle.Unit{p.opt.Group: {Name: p.opt.Group, Service: p.opt.Group, MaxReplicas: len(conf.Service.Endpoints)}}
	}
	if p.place == nil || p.policy != s.Bundle.Policy {
		p.newPlacement(s.Bundle.Policy)
	}
	p.service = conf.Service
	p.place.Step(time.Now(), placement.ConfigChanged{Config: conf})
	for _, e := range p.service.Endpoints {
		if p.polls[e.Name] == nil {
			p.polls[e.Name] = &poll{}
		}
	}
}

// newPlacement creates the placement machine on the first configuration. Later
// calls replace only its policy.
func (p *Placer) newPlacement(policy bundle.Policy) {
	p.policy = policy
	keep := keepalive.New(keepalive.Options{
		ColdStartWeight: policy.ColdStartWeight, IdleWeight: policy.IdleWeight,
		MinIdle: policy.MinIdle.D(), MaxIdle: policy.MaxIdle.D(),
	})
	if p.place != nil {
		p.place.SetPolicy(keep)
		return
	}
	p.place = placement.New(placement.Options{
		Self: p.opt.Self, OrderTTL: orderTTL, ResendAfter: resendAfter, RetryAfter: retryAfter, Policy: keep,
	})
}

// Run steps the placer until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTimer(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if p.step(ctx, time.Now()) {
			t.Reset(tick)
		} else {
			t.Reset(restTick)
		}
	}
}

// Release releases the lease for a graceful shutdown.
func (p *Placer) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releasing = true
	p.lease.Step(clock.Now(), lease.Release{})
}

// Released reports whether the lease is not held.
func (p *Placer) Released() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, held := p.lease.Holds(clock.Now())
	return !held
}

// step carries out the actions of the lease and placement machines. It reports
// whether this daemon has a role in the group.
func (p *Placer) step(ctx context.Context, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.place == nil || p.service.Name == "" || p.service.Mode == bundle.ModeScripts {
		return false
	}
	managed := p.service.Kind == bundle.KindEngine && p.service.Mode == bundle.ModeManaged
	coordinates := p.held || p.opt.Roles.Coordinates(p.opt.Group)
	candidate := managed && p.opt.Roles.Candidate(p.opt.Group)
	if !coordinates && !candidate && !p.releasing {
		return false
	}
	if managed {
		p.stepLease(ctx, now, candidate)
	}
	if coordinates {
		p.pollEndpoints(ctx, now)
		p.refresh(now)
	}
	if managed {
		p.askFormer(ctx, now)
		p.act(ctx, now)
	}
	return true
}

// refresh expires the demand of daemons that no longer report, and checks which
// endpoints are being taken out of service.
func (p *Placer) refresh(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshEvery {
		return
	}
	p.refreshedAt = now
	for _, e := range p.service.Endpoints {
		p.place.Step(now, placement.HostLeaving{Endpoint: e.Name, Leaving: p.opt.Roles.Leaving(e.Name)})
	}
	p.place.Step(now, placement.DemandChanged{Units: p.allocator.Demand(now)})
}

func (p *Placer) stepLease(ctx context.Context, now time.Time, candidate bool) {
	p.lease.Step(clock.Now(), lease.Candidate{Yes: candidate && !p.releasing})
	p.lease.Step(clock.Now(), lease.PeerState{Generation: p.opt.Generations.Highest(), Fence: p.opt.Roles.Fence(p.opt.Group)})
	r := p.lease.Ready(clock.Now())
	switch {
	case r.Read:
		go p.readLease(ctx)
	case r.Write != nil:
		go p.writeLease(ctx, *r.Write)
	}
	fence, held := p.lease.Holds(clock.Now())
	if held != p.held {
		p.log.Info(decisions.EventLease, "service", p.opt.Group, "held", held, "fence", fence)
		p.held, p.ordersFrom, p.unrecorded = held, time.Time{}, nil
		if held && p.lease.FormerUnknown() {
			p.awaitFormer(now)
		}
		// The expiry of the lease is not announced: until another daemon holds
		// it, as in an outage, this one has the best state of the group and
		// remains its coordinator.
		if held || p.releasing {
			go p.opt.Roles.AnnounceHolder(p.opt.Group, p.lease.Fence(), held)
		}
	}
	p.place.Step(now, placement.LeaseChanged{Held: held && p.unrecorded == nil && !now.Before(p.ordersFrom), Fence: fence, TakeoverAt: p.takeoverAt(now)})
}

// awaitFormer holds orders back until those of a former holder without a record have expired.
// Endpoints that do not check fencing numbers may take them even later, so the last known holder is
// also asked.
func (p *Placer) awaitFormer(now time.Time) {
	p.ordersFrom = now.Add(orderTTL)
	last := p.opt.Roles.LastHolder(p.opt.Group)
	checks := !slices.ContainsFunc(p.service.Endpoints, func(e bundle.Endpoint) bool { return !e.ChecksFencing })
	if checks || last.Holder == "" || last.Holder == p.opt.Self {
		return
	}
	p.unrecorded = &last
}

// takeoverAt converts the lease's takeover time to the clock of the placement. The lease's clock
// advances while the host is suspended; the placement uses the time of day, as its orders do.
func (p *Placer) takeoverAt(now time.Time) time.Time {
	leaseNow := clock.Now()
	at := p.lease.TakeoverAt(leaseNow)
	if at.IsZero() {
		return at
	}
	return now.Add(at.Sub(leaseNow))
}

func (p *Placer) readLease(ctx context.Context) {
	var rec lease.Record
	version, err := p.opt.Platform.Get(ctx, platform.KindLease, p.opt.Group, &rec)
	missing := errors.Is(err, platform.ErrNotFound)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease.Step(clock.Now(), lease.ReadDone{Err: err != nil && !missing, Found: err == nil, Record: rec, Version: version})
}

func (p *Placer) writeLease(ctx context.Context, w lease.Write) {
	version, out := p.opt.Platform.Put(ctx, platform.KindLease, p.opt.Group, w.ExpectedVersion, w.Record)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease.Step(clock.Now(), lease.WriteDone{Outcome: out, Version: version})
}

// act carries out the actions of the placement machine.
func (p *Placer) act(ctx context.Context, now time.Time) {
	r := p.place.Ready(now)
	switch {
	case r.Read:
		go p.readPlacement(ctx)
	case r.Write != nil:
		go p.writePlacement(ctx, *r.Write)
	}
	for _, o := range r.Orders {
		go p.sendOrder(ctx, o)
	}
}

func (p *Placer) readPlacement(ctx context.Context) {
	var o placement.Object
	version, err := p.opt.Platform.Get(ctx, platform.KindPlacement, p.opt.Group, &o)
	missing := errors.Is(err, platform.ErrNotFound)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Step(time.Now(), placement.ReadDone{Err: err != nil && !missing, Found: err == nil, Object: o, Version: version})
}

func (p *Placer) writePlacement(ctx context.Context, w placement.Write) {
	version, out := p.opt.Platform.Put(ctx, platform.KindPlacement, p.opt.Group, w.ExpectedVersion, w.Object)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Step(time.Now(), placement.WriteDone{Outcome: out, Version: version})
	p.act(ctx, time.Now())
}

// sendOrder sends an order, after a last check that the lease still allows it.
func (p *Placer) sendOrder(ctx context.Context, o protocol.Order) {
	e, ok := p.mayOrder(time.Now(), o)
	if !ok {
		p.orderDone(placement.OrderDone{Order: o})
		return
	}
	sent, err := p.opt.Engines.Order(ctx, e.Address, o)
	if o.Kind != protocol.OrderClaim || err != nil {
		p.log.Info(decisions.EventOrder, "kind", o.Kind, "model", o.Unit, "version", o.Version, "endpoint", o.EndpointID, "fence", o.Fence, "sent", sent, "error", err)
	}
	p.orderDone(placement.OrderDone{Order: o, Sent: sent, OK: err == nil})
}

func (p *Placer) orderDone(e placement.OrderDone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Step(time.Now(), e)
	if poll := p.polls[e.Order.EndpointID]; poll != nil {
		poll.at = time.Time{} // observe the effect at once
	}
}

func (p *Placer) mayOrder(now time.Time, o protocol.Order) (bundle.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endpoint(o.EndpointID)
	if !ok || now.After(o.ExpiresAt) {
		return e, false
	}
	fence, held := p.lease.Holds(clock.Now())
	if held && fence == o.Fence>>placement.OrderNumberBits {
		return e, true
	}
	return e, !held && e.ChecksFencing && o.Kind == protocol.OrderLoad
}

func (p *Placer) endpoint(name string) (bundle.Endpoint, bool) {
	for _, e := range p.service.Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return bundle.Endpoint{}, false
}

// pollEndpoints requests the endpoints' states, more often while requests wait or
// units change their state.
func (p *Placer) pollEndpoints(ctx context.Context, now time.Time) {
	every := pollRest
	if p.place.Unsettled() {
		every = pollBusy
	}
	for _, e := range p.service.Endpoints {
		poll := p.polls[e.Name]
		if poll.inProgress || now.Sub(poll.at) < every {
			continue
		}
		poll.inProgress, poll.at = true, now
		go p.pollOne(ctx, p.service.Kind, e, p.place.ClaimedFence(e.Name), now)
	}
}

func (p *Placer) pollOne(ctx context.Context, kind bundle.Kind, e bundle.Endpoint, fence uint64, requestedAt time.Time) {
	var state protocol.EngineState
	var err error
	if kind == bundle.KindPlain {
		state, err = p.opt.Engines.Health(ctx, e, p.opt.Group)
	} else {
		state, err = p.opt.Engines.State(ctx, e)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls[e.Name].inProgress = false
	if err != nil {
		p.place.Step(time.Now(), placement.EndpointDown{Endpoint: e.Name})
		return
	}
	state.Endpoint = e.Name
	p.place.Step(time.Now(), placement.Observed{State: state, Fence: fence, RequestedAt: requestedAt})
}

// askFormer asks daemons that lost the lease whether their orders may still arrive.
func (p *Placer) askFormer(ctx context.Context, now time.Time) {
	former := slices.Clone(p.place.Former())
	if p.unrecorded != nil {
		former = append(former, *p.unrecorded)
	}
	if len(former) == 0 || p.askingFormer || now.Sub(p.formerAskedAt) < retryAfter {
		return
	}
	p.formerAskedAt, p.askingFormer = now, true
	go func() {
		var quiescent []uint64
		for _, f := range former {
			if f.Holder == p.opt.Self || p.opt.Roles.Quiescent(ctx, f.Holder, p.opt.Group, f.Fence) {
				quiescent = append(quiescent, f.Fence)
			}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.askingFormer = false
		for _, fence := range quiescent {
			p.place.Step(time.Now(), placement.FormerQuiescent{Fence: fence})
			if p.unrecorded != nil && p.unrecorded.Fence == fence {
				p.unrecorded = nil
			}
		}
	}()
}

// Quiescent reports whether this daemon does not hold the lease under fence and
// none of its orders can still arrive.
func (p *Placer) Quiescent(fence uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	held, ok := p.lease.Holds(clock.Now())
	return (!ok || held != fence) && (p.place == nil || p.place.Quiescent(now))
}

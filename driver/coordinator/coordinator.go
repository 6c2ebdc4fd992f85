// Package coordinator drives the residency of one service on one daemon: the
// lease that allows one daemon at a time to send orders, the planner, its orders
// and the engines' reports.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const (
	heldTick = 25 * time.Millisecond  // while this daemon holds the lease
	restTick = 200 * time.Millisecond // otherwise
	// minStep is the minimum time between two steps: events that arrive in the
	// meantime are handled together. Orders and loads take far longer.
	minStep = 15 * time.Millisecond
	// leaseTerm is the validity of a lease without renewal. A renewal is due every
	// third of it, and a slow store may take half a second.
	leaseTerm = 2 * time.Second
	// leaseTimeout bounds a read or write of the lease. After a write whose answer
	// is lost there must be time left to read the lease before it expires.
	leaseTimeout = leaseTerm / 4
	// marginDivisor: a holder stops a quarter of the term early.
	marginDivisor = 4
	// orderSlack is added to the gap between the orders of two holders. It is the
	// time that an order may take to reach its engine.
	orderSlack = 300 * time.Millisecond
)

// TakeoverTime returns how long a service is without orders after its coordinator
// has failed, if the successor must leave a gap between their orders.
func TakeoverTime(orderGap time.Duration) time.Duration { return leaseTerm + orderGap + orderSlack }

// LeaseStore stores leases.
type LeaseStore interface {
	// ReadLease returns lease.ErrNotFound, with the store's generation, if there is none.
	ReadLease(ctx context.Context, name string, v any) (version storeversion.Version, err error)
	WriteLease(ctx context.Context, name string, expected storeversion.Version, record any) (version storeversion.Version, outcome protocol.WriteOutcome, err error)
}

// Engines sends orders to engines and requests their reports.
type Engines interface {
	Order(ctx context.Context, o residency.Order) (residency.Outcome, error)
	Report(ctx context.Context, incarnation fleet.Incarnation, address string) (residency.Report, error)
}

// Options configure a Coordinator.
type Options struct {
	Service string
	Self    string // this host's peer address; identifies the holder
	Lease   LeaseStore
	Engines Engines
	// OrderGap is the minimum time between the orders of two holders.
	OrderGap time.Duration
	Planner  residency.Options
	// Candidate reports whether this daemon should try to hold the lease. former
	// says that the lease's record names this host as the holder.
	Candidate func(service string, former bool) bool
	// Resigns reports whether this daemon should give up the lease if it holds it; nil: never.
	Resigns func(service string) bool
	// OnLeaseChange is called when this daemon takes or loses the lease.
	OnLeaseChange func(service string, fence uint64, held bool)
	// PeerState returns the highest generation of the store and the highest fence of the
	// lease that this daemon has received from peers; nil: none.
	PeerState func(service string) lease.PeerState
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// StoreConcurrency returns how many loads at once the weight store serves, as estimated by
	// this or a former coordinator; zero if unknown. OnStoreConcurrency is called when the
	// estimate changes.
	StoreConcurrency   func(service string) int
	OnStoreConcurrency func(service string, fence uint64, concurrency int)
	// Clock must advance while the host is suspended, so that the lease expires meanwhile;
	// nil: the system's clock.
	Clock   clock.Clock
	Log     *decisions.Log
	Metrics tally.Scope
}

// Coordinator drives one service's residency. It is safe for concurrent use.
type Coordinator struct {
	opt Options

	mu               sync.Mutex
	lease            *lease.Machine
	former           string // holder named by the record that was taken over
	plan             *residency.Planner
	held             bool
	storeConcurrency int               // loads at once of the weight store, as last passed to OnStoreConcurrency
	addresses        map[string]string // of endpoints, by id
	kick             chan struct{}
	metrics          metrics
}

type metrics struct {
	probes, wants, leases tally.Counter
}

// New returns a coordinator without a lease.
func New(opt Options) *Coordinator {
	opt.Planner.Holder = opt.Self
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.PeerState == nil {
		opt.PeerState = func(string) lease.PeerState { return lease.PeerState{} }
	}
	m := opt.Metrics.SubScope("coordinator")
	return &Coordinator{
		opt: opt, plan: residency.New(opt.Planner), addresses: map[string]string{}, kick: make(chan struct{}, 1),
		lease: lease.New(lease.Options{Self: opt.Self, Term: leaseTerm, Margin: leaseTerm / marginDivisor, FirstStart: opt.FirstStart}),
		metrics: metrics{
			probes: m.Counter("reports_asked_total"), wants: m.Counter("models_wanted_total"), leases: m.Counter("lease_changes_total"),
		},
	}
}

// Configure sets the service's engines, as in the desired state.
func (c *Coordinator) Configure(e *routing.Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.Configure(residency.Config{Service: c.opt.Service, Engine: e})
}

// SetEndpoints sets the service's endpoints, as in the current view.
func (c *Coordinator) SetEndpoints(list []*fleet.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.addresses)
	for _, e := range list {
		c.addresses[e.ID] = e.Address
	}
	c.plan.SetEndpoints(c.opt.Clock(), list)
	c.wake()
}

// SetLimit sets the rate limit that an engine reports, or that it no longer reports one.
func (c *Coordinator) SetLimit(incarnation fleet.Incarnation, r limit.Report) {
	c.mu.Lock()
	c.plan.SetLimit(incarnation, r)
	c.mu.Unlock()
	c.wake()
}

// wake makes the loop run at once.
func (c *Coordinator) wake() { wake.Once(c.kick) }

// Want returns where a model is or will be.
func (c *Coordinator) Want(w residency.Want) residency.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.metrics.wants.Inc(1)
	a := c.plan.Want(c.opt.Clock(), w)
	c.wake()
	return a
}

// ReceiveDemand records a daemon's report of its requests.
func (c *Coordinator) ReceiveDemand(daemon string, d residency.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.ReceiveDemand(c.opt.Clock(), daemon, d)
}

// Loads returns the work at each engine, by the recent reports of all daemons.
func (c *Coordinator) Loads() []residency.EngineLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.Loads()
}

// Holds reports whether this daemon holds the lease.
func (c *Coordinator) Holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Holder returns the holder named by the lease's record; empty if there is none or if the
// record was not read yet.
func (c *Coordinator) Holder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.LastRecord().Holder
}

// Run steps the coordinator until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kick:
		case <-t.C:
		}
		if c.step(ctx, c.opt.Clock()) {
			t.Reset(heldTick)
		} else {
			t.Reset(restTick)
		}
		pause.For(ctx, minStep)
	}
}

// step carries out the actions of the lease machine and the planner, and reports
// whether the lease is held.
func (c *Coordinator) step(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepLease(ctx, now)
	if !c.held {
		return false
	}
	r := c.plan.Ready(now)
	for _, incarnation := range r.Probes {
		c.metrics.probes.Inc(1)
		go c.report(ctx, incarnation, c.addresses[incarnation.ID])
	}
	for _, o := range r.Orders {
		go c.order(ctx, o)
	}
	c.reportStoreConcurrency()
	return true
}

// reportStoreConcurrency calls OnStoreConcurrency if the estimate of it has changed. The
// caller holds the mutex.
func (c *Coordinator) reportStoreConcurrency() {
	current := c.plan.StoreConcurrency()
	if current.Estimate == c.storeConcurrency {
		return
	}
	fence, _ := c.lease.Holds(c.opt.Clock())
	c.opt.Log.Info(decisions.EventStoreConcurrency, "service", c.opt.Service, "places", current.Estimate, "before", c.storeConcurrency)
	c.storeConcurrency = current.Estimate
	go c.opt.OnStoreConcurrency(c.opt.Service, fence, current.Estimate)
}

func (c *Coordinator) stepLease(ctx context.Context, now time.Time) {
	c.lease.Step(now, lease.Candidate{Yes: c.opt.Candidate(c.opt.Service, c.wasHolder())})
	c.lease.Step(now, c.opt.PeerState(c.opt.Service))
	if c.held && c.opt.Resigns != nil && c.opt.Resigns(c.opt.Service) {
		c.lease.Step(now, lease.Resign{})
	}
	r := c.lease.Ready(now)
	switch {
	case r.Read:
		go c.readLease(ctx)
	case r.Write != nil:
		if fence, held := c.lease.Holds(now); !held || fence != r.Write.Record.Fence {
			c.former = c.lease.FormerHolder()
		}
		go c.writeLease(ctx, *r.Write)
	}
	fence, held := c.lease.Holds(now)
	if held != c.held {
		c.leaseChanged(now, fence, held)
	}
}

// wasHolder reports whether the lease's record names this host as the holder, as
// after a restart of its daemon. To engines it is the same holder, and may send
// orders at once where another one would have to wait. The caller holds the mutex.
func (c *Coordinator) wasHolder() bool { return c.lease.LastRecord().Holder == c.opt.Self }

// leaseChanged starts or stops the sending of orders. The caller holds the mutex.
func (c *Coordinator) leaseChanged(now time.Time, fence uint64, held bool) {
	c.held = held
	c.metrics.leases.Inc(1)
	from := now
	if held && !c.lease.FirstHold() && c.former != c.opt.Self {
		from = now.Add(c.opt.OrderGap + orderSlack)
	}
	if held {
		c.storeConcurrency = c.opt.StoreConcurrency(c.opt.Service)
		c.plan.SetStoreConcurrency(c.storeConcurrency)
	}
	c.plan.SetLease(now, residency.Lease{Held: held, Fence: fence, First: c.lease.FirstHold(), OrdersFrom: from})
	c.opt.Log.Info(decisions.EventLease, "service", c.opt.Service, "held", held, "fence", fence, "former", c.former, "orders_in_ms", from.Sub(now).Milliseconds())
	go c.opt.OnLeaseChange(c.opt.Service, fence, held)
}

func (c *Coordinator) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var rec lease.Record
	version, err := c.opt.Lease.ReadLease(ctx, c.opt.Service, &rec)
	missing := errors.Is(err, lease.ErrNotFound)
	if err != nil && !missing {
		c.opt.Log.Debug("lease not read", "service", c.opt.Service, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Step(c.opt.Clock(), lease.ReadDone{Err: err != nil && !missing, Found: err == nil, Record: rec, Version: version})
	c.wake()
}

func (c *Coordinator) writeLease(ctx context.Context, w lease.Write) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	version, outcome, err := c.opt.Lease.WriteLease(ctx, c.opt.Service, w.ExpectedVersion, w.Record)
	if err != nil {
		c.opt.Log.Info("lease not written", "service", c.opt.Service, "fence", w.Record.Fence, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Step(c.opt.Clock(), lease.WriteDone{Outcome: outcome, Version: version})
	c.wake()
}

// order sends an order, after a last check that the lease is still held.
func (c *Coordinator) order(ctx context.Context, o residency.Order) {
	c.mu.Lock()
	fence, held := c.lease.Holds(c.opt.Clock())
	c.mu.Unlock()
	outcome, err := residency.Unsent, errors.New("the lease ran out")
	started := time.Now()
	if held && fence == o.Fence {
		outcome, err = c.opt.Engines.Order(ctx, o)
	}
	c.opt.Metrics.Tagged(map[string]string{"outcome": outcome.String()}).SubScope("coordinator").Counter("orders_total").Inc(1)
	c.opt.Log.Info(decisions.EventOrder, "endpoint", o.Endpoint.ID, "born", o.Endpoint.StartUnixMs, "unload", o.Unload, "model", o.Model, "adapter", o.Adapter, "level", o.Level.String(), "expect", o.Expect,
		"fence", o.Fence, "outcome", outcome.String(), "ms", time.Since(started).Milliseconds(), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.ObserveOutcome(c.opt.Clock(), o, outcome)
	c.wake()
}

func (c *Coordinator) report(ctx context.Context, incarnation fleet.Incarnation, address string) {
	r, err := c.opt.Engines.Report(ctx, incarnation, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.opt.Log.Debug("no report", "endpoint", incarnation.ID, "error", err)
		c.plan.ReportFailed(c.opt.Clock(), incarnation, !dial.IsDialError(err))
		return
	}
	c.plan.ReceiveReport(c.opt.Clock(), r)
	c.wake()
}

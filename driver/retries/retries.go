// Package retries gives both interfaces for callers the retries of this daemon at each service. It drives
// coordination/retry: it tells it how many daemons there are, and logs and counts what it decides.
package retries

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/retry"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
)

// updateInterval is the time between two updates of this daemon's share.
const updateInterval = 500 * time.Millisecond

// Options are the dependencies of a Controller. The functions must be safe for concurrent use.
type Options struct {
	Self  string
	Limit retry.Limit
	// FirstStart declares that no daemon has run before.
	FirstStart bool
	// Members returns the daemons that are alive, this one among them.
	Members func() []membership.Member
	// Configured reports whether a service is configured; it returns true while that is not known.
	Configured func(service string) bool
	// Store keeps the number of daemons; nil: it is taken from Members only.
	Store record.Store
	// Listed returns the number of daemons that the platform lists; nil: it lists none.
	Listed      func(context.Context) (int, error)
	Generations *generations.Tracker
	Clock       clock.Clock // nil: the system clock
	Log         *decisions.Log
	Metrics     tally.Scope
}

// Controller holds the retries of one daemon. It is safe for concurrent use.
type Controller struct {
	opt     Options
	budgets *retry.Budgets
	metrics metrics

	mu      sync.Mutex
	sharing *retry.Sharing
	empty   map[string]*shortage // services whose budget is empty

	// The following fields are used by Run only.
	record    record.Record
	informed  bool // the record was read
	recorded  int  // its content
	readAt    time.Time
	readPause time.Duration
}

// shortage is a time in which retries at a service are refused.
type shortage struct {
	since   time.Time
	refused int
}

// New returns a controller. Run keeps its share up to date.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	now := opt.Clock()
	sharing := retry.NewSharing(opt.Limit, now, opt.FirstStart)
	if opt.Store == nil {
		sharing.Inform(0)
	}
	return &Controller{
		opt: opt, sharing: sharing, budgets: retry.NewBudgets(opt.Limit.Window, sharing.Share(now, 1)),
		metrics: newMetrics(opt.Metrics.SubScope("retries")), empty: map[string]*shortage{},
		record: record.New(opt.Store, opt.Generations, recordName),
	}
}

// SetLimit changes the limit, but for its window.
func (c *Controller) SetLimit(limit retry.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharing.SetLimit(limit)
}

// NewFixed returns a controller whose share does not change, without Run: for one daemon on its own.
func NewFixed(share retry.Share, log *decisions.Log, scope tally.Scope) *Controller {
	return &Controller{
		opt:     Options{Clock: clock.Now, Log: log},
		budgets: retry.NewBudgets(retry.DefaultLimit.Window, share), metrics: newMetrics(scope.SubScope("retries")), empty: map[string]*shortage{},
	}
}

// Run updates the share of this daemon until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.syncRecord(ctx)
		c.update()
		pause.For(ctx, updateInterval)
	}
	return nil
}

func (c *Controller) update() {
	now := c.opt.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgets.Update(now, c.sharing.Share(now, hosts(c.opt.Members())))
	for service, state := range c.budgets.Report(now) {
		c.metrics.observe(service, state)
		c.logShortage(now, service, state)
	}
	c.budgets.Retain(now, c.opt.Configured)
}

// hosts returns the number of addresses of daemons: a daemon that has been replaced at its address may be listed
// for a while.
func hosts(members []membership.Member) int {
	addresses := map[string]bool{}
	for _, m := range members {
		addresses[m.PeerAddress] = true
	}
	return len(addresses)
}

// logShortage logs when retries at a service begin to be refused, and when they are available again. The caller
// holds the mutex.
func (c *Controller) logShortage(now time.Time, service string, state retry.State) {
	short := c.empty[service]
	switch {
	case state.Refused > 0 && short == nil:
		c.empty[service] = &shortage{since: now, refused: state.Refused}
		c.opt.Log.Info(decisions.EventRetriesEmpty, "service", service, "refused", state.Refused, "spent", state.Spent, "left", state.Left)
	case state.Refused > 0:
		short.refused += state.Refused
	case short != nil && state.Left >= 1:
		delete(c.empty, service)
		c.opt.Log.Info(decisions.EventRetriesAvailable, "service", service, "refused", short.refused, "for_ms", now.Sub(short.since).Milliseconds(), "left", state.Left)
	}
}

// Earn adds what a request for a service earns.
func (c *Controller) Earn(service string) { c.budgets.Earn(c.opt.Clock(), service) }

// Reserve reserves a retry at a service for a request that is not sent yet, and reports whether there was one. Each
// reservation is ended by SpendReserved or Release.
func (c *Controller) Reserve(service string) bool { return c.budgets.Reserve(c.opt.Clock(), service) }

// Release ends a reservation whose request is not sent.
func (c *Controller) Release(service string) { c.budgets.Release(service) }

// SpendReserved spends a reserved retry just before the request is sent, and reports whether it was still there.
func (c *Controller) SpendReserved(service string) bool {
	return c.budgets.SpendReserved(c.opt.Clock(), service)
}

// Spend takes a retry at a service for a request that is sent at once, and reports whether there was one.
func (c *Controller) Spend(service string) bool { return c.budgets.Spend(c.opt.Clock(), service) }

// SpendAndReserve takes a retry at a service for a request that is sent at once and reserves another one for it, or
// neither, and reports whether there were two.
func (c *Controller) SpendAndReserve(service string) bool {
	return c.budgets.SpendAndReserve(c.opt.Clock(), service)
}

// NoteRefused counts a retry at a service that was refused or has to wait because the budget is empty.
func (c *Controller) NoteRefused(service string) { c.budgets.NoteRefused(service) }

// Count counts a request that is sent again at a service; cause is the reason why the attempt before failed.
func (c *Controller) Count(service, cause string) { c.metrics.count(service, cause) }

// maxSeries bounds the series of retries by service and cause; further ones count as other.
const maxSeries = 256

type metrics struct {
	scope tally.Scope

	mu       sync.Mutex
	services map[string]serviceMetrics
	sent     map[[2]string]tally.Counter // by service and cause
}

type serviceMetrics struct {
	left    tally.Gauge
	refused tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope: scope, services: map[string]serviceMetrics{}, sent: map[[2]string]tally.Counter{}}
}

func (m *metrics) observe(service string, state retry.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.services[service]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": service})
		x = serviceMetrics{scope.Gauge("left"), scope.Counter("refused_total")}
		m.services[service] = x
	}
	x.left.Update(state.Left)
	x.refused.Inc(int64(state.Refused))
}

func (m *metrics) count(service, cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]string{service, strings.ToValidUTF8(cause, "?")} // labels of metrics must be valid
	c := m.sent[key]
	if c == nil && len(m.sent) >= maxSeries {
		key = [2]string{"other", "other"}
		c = m.sent[key]
	}
	if c == nil {
		c = m.scope.Tagged(map[string]string{"service": key[0], "cause": key[1]}).Counter("sent_total")
		m.sent[key] = c
	}
	c.Inc(1)
}

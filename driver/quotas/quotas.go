// Package quotas enforces rates that apply to all daemons together: the quotas of workspaces and
// the rate limits that endpoints report. For each of them it finds the daemon that owns the bucket,
// draws from it for waiting requests, continues without owners that do not answer, and answers
// draws of other daemons where this daemon is the owner. The rules are in coordination/quota and
// coordination/limit.
package quotas

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/workspace"
)

const (
	// drawTimeout bounds a draw from an owner. Owners answer from memory, so this is many times
	// the network delay between failure domains, yet a fraction of the shortest latency objective.
	drawTimeout = 120 * time.Millisecond
	// forwardTimeout bounds a draw that is forwarded to the owner by a daemon that was asked in
	// the owner's place. It is shorter than drawTimeout, within which the first daemon waits.
	forwardTimeout = 60 * time.Millisecond
	// unresponsiveFor is how long a daemon that did not answer a draw is skipped as an owner.
	unresponsiveFor = 400 * time.Millisecond
	// refreshInterval is the interval at which pending limits are published and the members
	// are read again.
	refreshInterval = 500 * time.Millisecond
	// idleInterval is the additional pause while no quota and no limit is in force.
	idleInterval = time.Second
	// maxDrawTargets bounds the daemons that are asked one after the other for one draw.
	maxDrawTargets = 2
)

// Options configure a Controller. Functions must be safe for concurrent use.
type Options struct {
	Self string // id of this daemon
	// Bounds apply to the quotas of workspaces; limits of endpoints use limit.Bounds.
	Bounds quota.Bounds
	// Members returns the known daemons, including this one; Revision returns a number that
	// changes whenever they do.
	Members  func() []membership.Member
	Revision func() uint64
	// Directory returns the workspaces in force, and the version of the desired state that
	// declares them.
	Directory func() (*workspace.Directory, uint64)
	// Listed reports whether an incarnation of an endpoint is listed; nil: all are.
	Listed func(fleet.Incarnation) bool
	// Publish offers a fact to all daemons; nil: facts are dropped. OnLimitChange is called when
	// the limit of an endpoint begins, changes or ends at this daemon; nil: it is not called.
	Publish       func(membership.Entry)
	OnLimitChange func(fleet.Incarnation, limit.Report)
	// Store holds the record of limits, which must survive a stop of all daemons; nil: there is
	// no record.
	Store record.Store
	// Generations tracks the highest generation of the store; nil: the store has no generations.
	Generations *generations.Tracker
	Peer        func(address string) quotapb.Quotas
	Clock       clock.Clock
	Log         *decisions.Log
	Metrics     tally.Scope
}

// Controller enforces quotas and limits at one daemon. It is safe for concurrent use.
type Controller struct {
	opt        Options
	metrics    metrics
	roster     roster
	workspaces *workspaces
	endpoints  *Endpoints
}

type metrics struct {
	draws, failed, forwarded, refused, heldBack, unreadable tally.Counter
	limited                                                 tally.Gauge
}

// New returns a Controller. It reads the store only in Run.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.Listed == nil {
		opt.Listed = func(fleet.Incarnation) bool { return true }
	}
	if opt.Publish == nil {
		opt.Publish = func(membership.Entry) {}
	}
	if opt.OnLimitChange == nil {
		opt.OnLimitChange = func(fleet.Incarnation, limit.Report) {}
	}
	m, l := opt.Metrics.SubScope("quota"), opt.Metrics.SubScope("limit")
	k := &Controller{opt: opt, metrics: metrics{
		draws: m.Counter("draws_total"), failed: m.Counter("draws_failed_total"), forwarded: m.Counter("draws_forwarded_total"), refused: m.Counter("requests_refused_total"),
		heldBack: l.Counter("requests_held_back_total"), unreadable: l.Counter("unreadable_total"), limited: l.Gauge("endpoints_limited"),
	}}
	k.roster.opt, k.roster.started = &k.opt, opt.Clock()
	k.roster.unresponsive, k.roster.lastAlive, k.roster.ranked = map[string]time.Time{}, map[string]time.Time{}, map[string][]membership.Member{}
	k.workspaces, k.endpoints = newWorkspaces(k), newEndpoints(k)
	return k
}

// Endpoints returns the part that enforces the limits of endpoints.
func (k *Controller) Endpoints() *Endpoints { return k.endpoints }

// Ticket records the units that an admitted request took, for a refund. The zero Ticket stands for
// a request that is not subject to a quota or limit.
type Ticket struct {
	subject string
	cost    float64
	at      time.Time // when the request was admitted
	// selection is what the request was selected by; nil if requests are not selected.
	selection *selection
}

// Run reads the record of limits, then publishes pending limits, writes the record and follows
// changes of the membership until ctx ends. It runs less often while no quota and no limit is in
// force.
func (k *Controller) Run(ctx context.Context) error {
	k.endpoints.readAtStart(ctx)
	for ctx.Err() == nil {
		pause.Until(ctx, time.Now().Add(refreshInterval), k.endpoints.limitChanged)
		k.endpoints.maintain()
		k.endpoints.tryRead(ctx)
		k.endpoints.syncRecord(ctx)
		if directory, _ := k.opt.Directory(); !directory.RequiresKey() && !k.endpoints.any() {
			pause.Until(ctx, time.Now().Add(idleInterval), k.endpoints.limitChanged)
			continue
		}
		k.roster.refresh()
		k.workspaces.shared.expire()
		k.endpoints.shared.expire()
	}
	return nil
}

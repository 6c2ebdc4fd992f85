// Package quotas drives the sharing of rates that only all daemons together can keep: the
// quotas of workspaces and the limits that endpoints name. It finds the owner of each, asks it
// when requests wait for an answer, goes on without one that does not answer, and answers as
// an owner.
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
	// drawTimeout bounds a question to an owner, which answers from memory: many times a
	// way between failure domains, and a part of the shortest latency objective.
	drawTimeout = 120 * time.Millisecond
	// forwardTimeout bounds the one that a daemon asks which was asked in an owner's place.
	forwardTimeout = 60 * time.Millisecond
	// silentFor is how long a daemon that has not answered is passed over.
	silentFor = 400 * time.Millisecond
	// tick is how often this daemon looks who is there.
	tick = 500 * time.Millisecond
	// restTick is the pause between two looks whether there is anything to share.
	restTick = time.Second
	// ownersAsked bounds the daemons that are asked one after the other.
	ownersAsked = 2
)

// Options are what a Keeper needs of the rest of the daemon.
type Options struct {
	Self string
	// Bounds are those of the workspaces' quotas.
	Bounds quota.Bounds
	// Members returns the daemons that are known, this one among them; Revision changes
	// whenever they do.
	Members  func() []membership.Member
	Revision func() uint64
	// Directory returns the newest workspaces, and the version of the desired state that
	// they are of.
	Directory func() (*workspace.Directory, uint64)
	// Listed reports whether an endpoint is listed in some life; nil: all are.
	Listed func(fleet.Incarnation) bool
	// Tell offers a fact to all daemons, and Limited is told of each limit of an endpoint
	// that begins, changes or ends here; nil: nobody is.
	Publish       func(membership.Entry)
	OnLimitChange func(fleet.Incarnation, limit.Report)
	// Store keeps what must outlast all daemons; nil: nothing does.
	Store record.Store
	// Generations keeps the highest generation of the store; nil: it names none.
	Generations *generations.Tracker
	Peer        func(address string) quotapb.Quotas
	Clock       clock.Clock
	Log         *decisions.Log
	Metrics     tally.Scope
}

// Keeper is safe for concurrent use.
type Controller struct {
	opt        Options
	metrics    metrics
	fleet      roster
	workspaces *workspaces
	endpoints  *Endpoints
}

type metrics struct {
	draws, failed, forwarded, refused, heldBack, unreadable tally.Counter
	limited                                                 tally.Gauge
}

// New returns a keeper.
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
	k.fleet.opt, k.fleet.started = &k.opt, opt.Clock()
	k.fleet.silent, k.fleet.seen, k.fleet.ranked = map[string]time.Time{}, map[string]time.Time{}, map[string][]membership.Member{}
	k.workspaces, k.endpoints = newWorkspaces(k), newEndpoints(k)
	return k
}

// Endpoints returns the part that keeps to the limits of endpoints.
func (k *Controller) Endpoints() *Endpoints { return k.endpoints }

// Ticket is what a request was let through with; zero where nothing was counted.
type Ticket struct {
	subject string
	cost    float64
	at      time.Time // when it was let through
}

// Run looks after the daemons that are there until ctx ends. Where nothing is shared it rests.
func (k *Controller) Run(ctx context.Context) error {
	k.endpoints.readFirst(ctx)
	for ctx.Err() == nil {
		pause.Until(ctx, time.Now().Add(tick), k.endpoints.news)
		k.endpoints.keep()
		k.endpoints.keepRecord(ctx)
		if directory, _ := k.opt.Directory(); !directory.RequiresKey() && !k.endpoints.any() {
			pause.Until(ctx, time.Now().Add(restTick), k.endpoints.news)
			continue
		}
		k.fleet.look()
		k.workspaces.shared.forget()
		k.endpoints.shared.forget()
	}
	return nil
}

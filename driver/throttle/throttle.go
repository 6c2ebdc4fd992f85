// Package throttle applies the backpressure signals that endpoints send in their answers: that they
// leave, that they want a pause, or that they accept a limited rate of requests. Both interfaces
// for callers consult it for each request before sending it. It drives coordination/backpressure,
// and publishes to the other daemons what holds for all of them.
package throttle

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Options are the dependencies of a Controller. The functions must be safe for concurrent use and
// cheap.
type Options struct {
	Self string
	// Tracker holds the received signals; others may read it, too.
	Tracker *backpressure.Tracker
	// Limits shares out the rate limits that endpoints report.
	Limits *quotas.Endpoints
	// LastReady returns the latest time at which an endpoint is known to have been listed as not
	// leaving; zero if it is listed as leaving or not listed.
	LastReady func(fleet.Incarnation) time.Time
	// Daemons returns how many daemons share the requests.
	Daemons func() int
	// Listed reports whether an incarnation of an endpoint is listed.
	Listed func(fleet.Incarnation) bool
	// OnLeaving is called for each incarnation that reports leaving, to this daemon or to another
	// one.
	OnLeaving func(fleet.Incarnation)
	// Publish sends a fact to all daemons.
	Publish func(membership.Entry)
	Clock   clock.Clock // nil: the system clock
	Log     *decisions.Log
	Metrics tally.Scope
}

// Controller applies the backpressure signals of endpoints at one daemon. It is safe for concurrent
// use.
type Controller struct {
	opt     Options
	metrics metrics

	unreadable decisions.Once // endpoints for which an unreadable pause was logged
}

type metrics struct {
	held                              map[backpressure.Reason]tally.Counter
	leaves, pauses, unreadable        tally.Counter
	endpointsLeaving, endpointsPaused tally.Gauge
}

// New returns a controller.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	m := opt.Metrics.SubScope("throttle")
	held := map[backpressure.Reason]tally.Counter{}
	for _, r := range []backpressure.Reason{backpressure.Leaving, backpressure.Paused, backpressure.Limited} {
		held[r] = m.Tagged(map[string]string{"reason": string(r)}).Counter("requests_held_back_total")
	}
	return &Controller{opt: opt, metrics: metrics{
		held: held, leaves: m.Counter("endpoints_leaving_heard_total"), pauses: m.Counter("pauses_heard_total"), unreadable: m.Counter("pauses_unreadable_total"),
		endpointsLeaving: m.Gauge("endpoints_leaving"), endpointsPaused: m.Gauge("endpoints_paused"),
	}}
}

// Answer holds the backpressure signals of an endpoint's answer.
type Answer struct {
	Incarnation fleet.Incarnation
	Slots       int       // requests that the endpoint works on at once
	Request     string    // id of the answered request
	Sent        time.Time // when the request was sent, by the daemon's clock
	Signals     protocol.Backpressure
	// Authoritative is set if the answer is the endpoint's own, so that the absence of a signal
	// counts, too.
	Authoritative bool
}

// ObserveAnswer processes the signals of an answer.
func (k *Controller) ObserveAnswer(a Answer) {
	if a.Authoritative || a.Signals.Limit.Present {
		k.opt.Limits.ObserveReport(a.Incarnation, a.Sent, a.Signals.Limit)
	}
	now := k.opt.Clock()
	if a.Signals.Leaving {
		k.leaves(now, a.Incarnation, k.opt.Self, a.Request)
	}
	if a.Signals.Pause.Unreadable != "" {
		k.noteUnreadable(a)
	}
	switch {
	case a.Signals.Pause.For > 0:
		k.pauses(now, a)
	case a.Authoritative && k.opt.Tracker.ObserveAnswer(now, a.Sent, a.Incarnation):
		k.opt.Log.Info(decisions.EventEndpointResumed, "endpoint", a.Incarnation.ID, "heard_on", a.Request)
	}
}

// observePause processes an endpoint's request for a pause.
func (k *Controller) pauses(now time.Time, a Answer) {
	k.metrics.pauses.Inc(1)
	k.opt.Tracker.SetDaemons(k.opt.Daemons())
	if k.opt.Tracker.ObservePause(now, a.Incarnation, a.Signals.Pause.For, a.Slots) {
		in := k.opt.Tracker.Peek(now, a.Incarnation, backpressure.Request{}).OpensIn
		k.opt.Log.Info(decisions.EventEndpointPaused, "endpoint", a.Incarnation.ID, "born", a.Incarnation.StartUnixMs, "heard_on", a.Request, "asked_ms", a.Signals.Pause.For.Milliseconds(), "for_ms", in.Milliseconds())
	}
}

// setLeaving processes the report that an endpoint leaves, which the daemon heardBy received from
// it.
func (k *Controller) leaves(now time.Time, life fleet.Incarnation, heardBy, request string) {
	if k.opt.Tracker.IsLeaving(life) || !k.opt.Tracker.SetLeaving(now, life, k.opt.LastReady(life)) {
		return
	}
	k.metrics.leaves.Inc(1)
	k.opt.Log.Info(decisions.EventEndpointLeaving, "endpoint", life.ID, "born", life.StartUnixMs, "heard_by", heardBy, "heard_on", request, "last_resort", k.opt.Tracker.Peek(now, life, backpressure.Request{}).LastResort)
	k.opt.OnLeaving(life)
	if heardBy == k.opt.Self {
		k.opt.Publish(leavingFact(now, life, heardBy))
	}
}

// countUnreadable counts unreadable pauses and logs the first of each endpoint.
func (k *Controller) noteUnreadable(a Answer) {
	k.metrics.unreadable.Inc(1)
	if k.unreadable.First(a.Incarnation.ID) {
		k.opt.Log.Warn(decisions.EventPauseUnreadable, "endpoint", a.Incarnation.ID, "heard_on", a.Request, "value", a.Signals.Pause.Unreadable)
	}
}

// Peek decides whether a request could go to an endpoint now, without admitting it.
func (k *Controller) Peek(life fleet.Incarnation, a backpressure.Request) backpressure.Decision {
	return k.opt.Tracker.Peek(k.opt.Clock(), life, a)
}

// WaitSynced waits until a newly started daemon has read the stored limits, or has failed to.
func (k *Controller) WaitSynced(ctx context.Context) { k.opt.Limits.WaitSynced(ctx) }

// Admit decides on a request immediately before it is sent. The request may go to the endpoint if
// the decision is not Closed. The ticket holds what the request takes of the endpoint's limit.
func (k *Controller) Admit(ctx context.Context, life fleet.Incarnation, a backpressure.Request) (quotas.Ticket, backpressure.Decision) {
	if d := k.Peek(life, a); d.Closed() {
		return quotas.Ticket{}, k.count(d)
	}
	ticket, ok, roomIn := k.opt.Limits.Admit(ctx, life, a)
	if !ok {
		k.opt.Tracker.CloseFor(k.opt.Clock(), life, roomIn)
		return quotas.Ticket{}, k.count(backpressure.Decision{Reason: backpressure.Limited, OpensIn: roomIn})
	}
	d := k.opt.Tracker.Admit(k.opt.Clock(), life, a)
	if d.Closed() {
		k.opt.Limits.Refund(ticket)
		return quotas.Ticket{}, k.count(d)
	}
	return ticket, d
}

// count counts a request that is held back, by reason.
func (k *Controller) count(d backpressure.Decision) backpressure.Decision {
	if c := k.metrics.held[d.Reason]; c != nil {
		c.Inc(1)
	}
	return d
}

// Refund gives back what a request was admitted with that has not reached the endpoint.
func (k *Controller) Refund(t quotas.Ticket) { k.opt.Limits.Refund(t) }

// EstimateWait returns the time until an endpoint takes a request: at this daemon's share of the
// limit that the endpoint reports, otherwise at the given rate in requests a second.
func (k *Controller) EstimateWait(life fleet.Incarnation, a backpressure.Request, rate float64) time.Duration {
	if _, limited := k.opt.Limits.Limit(life); limited {
		rate = k.opt.Limits.RateShare(life)
	}
	return k.opt.Tracker.EstimateWait(k.opt.Clock(), life, a, rate)
}

// Enqueue adds a request to the queue of an endpoint. The caller must call Dequeue.
func (k *Controller) Enqueue(life fleet.Incarnation, a backpressure.Request) *backpressure.Waiter {
	return k.opt.Tracker.Enqueue(k.opt.Clock(), life, a)
}

// Dequeue removes a request from its queue. admitted means that the request was admitted.
func (k *Controller) Dequeue(p *backpressure.Waiter, admitted bool) {
	k.opt.Tracker.Dequeue(p)
	if !admitted {
		k.opt.Limits.StopWaiting(p.Incarnation())
	}
}

// ReserveRetry records that a caller was told to retry after a time.
func (k *Controller) ReserveRetry(life fleet.Incarnation, a backpressure.Request, in time.Duration) {
	k.opt.Tracker.ReserveRetry(k.opt.Clock(), life, a, in)
}

// SetLimit processes a limit that begins, changes or ends.
func (k *Controller) SetLimit(life fleet.Incarnation, w limit.Report) {
	k.opt.Tracker.SetLimit(k.opt.Clock(), life, w)
}

// pruneEvery is the time between two prunings of removed endpoints.
const keepEvery = 5 * time.Second

// Run prunes removed endpoints and updates the gauges until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := k.opt.Clock()
		k.opt.Tracker.Prune(now, k.opt.Listed)
		leaving, paused := k.opt.Tracker.Counts(now)
		k.metrics.endpointsLeaving.Update(float64(leaving))
		k.metrics.endpointsPaused.Update(float64(paused))
		pause.For(ctx, keepEvery)
	}
	return nil
}

// FactPrefix is the prefix of the keys of facts about leaving endpoints.
const FactPrefix = "leaving/"

const (
	// factStep rounds the versions of facts, so that daemons which receive the report of one
	// endpoint at about the same time publish the same fact, which spreads only once.
	factStep = time.Minute
	// factLifetime is how long a fact is sent to newly started daemons.
	factLife = 10 * time.Minute
)

// fact is the encoded value of a fact.
type fact struct {
	HeardBy string `json:"heard_by"`
}

func leavingFact(now time.Time, life fleet.Incarnation, heardBy string) membership.Entry {
	value, _ := json.Marshal(fact{heardBy}) // strings always marshal
	return membership.Entry{Key: FactPrefix + life.String(), Version: uint64(now.Truncate(factStep).UnixMilli()), Value: value}
}

// StaleFact reports whether a fact is about an endpoint that reported leaving more than
// factLifetime ago.
func StaleFact(now time.Time, f membership.Entry) bool {
	return strings.HasPrefix(f.Key, FactPrefix) && now.Sub(time.UnixMilli(int64(f.Version))) > factLife
}

// ReceiveFact processes the fact that an endpoint leaves, as received by another daemon.
func (k *Controller) ReceiveFact(f membership.Entry) {
	subject, ok := strings.CutPrefix(f.Key, FactPrefix)
	if !ok {
		return
	}
	life, err := fleet.ParseIncarnation(subject)
	var said fact
	if err == nil {
		err = json.Unmarshal(f.Value, &said)
	}
	if err != nil {
		k.opt.Log.Warn(decisions.EventFactUnreadable, "key", f.Key, "error", err)
		return
	}
	k.leaves(k.opt.Clock(), life, said.HeardBy, "")
}

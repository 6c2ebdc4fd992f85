// Package throttle keeps to what endpoints say of themselves in their answers: that they leave,
// that they want a pause, that they take so many requests a second. It is the one question that
// each request asks before it is sent, on both interfaces. It drives coordination/backpressure,
// and tells the other daemons what holds for all of them.
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

// Options are what a Keeper needs of the rest of the daemon. Functions must be safe for concurrent
// use and cheap.
type Options struct {
	Self string
	// Book holds what was said; others may look into it.
	Tracker *backpressure.Tracker
	// Limits shares the rates that endpoints name.
	Limits *quotas.Endpoints
	// ReadyAt returns up to when an endpoint is known to be listed as not leaving; zero if it is
	// listed as leaving, or not at all.
	LastReady func(fleet.Incarnation) time.Time
	// Daemons returns how many daemons share the requests.
	Daemons func() int
	// Listed reports whether an endpoint is listed in some life.
	Listed func(fleet.Incarnation) bool
	// Leaving is told of each life that says it leaves, or of which another daemon tells it.
	OnLeaving func(fleet.Incarnation)
	// Tell offers a fact to all daemons.
	Publish func(membership.Entry)
	Clock   clock.Clock // nil: the system's
	Log     *decisions.Log
	Metrics tally.Scope
}

// Keeper is safe for concurrent use.
type Controller struct {
	opt     Options
	metrics metrics

	unreadable decisions.Once // endpoints whose pauses were logged as unreadable
}

type metrics struct {
	held                              map[backpressure.Reason]tally.Counter
	leaves, pauses, unreadable        tally.Counter
	endpointsLeaving, endpointsPaused tally.Gauge
}

// New returns a keeper.
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

// Answer is an endpoint's answer, as far as it says something of the endpoint.
type Answer struct {
	Incarnation fleet.Incarnation
	Slots       int       // requests that the endpoint works on at once
	Request     string    // id of the one that it answers
	Sent        time.Time // when the request was, by the daemon's clock
	Signals     protocol.Backpressure
	// Whole says that what is not said counts, too: the answer is the endpoint's own.
	Authoritative bool
}

// Heard takes what an endpoint says in an answer.
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

// pauses takes an endpoint's word that it wants a pause.
func (k *Controller) pauses(now time.Time, a Answer) {
	k.metrics.pauses.Inc(1)
	k.opt.Tracker.SetDaemons(k.opt.Daemons())
	if k.opt.Tracker.ObservePause(now, a.Incarnation, a.Signals.Pause.For, a.Slots) {
		in := k.opt.Tracker.Peek(now, a.Incarnation, backpressure.Request{}).OpensIn
		k.opt.Log.Info(decisions.EventEndpointPaused, "endpoint", a.Incarnation.ID, "born", a.Incarnation.StartUnixMs, "heard_on", a.Request, "asked_ms", a.Signals.Pause.For.Milliseconds(), "for_ms", in.Milliseconds())
	}
}

// leaves takes the word that an endpoint leaves, which some daemon has heard.
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

// noteUnreadable counts pauses that cannot be read and logs the first of each endpoint.
func (k *Controller) noteUnreadable(a Answer) {
	k.metrics.unreadable.Inc(1)
	if k.unreadable.First(a.Incarnation.ID) {
		k.opt.Log.Warn(decisions.EventPauseUnreadable, "endpoint", a.Incarnation.ID, "heard_on", a.Request, "value", a.Signals.Pause.Unreadable)
	}
}

// Look says whether a request might go to an endpoint now.
func (k *Controller) Peek(life fleet.Incarnation, a backpressure.Request) backpressure.Decision {
	return k.opt.Tracker.Peek(k.opt.Clock(), life, a)
}

// Settle waits until a daemon that has just started has read what must outlast it.
func (k *Controller) WaitSynced(ctx context.Context) { k.opt.Limits.WaitSynced(ctx) }

// Admit is the last question before a request is sent to an endpoint. One that is not closed to it
// may be asked; what the request takes of the endpoint's limit is the ticket.
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

// count counts a request that is held back.
func (k *Controller) count(d backpressure.Decision) backpressure.Decision {
	if c := k.metrics.held[d.Reason]; c != nil {
		c.Inc(1)
	}
	return d
}

// Return takes back what a request was admitted with that has not reached the endpoint.
func (k *Controller) Refund(t quotas.Ticket) { k.opt.Limits.Refund(t) }

// Turn returns the time until a request is taken by an endpoint, at this daemon's part of the
// limit that the endpoint names, or else at a rate in requests a second.
func (k *Controller) EstimateWait(life fleet.Incarnation, a backpressure.Request, rate float64) time.Duration {
	if _, limited := k.opt.Limits.Limit(life); limited {
		rate = k.opt.Limits.RateShare(life)
	}
	return k.opt.Tracker.EstimateWait(k.opt.Clock(), life, a, rate)
}

// Join lets a request wait in an endpoint's line. It must quit.
func (k *Controller) Enqueue(life fleet.Incarnation, a backpressure.Request) *backpressure.Waiter {
	return k.opt.Tracker.Enqueue(k.opt.Clock(), life, a)
}

// Quit ends the wait of a request; admitted says that it has come to its turn.
func (k *Controller) Dequeue(p *backpressure.Waiter, admitted bool) {
	k.opt.Tracker.Dequeue(p)
	if !admitted {
		k.opt.Limits.StopWaiting(p.Incarnation())
	}
}

// Promise notes that a caller was told to come back after a time.
func (k *Controller) ReserveRetry(life fleet.Incarnation, a backpressure.Request, in time.Duration) {
	k.opt.Tracker.ReserveRetry(k.opt.Clock(), life, a, in)
}

// Limited takes a limit that begins, changes or ends.
func (k *Controller) SetLimit(life fleet.Incarnation, w limit.Report) {
	k.opt.Tracker.SetLimit(k.opt.Clock(), life, w)
}

// keepEvery is the pause between two looks for endpoints that are gone.
const keepEvery = 5 * time.Second

// Run forgets endpoints that are gone until ctx ends.
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

// FactPrefix starts the keys of the facts that tell of endpoints that leave.
const FactPrefix = "leaving/"

const (
	// factStep rounds the versions of facts, so that those who hear the same endpoint at about
	// the same time tell the same fact, which spreads once.
	factStep = time.Minute
	// factLife is how long a fact is told to daemons that start.
	factLife = 10 * time.Minute
)

// fact is the value of a fact.
type fact struct {
	HeardBy string `json:"heard_by"`
}

func leavingFact(now time.Time, life fleet.Incarnation, heardBy string) membership.Entry {
	value, _ := json.Marshal(fact{heardBy}) // text always marshals
	return membership.Entry{Key: FactPrefix + life.String(), Version: uint64(now.Truncate(factStep).UnixMilli()), Value: value}
}

// StaleFact reports whether a fact tells of an endpoint that left long ago.
func StaleFact(now time.Time, f membership.Entry) bool {
	return strings.HasPrefix(f.Key, FactPrefix) && now.Sub(time.UnixMilli(int64(f.Version))) > factLife
}

// Fact takes an endpoint that leaves, as another daemon has heard.
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

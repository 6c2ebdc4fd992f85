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
	Book *backpressure.Book
	// Limits shares the rates that endpoints name.
	Limits *quotas.Endpoints
	// ReadyAt returns up to when an endpoint is known to be listed as not leaving; zero if it is
	// listed as leaving, or not at all.
	ReadyAt func(fleet.Incarnation) time.Time
	// Daemons returns how many daemons share the requests.
	Daemons func() int
	// Listed reports whether an endpoint is listed in some life.
	Listed func(fleet.Incarnation) bool
	// Leaving is told of each life that says it leaves, or of which another daemon tells it.
	Leaving func(fleet.Incarnation)
	// Tell offers a fact to all daemons.
	Tell    func(membership.Entry)
	Clock   clock.Clock // nil: the system's
	Log     *decisions.Log
	Metrics tally.Scope
}

// Keeper is safe for concurrent use.
type Keeper struct {
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
func New(opt Options) *Keeper {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	m := opt.Metrics.SubScope("throttle")
	held := map[backpressure.Reason]tally.Counter{}
	for _, r := range []backpressure.Reason{backpressure.Leaving, backpressure.Paused, backpressure.Limited} {
		held[r] = m.Tagged(map[string]string{"reason": string(r)}).Counter("requests_held_back_total")
	}
	return &Keeper{opt: opt, metrics: metrics{
		held: held, leaves: m.Counter("endpoints_leaving_heard_total"), pauses: m.Counter("pauses_heard_total"), unreadable: m.Counter("pauses_unreadable_total"),
		endpointsLeaving: m.Gauge("endpoints_leaving"), endpointsPaused: m.Gauge("endpoints_paused"),
	}}
}

// Answer is an endpoint's answer, as far as it says something of the endpoint.
type Answer struct {
	Life    fleet.Incarnation
	Slots   int       // requests that the endpoint works on at once
	Request string    // id of the one that it answers
	Sent    time.Time // when the request was, by the daemon's clock
	Says    protocol.Backpressure
	// Whole says that what is not said counts, too: the answer is the endpoint's own.
	Whole bool
}

// Heard takes what an endpoint says in an answer.
func (k *Keeper) Heard(a Answer) {
	if a.Whole || a.Says.Limit.Named {
		k.opt.Limits.Heard(a.Life, a.Sent, a.Says.Limit)
	}
	now := k.opt.Clock()
	if a.Says.Leaving {
		k.leaves(now, a.Life, k.opt.Self, a.Request)
	}
	if a.Says.Pause.Unreadable != "" {
		k.noteUnreadable(a)
	}
	switch {
	case a.Says.Pause.For > 0:
		k.pauses(now, a)
	case a.Whole && k.opt.Book.Answered(now, a.Sent, a.Life):
		k.opt.Log.Info(decisions.EventEndpointResumed, "endpoint", a.Life.ID, "heard_on", a.Request)
	}
}

// pauses takes an endpoint's word that it wants a pause.
func (k *Keeper) pauses(now time.Time, a Answer) {
	k.metrics.pauses.Inc(1)
	k.opt.Book.Share(k.opt.Daemons())
	if k.opt.Book.Pause(now, a.Life, a.Says.Pause.For, a.Slots) {
		in := k.opt.Book.Look(now, a.Life, backpressure.Ask{}).In
		k.opt.Log.Info(decisions.EventEndpointPauses, "endpoint", a.Life.ID, "born", a.Life.Born, "heard_on", a.Request, "asked_ms", a.Says.Pause.For.Milliseconds(), "for_ms", in.Milliseconds())
	}
}

// leaves takes the word that an endpoint leaves, which some daemon has heard.
func (k *Keeper) leaves(now time.Time, life fleet.Incarnation, heardBy, request string) {
	if k.opt.Book.Leaving(life) || !k.opt.Book.Leaves(now, life, k.opt.ReadyAt(life)) {
		return
	}
	k.metrics.leaves.Inc(1)
	k.opt.Log.Info(decisions.EventEndpointLeaves, "endpoint", life.ID, "born", life.Born, "heard_by", heardBy, "heard_on", request, "last_resort", k.opt.Book.Look(now, life, backpressure.Ask{}).LastResort)
	k.opt.Leaving(life)
	if heardBy == k.opt.Self {
		k.opt.Tell(leavingFact(now, life, heardBy))
	}
}

// noteUnreadable counts pauses that cannot be read and logs the first of each endpoint.
func (k *Keeper) noteUnreadable(a Answer) {
	k.metrics.unreadable.Inc(1)
	if k.unreadable.First(a.Life.ID) {
		k.opt.Log.Warn(decisions.EventPauseUnreadable, "endpoint", a.Life.ID, "heard_on", a.Request, "value", a.Says.Pause.Unreadable)
	}
}

// Look says whether a request might go to an endpoint now.
func (k *Keeper) Look(life fleet.Incarnation, a backpressure.Ask) backpressure.Decision {
	return k.opt.Book.Look(k.opt.Clock(), life, a)
}

// Settle waits until a daemon that has just started has read what must outlast it.
func (k *Keeper) Settle(ctx context.Context) { k.opt.Limits.Settle(ctx) }

// Admit is the last question before a request is sent to an endpoint. One that is not closed to it
// may be asked; what the request takes of the endpoint's limit is the ticket.
func (k *Keeper) Admit(ctx context.Context, life fleet.Incarnation, a backpressure.Ask) (quotas.Ticket, backpressure.Decision) {
	if d := k.Look(life, a); d.Closed() {
		return quotas.Ticket{}, k.count(d)
	}
	ticket, ok, roomIn := k.opt.Limits.Admit(ctx, life, a)
	if !ok {
		k.opt.Book.Full(k.opt.Clock(), life, roomIn)
		return quotas.Ticket{}, k.count(backpressure.Decision{Reason: backpressure.Limited, In: roomIn})
	}
	d := k.opt.Book.Admit(k.opt.Clock(), life, a)
	if d.Closed() {
		k.opt.Limits.Return(ticket)
		return quotas.Ticket{}, k.count(d)
	}
	return ticket, d
}

// count counts a request that is held back.
func (k *Keeper) count(d backpressure.Decision) backpressure.Decision {
	if c := k.metrics.held[d.Reason]; c != nil {
		c.Inc(1)
	}
	return d
}

// Return takes back what a request was admitted with that has not reached the endpoint.
func (k *Keeper) Return(t quotas.Ticket) { k.opt.Limits.Return(t) }

// Turn returns the time until a request is taken by an endpoint, at this daemon's part of the
// limit that the endpoint names, or else at a rate in requests a second.
func (k *Keeper) Turn(life fleet.Incarnation, a backpressure.Ask, rate float64) time.Duration {
	if _, limited := k.opt.Limits.Limit(life); limited {
		rate = k.opt.Limits.Part(life)
	}
	return k.opt.Book.Turn(k.opt.Clock(), life, a, rate)
}

// Join lets a request wait in an endpoint's line. It must quit.
func (k *Keeper) Join(life fleet.Incarnation, a backpressure.Ask) *backpressure.Place {
	return k.opt.Book.Join(k.opt.Clock(), life, a)
}

// Quit ends the wait of a request; admitted says that it has come to its turn.
func (k *Keeper) Quit(p *backpressure.Place, admitted bool) {
	k.opt.Book.Quit(p)
	if !admitted {
		k.opt.Limits.StopWaiting(p.Life())
	}
}

// Promise notes that a caller was told to come back after a time.
func (k *Keeper) Promise(life fleet.Incarnation, a backpressure.Ask, in time.Duration) {
	k.opt.Book.Promise(k.opt.Clock(), life, a, in)
}

// Limited takes a limit that begins, changes or ends.
func (k *Keeper) Limited(life fleet.Incarnation, w limit.Word) {
	k.opt.Book.Limit(k.opt.Clock(), life, w)
}

// keepEvery is the pause between two looks for endpoints that are gone.
const keepEvery = 5 * time.Second

// Run forgets endpoints that are gone until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := k.opt.Clock()
		k.opt.Book.Keep(now, k.opt.Listed)
		leaving, paused := k.opt.Book.Counts(now)
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
func (k *Keeper) Fact(f membership.Entry) {
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

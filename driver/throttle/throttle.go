// Package throttle applies the backpressure signals that endpoints send in their answers: that they
// leave, that they want a pause, or that they accept a limited rate of requests. Both interfaces
// for callers consult it for each request before sending it. It drives coordination/backpressure,
// and publishes to the other daemons what holds for all of them.
package throttle

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
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
	// Slots returns how many requests an endpoint works on at once; zero if it is not listed.
	Slots func(fleet.Incarnation) int
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

	mu        sync.Mutex
	published map[string]publishedFact // the latest known facts about rejection limits, by key

	unreadable decisions.Once // endpoints for which an unreadable pause was logged
}

type metrics struct {
	held                              map[backpressure.Reason]tally.Counter
	leaves, pauses, unreadable        tally.Counter
	rejections                        tally.Counter
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
	return &Controller{opt: opt, published: map[string]publishedFact{}, metrics: metrics{
		rejections: m.Counter("rejections_heard_total"),
		held:       held, leaves: m.Counter("endpoints_leaving_heard_total"), pauses: m.Counter("pauses_heard_total"), unreadable: m.Counter("pauses_unreadable_total"),
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
	// Rejected is set if the endpoint has rejected the request for lack of room.
	Rejected bool
}

// ObserveAnswer processes the signals of an answer.
func (c *Controller) ObserveAnswer(a Answer) {
	if a.Authoritative || a.Signals.Limit.Present {
		c.opt.Limits.ObserveReport(a.Incarnation, a.Sent, a.Signals.Limit)
	}
	now := c.opt.Clock()
	if a.Signals.Leaving {
		c.setLeaving(now, a.Incarnation, c.opt.Self, a.Request)
	}
	c.observeRejectionLimit(now, a)
	if a.Signals.Pause.Unreadable != "" {
		c.countUnreadable(a)
	}
	switch {
	case a.Signals.Pause.For > 0:
		c.observePause(now, a)
	case a.Authoritative && c.opt.Tracker.ObserveAnswer(now, a.Sent, a.Incarnation):
		c.opt.Log.Info(decisions.EventEndpointResumed, "endpoint", a.Incarnation.ID, "heard_on", a.Request)
	}
}

// observeRejectionLimit processes the rejection limit of an answer, and a rejection that counts
// against it.
func (c *Controller) observeRejectionLimit(now time.Time, a Answer) {
	l := a.Signals.Rejections
	if l.Present || a.Authoritative {
		c.setRejectionLimit(now, a.Sent, a.Incarnation, l, a.Slots)
	}
	if l.Present {
		c.publishRejectionLimit(now, a.Incarnation, l.PerSecond)
	}
	if a.Rejected && c.opt.Tracker.ObserveRejection(now, a.Incarnation) {
		c.metrics.rejections.Inc(1)
		c.opt.Log.Info(decisions.EventEndpointRejects, "endpoint", a.Incarnation.ID, "born", a.Incarnation.StartUnixMs, "heard_on", a.Request, "for_ms", c.opt.Tracker.Peek(now, a.Incarnation, backpressure.Request{}).OpensIn.Milliseconds())
	}
}

func (c *Controller) setRejectionLimit(now, heardAt time.Time, inc fleet.Incarnation, l protocol.RejectionLimit, slots int) {
	c.opt.Tracker.SetDaemons(c.opt.Daemons())
	if c.opt.Tracker.SetRejectionLimit(now, heardAt, inc, l, slots) {
		c.opt.Log.Info(decisions.EventRejectionLimit, "endpoint", inc.ID, "born", inc.StartUnixMs, "limited", l.Present, "per_second", l.PerSecond, "unreadable", l.Unreadable)
	}
}

// publishRejectionLimit tells the other daemons of a rejection limit, once in each rejectionFactStep.
func (c *Controller) publishRejectionLimit(now time.Time, inc fleet.Incarnation, perSecond int) {
	f := rejectionFact(now, inc, perSecond)
	c.mu.Lock()
	last, known := c.published[f.Key]
	publish := !known || now.Sub(last.knownAt) >= rejectionFactStep
	if publish {
		f.Version = max(f.Version, last.version+1) // the last one may be of a daemon whose clock is ahead
		c.published[f.Key] = publishedFact{f.Version, now}
	}
	c.mu.Unlock()
	if publish {
		c.opt.Publish(f)
	}
}

// observePause processes an endpoint's request for a pause.
func (c *Controller) observePause(now time.Time, a Answer) {
	c.metrics.pauses.Inc(1)
	c.opt.Tracker.SetDaemons(c.opt.Daemons())
	if c.opt.Tracker.ObservePause(now, a.Incarnation, a.Signals.Pause.For, a.Slots) {
		opensIn := c.opt.Tracker.Peek(now, a.Incarnation, backpressure.Request{}).OpensIn
		c.opt.Log.Info(decisions.EventEndpointPaused, "endpoint", a.Incarnation.ID, "born", a.Incarnation.StartUnixMs, "heard_on", a.Request, "asked_ms", a.Signals.Pause.For.Milliseconds(), "for_ms", opensIn.Milliseconds())
	}
}

// setLeaving processes the report that an endpoint leaves. reporter is the daemon that received the
// report from the endpoint.
func (c *Controller) setLeaving(now time.Time, inc fleet.Incarnation, reporter, request string) {
	if c.opt.Tracker.IsLeaving(inc) || !c.opt.Tracker.SetLeaving(now, inc, c.opt.LastReady(inc)) {
		return
	}
	c.metrics.leaves.Inc(1)
	c.opt.Log.Info(decisions.EventEndpointLeaving, "endpoint", inc.ID, "born", inc.StartUnixMs, "heard_by", reporter, "heard_on", request, "last_resort", c.opt.Tracker.Peek(now, inc, backpressure.Request{}).LastResort)
	c.opt.OnLeaving(inc)
	if reporter == c.opt.Self {
		c.opt.Publish(leavingFact(now, inc, reporter))
	}
}

// countUnreadable counts unreadable pauses and logs the first of each endpoint.
func (c *Controller) countUnreadable(a Answer) {
	c.metrics.unreadable.Inc(1)
	if c.unreadable.First(a.Incarnation.ID) {
		c.opt.Log.Warn(decisions.EventPauseUnreadable, "endpoint", a.Incarnation.ID, "heard_on", a.Request, "value", a.Signals.Pause.Unreadable)
	}
}

// Peek decides whether a request could go to an endpoint now, without admitting it.
func (c *Controller) Peek(inc fleet.Incarnation, r backpressure.Request) backpressure.Decision {
	return c.opt.Tracker.Peek(c.opt.Clock(), inc, r)
}

// WaitSynced waits until a newly started daemon has read the stored limits, or has failed to.
func (c *Controller) WaitSynced(ctx context.Context) { c.opt.Limits.WaitSynced(ctx) }

// Admit decides on a request immediately before it is sent. The request may go to the endpoint if
// the decision is not Closed. The ticket holds what the request takes of the endpoint's limit.
func (c *Controller) Admit(ctx context.Context, inc fleet.Incarnation, r backpressure.Request) (quotas.Ticket, backpressure.Decision) {
	if d := c.Peek(inc, r); d.Closed() {
		return quotas.Ticket{}, c.count(d)
	}
	ticket, ok, opensIn := c.opt.Limits.Admit(ctx, inc, r)
	if !ok {
		c.opt.Tracker.CloseFor(c.opt.Clock(), inc, opensIn)
		return quotas.Ticket{}, c.count(backpressure.Decision{Reason: backpressure.Limited, OpensIn: opensIn})
	}
	d := c.opt.Tracker.Admit(c.opt.Clock(), inc, r)
	if d.Closed() {
		c.opt.Limits.Refund(ticket)
		return quotas.Ticket{}, c.count(d)
	}
	return ticket, d
}

// count counts a request that is held back, by reason.
func (c *Controller) count(d backpressure.Decision) backpressure.Decision {
	if counter := c.metrics.held[d.Reason]; counter != nil {
		counter.Inc(1)
	}
	return d
}

// Answered records that an endpoint has not rejected a request whose decision was Counted.
func (c *Controller) Answered(inc fleet.Incarnation) { c.opt.Tracker.Answered(inc) }

// Ended records the end of a request whose decision was Counted; answered reports whether Answered was
// called for it.
func (c *Controller) Ended(inc fleet.Incarnation, answered bool) { c.opt.Tracker.Ended(inc, answered) }

// Refund gives back what a request was admitted with that has not reached the endpoint.
func (c *Controller) Refund(t quotas.Ticket) { c.opt.Limits.Refund(t) }

// EstimateWait returns the time until an endpoint takes a request: at this daemon's share of the
// limit that the endpoint reports, otherwise at the given rate in requests a second.
func (c *Controller) EstimateWait(inc fleet.Incarnation, r backpressure.Request, rate float64) time.Duration {
	if _, limited := c.opt.Limits.Limit(inc); limited {
		rate = c.opt.Limits.RateShare(inc)
	}
	return c.opt.Tracker.EstimateWait(c.opt.Clock(), inc, r, rate)
}

// Enqueue adds a request to the queue of an endpoint. The caller must call Dequeue.
func (c *Controller) Enqueue(inc fleet.Incarnation, r backpressure.Request) *backpressure.Waiter {
	return c.opt.Tracker.Enqueue(c.opt.Clock(), inc, r)
}

// Dequeue removes a request from its queue. admitted means that the request was admitted.
func (c *Controller) Dequeue(w *backpressure.Waiter, admitted bool) {
	c.opt.Tracker.Dequeue(w)
	if !admitted {
		c.opt.Limits.StopWaiting(w.Incarnation())
	}
}

// ReserveRetry records that a caller was told to retry after a time.
func (c *Controller) ReserveRetry(inc fleet.Incarnation, r backpressure.Request, in time.Duration) {
	c.opt.Tracker.ReserveRetry(c.opt.Clock(), inc, r, in)
}

// SetLimit processes a limit that begins, changes or ends.
func (c *Controller) SetLimit(inc fleet.Incarnation, r limit.Report) {
	c.opt.Tracker.SetLimit(c.opt.Clock(), inc, r)
}

// pruneEvery is the time between two prunings of removed endpoints.
const pruneEvery = 5 * time.Second

// Run prunes removed endpoints and updates the gauges until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := c.opt.Clock()
		c.opt.Tracker.Prune(now, c.opt.Listed)
		c.prunePublished(now)
		leaving, paused := c.opt.Tracker.Counts(now)
		c.metrics.endpointsLeaving.Update(float64(leaving))
		c.metrics.endpointsPaused.Update(float64(paused))
		pause.For(ctx, pruneEvery)
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
	factLifetime = 10 * time.Minute
)

// fact is the encoded value of a fact.
type fact struct {
	Reporter string `json:"heard_by"`
}

func leavingFact(now time.Time, inc fleet.Incarnation, reporter string) membership.Entry {
	value, _ := json.Marshal(fact{reporter}) // strings always marshal
	return membership.Entry{Key: FactPrefix + inc.String(), Version: uint64(now.Truncate(factStep).UnixMilli()), Value: value}
}

// StaleFact reports whether a fact is about an endpoint that reported leaving more than
// factLifetime ago.
func StaleFact(now time.Time, f membership.Entry) bool {
	if strings.HasPrefix(f.Key, RejectionFactPrefix) {
		return now.Sub(time.UnixMilli(int64(f.Version))) > rejectionFactLifetime+maxClockError
	}
	return strings.HasPrefix(f.Key, FactPrefix) && now.Sub(time.UnixMilli(int64(f.Version))) > factLifetime
}

// ReceiveFact processes a fact about an endpoint, as received by another daemon.
func (c *Controller) ReceiveFact(f membership.Entry) {
	c.ReceiveRejectionLimit(f)
	subject, ok := strings.CutPrefix(f.Key, FactPrefix)
	if !ok {
		return
	}
	inc, err := fleet.ParseIncarnation(subject)
	var value fact
	if err == nil {
		err = json.Unmarshal(f.Value, &value)
	}
	if err != nil {
		c.opt.Log.Warn(decisions.EventFactUnreadable, "key", f.Key, "error", err)
		return
	}
	c.setLeaving(c.opt.Clock(), inc, value.Reporter, "")
}

package quotas

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// FactPrefix starts the keys of the facts that publish limits of endpoints.
	FactPrefix = "limit/"
	// maxPublishedPerSecond bounds the limits that this daemon publishes in a second: gossip
	// sends each of them to every daemon several times. Owners learn of limits beyond it from
	// the draws, which carry them.
	maxPublishedPerSecond = 20
	// isolatedRetry is the pause before a daemon that reaches no owner draws again.
	isolatedRetry = 200 * time.Millisecond
)

// Endpoints enforces the rate limits that endpoints report. While no endpoint has a limit, a request
// costs one atomic read. Endpoints is safe for concurrent use.
type Endpoints struct {
	opt     *Options
	metrics *metrics
	shared  *sharer
	limited atomic.Pointer[map[fleet.Incarnation]limit.Report]

	synced       chan struct{} // closed when the record has been read, or the time to read it is over
	limitChanged chan struct{} // receives a value when a limit has begun, changed or ended, or a request waits for the record
	// record, recorded, the rates that it holds, and informed, whether it has been read, are used only by Run.
	record   record.Record
	recorded map[fleet.Incarnation]float64
	informed bool

	mu            sync.Mutex
	tracker       *limit.Tracker
	waitingSince  time.Time      // when the first request waited for the record; zero: none has
	publishSecond time.Time      // start of the current second, for maxPublishedPerSecond
	publishCount  int            // limits counted in that second, including those beyond the bound
	unreadable    decisions.Once // endpoints whose limits were logged as unreadable
}

func newEndpoints(k *Controller) *Endpoints {
	e := &Endpoints{opt: &k.opt, metrics: &k.metrics, tracker: limit.New(k.opt.Self), synced: make(chan struct{}), limitChanged: make(chan struct{}, 1), record: record.New(k.opt.Store, k.opt.Generations, recordName)}
	e.shared = newSharer(k, quotapb.Kind_ENDPOINT, "limit", limit.Bounds)
	e.shared.latestLimits, e.shared.isolatedGrant = e.latestLimits, e.isolatedGrant
	e.limited.Store(&map[fleet.Incarnation]limit.Report{})
	return e
}

// Limit returns the limit that an endpoint has reported for requests of all daemons, and whether
// there is one.
func (e *Endpoints) Limit(incarnation fleet.Incarnation) (limit.Report, bool) {
	report, ok := (*e.limited.Load())[incarnation]
	return report, ok
}

// Limited returns the limits that are in force. The map must not be changed.
func (e *Endpoints) Limited() map[fleet.Incarnation]limit.Report { return *e.limited.Load() }

// Admit counts a request against the limit of the endpoint that it is about to be sent to. If the
// limit leaves no room, ok is false and retryAfter is the time until there is room.
func (e *Endpoints) Admit(ctx context.Context, incarnation fleet.Incarnation, req backpressure.Request) (t Ticket, ok bool, retryAfter time.Duration) {
	report, limited := e.Limit(incarnation)
	if !limited {
		return Ticket{}, true, 0
	}
	subject := incarnation.String()
	if e.shared.take(ctx, claim{subject: subject, limits: report.Limits(), version: report.Version, cost: oneRequest, rank: req.Rank, queued: req.Waiter != nil, timeLeft: max(0, req.Deadline.Sub(e.opt.Clock()))}) {
		return Ticket{subject: subject, cost: oneRequest, at: e.opt.Clock()}, true, 0
	}
	e.metrics.heldBack.Inc(1)
	return Ticket{}, false, max(e.shared.retryAfter(subject), minRetryAfter)
}

// StopWaiting notifies the owner of an endpoint's limit that a request which was held back will not
// ask again.
func (e *Endpoints) StopWaiting(incarnation fleet.Incarnation) {
	if report, limited := e.Limit(incarnation); limited {
		e.shared.stopWaiting(claim{subject: incarnation.String(), limits: report.Limits(), version: report.Version})
	}
}

// oneRequest is the cost of a request: limits of endpoints count requests.
const oneRequest = 1

// minRetryAfter is the minimum time for which this daemon sends no requests to an endpoint without
// room.
const minRetryAfter = 20 * time.Millisecond

// RateShare returns the part of an endpoint's limit that this daemon may count on, in requests a
// second; zero if no owner has granted one.
func (e *Endpoints) RateShare(incarnation fleet.Incarnation) float64 {
	return e.shared.rateShare(incarnation.String())
}

// Refund takes back the ticket of an admitted request that has not reached the endpoint.
func (e *Endpoints) Refund(t Ticket) { e.shared.refund(t) }

// ObserveReport processes the rate limit of an endpoint's answer to a request that was sent at the
// given time. An answer without a limit ends the endpoint's limit. Answers to requests that were sent
// before the last report arrived are ignored.
func (e *Endpoints) ObserveReport(incarnation fleet.Incarnation, sent time.Time, reported protocol.RateLimit) {
	if reported.Unreadable != "" {
		e.noteUnreadable(incarnation, reported)
	}
	if _, limited := e.Limit(incarnation); !limited && !reported.Present {
		return
	}
	now := e.opt.Clock()
	e.mu.Lock()
	c, changed := e.tracker.ObserveReport(now, sent, incarnation, reported.Rate, reported.Present)
	publish := changed && c.Publish && e.allowPublish(now)
	if changed {
		e.updateLimited()
	}
	e.mu.Unlock()
	if !changed {
		return
	}
	if publish {
		e.opt.Publish(factOf(c))
	}
	e.notifyChange(now, c)
}

// allowPublish counts a limit that is about to be published, and reports whether it may be by
// maxPublishedPerSecond. The caller holds the mutex.
func (e *Endpoints) allowPublish(now time.Time) bool {
	if now.Sub(e.publishSecond) >= time.Second {
		e.publishSecond, e.publishCount = now, 0
	}
	e.publishCount++
	return e.publishCount <= maxPublishedPerSecond
}

// updateLimited makes the current limits visible to requests. The caller holds the mutex.
func (e *Endpoints) updateLimited() {
	limited := e.tracker.Limited()
	e.limited.Store(&limited)
	e.metrics.limited.Update(float64(len(limited)))
}

// notifyChange passes a changed limit to OnLimitChange and to Run, and logs it.
func (e *Endpoints) notifyChange(now time.Time, c limit.Change) {
	if c.Before.Limited == c.Now.Limited && c.Before.Rate == c.Now.Rate {
		return
	}
	e.opt.OnLimitChange(c.Incarnation, c.Now)
	wake.Once(e.limitChanged)
	if c.Before.Limited != c.Now.Limited || c.Publish {
		e.opt.Log.Info(decisions.EventEndpointLimit, "endpoint", c.Incarnation.ID, "born", c.Incarnation.StartUnixMs, "limited", c.Now.Limited, "rate", c.Now.Rate, "before", c.Before.Rate, "heard_by", c.Now.Reporter, "age_ms", now.UnixMilli()-int64(c.Now.Version))
	}
}

// noteUnreadable counts limits that are not numbers and logs the first one of each endpoint.
func (e *Endpoints) noteUnreadable(incarnation fleet.Incarnation, reported protocol.RateLimit) {
	e.metrics.unreadable.Inc(1)
	if e.unreadable.First(incarnation.ID) {
		e.opt.Log.Warn(decisions.EventLimitUnreadable, "endpoint", incarnation.ID, "value", reported.Unreadable)
	}
}

// StaleFact reports whether a fact is a limit that was reported too long ago to be kept.
func StaleFact(now time.Time, f membership.Entry) bool {
	return strings.HasPrefix(f.Key, FactPrefix) && limit.Stale(now, f.Version)
}

// ReceiveFact takes a limit that another daemon has published. It ignores facts of other kinds.
func (e *Endpoints) ReceiveFact(f membership.Entry) {
	if !strings.HasPrefix(f.Key, FactPrefix) {
		return
	}
	incarnation, report, err := parseFact(f)
	if err != nil {
		e.opt.Log.Warn(decisions.EventLimitUnreadable, "key", f.Key, "error", err)
		return
	}
	e.receiveReport(incarnation, report)
}

// receiveReport takes a report of an endpoint's limit from another daemon or from the record.
func (e *Endpoints) receiveReport(incarnation fleet.Incarnation, report limit.Report) {
	now := e.opt.Clock()
	e.mu.Lock()
	c, changed := e.tracker.ReceiveReport(now, incarnation, report)
	e.updateLimited()
	e.mu.Unlock()
	if changed {
		c.Publish = true // the other daemon published it, so it is logged here too
		e.notifyChange(now, c)
	}
}

// maintain publishes pending limits, and drops the limits of endpoints that are not listed any
// more.
func (e *Endpoints) maintain() {
	now := e.opt.Clock()
	e.mu.Lock()
	var pending []limit.Change
	for _, c := range e.tracker.TakePending(now) {
		if e.allowPublish(now) {
			pending = append(pending, c)
		}
	}
	dropped := e.tracker.Prune(now, e.opt.Listed)
	if len(dropped) > 0 {
		e.updateLimited()
	}
	e.mu.Unlock()
	for _, c := range pending {
		e.opt.Publish(factOf(c))
	}
	for _, c := range dropped {
		e.notifyChange(now, c)
	}
}

// any reports whether a limit is in force.
func (e *Endpoints) any() bool { return len(*e.limited.Load()) > 0 }

// latestLimits implements sharer.latestLimits: the version is that of the endpoint's report. Newer
// limits than this daemon's are taken over.
func (e *Endpoints) latestLimits(subject string, version uint64, received quota.Limits) (limits quota.Limits, none bool) {
	incarnation, err := fleet.ParseIncarnation(subject)
	if err != nil {
		return received, false
	}
	e.mu.Lock()
	report, known := e.tracker.Latest(incarnation)
	e.mu.Unlock()
	if known && report.Version >= version {
		return report.Limits(), !report.Limited
	}
	e.receiveReport(incarnation, limit.Report{Rate: received.Rate, Limited: true, Version: version})
	return received, false
}

// isolatedGrant implements sharer.isolatedGrant: a daemon that reaches no owner admits nothing. A
// limit may be less than one request per daemon in many seconds, so no daemon can be given a share
// of its own.
func (e *Endpoints) isolatedGrant(time.Time, quota.Draw) quota.Grant {
	return quota.Grant{NearLimit: true, NextDrawIn: isolatedRetry, RetryAfter: isolatedRetry}
}

// Views returns the limits in force, for the state dump.
func (e *Endpoints) Views() []LimitView {
	list := []LimitView{}
	for incarnation, report := range *e.limited.Load() {
		v := LimitView{Endpoint: incarnation.ID, Rate: report.Rate, Reporter: report.Reporter}
		if owned, ok := e.shared.view(incarnation.String()); ok {
			v.Owned = &owned
		}
		list = append(list, v)
	}
	return list
}

// LimitView is the limit of an endpoint as one daemon holds it, for the state dump.
type LimitView struct {
	Endpoint string  `json:"endpoint"`
	Rate     float64 `json:"rate"`     // requests a second
	Reporter string  `json:"heard_by"` // daemon that received the limit from the endpoint
	// Owned is the state of the bucket if this daemon owns it; else nil.
	Owned *quota.View `json:"owned,omitempty"`
}

// fact is the value of a membership entry that publishes a limit.
type fact struct {
	Rate    float64 `json:"rate"`
	Limited bool    `json:"limited"`
	By      string  `json:"by"` // daemon that received the limit from the endpoint
}

func factOf(c limit.Change) membership.Entry {
	value, _ := json.Marshal(fact{c.Now.Rate, c.Now.Limited, c.Now.Reporter}) // rates are finite
	return membership.Entry{Key: FactPrefix + c.Incarnation.String(), Version: c.Now.Version, Value: value}
}

func parseFact(f membership.Entry) (fleet.Incarnation, limit.Report, error) {
	incarnation, err := fleet.ParseIncarnation(strings.TrimPrefix(f.Key, FactPrefix))
	if err != nil {
		return incarnation, limit.Report{}, err
	}
	var reported fact
	if err := json.Unmarshal(f.Value, &reported); err != nil {
		return incarnation, limit.Report{}, err
	}
	return incarnation, limit.Report{Rate: max(0, reported.Rate), Limited: reported.Limited, Version: f.Version, Reporter: reported.By}, nil
}

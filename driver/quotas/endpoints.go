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
	// FactPrefix starts the keys of the facts that tell endpoints' limits.
	FactPrefix = "limit/"
	// tellMost bounds the limits that this daemon tells all others in a second: each is told
	// to every daemon some times. Beyond it the owners still know, by the draws.
	tellMost = 20
	// unreachedPause is the pause before a daemon that reaches no owner asks again.
	unreachedPause = 200 * time.Millisecond
)

// Endpoints keeps to the limits that endpoints name. While none does, a request costs a read.
// It is safe for concurrent use.
type Endpoints struct {
	opt     *Options
	metrics *metrics
	shared  *sharer
	limited atomic.Pointer[map[fleet.Incarnation]limit.Report]

	settled chan struct{} // closed when the record has been read, or could not be
	news    chan struct{} // limits have begun or ended
	// Only Run uses the record, and what it holds.
	record   record.Record
	recorded map[fleet.Incarnation]float64

	mu         sync.Mutex
	book       *limit.Tracker
	toldFrom   time.Time      // when the present second of telling began
	told       int            // limits in it
	unreadable decisions.Once // endpoints whose limits were logged as unreadable
}

func newEndpoints(k *Controller) *Endpoints {
	e := &Endpoints{opt: &k.opt, metrics: &k.metrics, book: limit.New(k.opt.Self), settled: make(chan struct{}), news: make(chan struct{}, 1), record: record.New(k.opt.Store, k.opt.Generations, recordName)}
	e.shared = newSharer(k, quotapb.Kind_ENDPOINT, "limit", limit.Bounds)
	e.shared.newest, e.shared.unreached = e.newest, e.unreached
	e.limited.Store(&map[fleet.Incarnation]limit.Report{})
	return e
}

// Limit returns what an endpoint takes from all daemons, if it names a limit.
func (e *Endpoints) Limit(life fleet.Incarnation) (limit.Report, bool) {
	w, ok := (*e.limited.Load())[life]
	return w, ok
}

// Limited returns all limits that endpoints name now. It must not be changed.
func (e *Endpoints) Limited() map[fleet.Incarnation]limit.Report { return *e.limited.Load() }

// Admit counts a request for the endpoint that it is about to be sent to. If the endpoint has no
// room within its limit, it returns the time until it has.
func (e *Endpoints) Admit(ctx context.Context, life fleet.Incarnation, a backpressure.Request) (t Ticket, ok bool, roomIn time.Duration) {
	w, limited := e.Limit(life)
	if !limited {
		return Ticket{}, true, 0
	}
	subject := life.String()
	if e.shared.take(ctx, claim{subject: subject, limits: w.Limits(), version: w.Version, cost: oneRequest, rank: a.Rank, waits: a.Waiter != nil, timeLeft: max(0, a.Deadline.Sub(e.opt.Clock()))}) {
		return Ticket{subject, oneRequest, e.opt.Clock()}, true, 0
	}
	e.metrics.heldBack.Inc(1)
	return Ticket{}, false, max(e.shared.roomIn(subject), roomLeast)
}

// StopWaiting takes a request out that was held back and will not ask again.
func (e *Endpoints) StopWaiting(life fleet.Incarnation) {
	if w, limited := e.Limit(life); limited {
		e.shared.stopWaiting(claim{subject: life.String(), limits: w.Limits(), version: w.Version})
	}
}

// oneRequest is what a request takes of a limit, which counts requests.
const oneRequest = 1

// roomLeast is the least time for which an endpoint without room gets no requests of this
// daemon.
const roomLeast = 20 * time.Millisecond

// Part returns the part of an endpoint's limit, in requests a second, that this daemon may count
// on; zero where nobody has said.
func (e *Endpoints) RateShare(life fleet.Incarnation) float64 { return e.shared.part(life.String()) }

// Return takes back what a request was let through with that has not reached the endpoint.
func (e *Endpoints) Refund(t Ticket) { e.shared.giveBack(t) }

// Heard takes what an answer says to a request that was sent at some time.
func (e *Endpoints) ObserveReport(life fleet.Incarnation, sent time.Time, said protocol.RateLimit) {
	if said.Unreadable != "" {
		e.noteUnreadable(life, said)
	}
	if _, limited := e.Limit(life); !limited && !said.Present {
		return
	}
	now := e.opt.Clock()
	e.mu.Lock()
	c, changed := e.book.ObserveReport(now, sent, life, said.Rate, said.Present)
	tell := changed && c.Publish && e.mayTell(now)
	if changed {
		e.publish()
	}
	e.mu.Unlock()
	if !changed {
		return
	}
	if tell {
		e.opt.Publish(factOf(c))
	}
	e.changed(now, c)
}

// mayTell counts a limit that is told to all others; the caller holds the mutex.
func (e *Endpoints) mayTell(now time.Time) bool {
	if now.Sub(e.toldFrom) >= time.Second {
		e.toldFrom, e.told = now, 0
	}
	e.told++
	return e.told <= tellMost
}

// publish makes the present limits visible to requests; the caller holds the mutex.
func (e *Endpoints) publish() {
	limited := e.book.Limited()
	e.limited.Store(&limited)
	e.metrics.limited.Update(float64(len(limited)))
}

// changed tells the rest of the daemon, and the log, of a limit.
func (e *Endpoints) changed(now time.Time, c limit.Change) {
	if c.Before.Limited == c.Now.Limited && c.Before.Rate == c.Now.Rate {
		return
	}
	e.opt.OnLimitChange(c.Incarnation, c.Now)
	wake.Once(e.news)
	if c.Before.Limited != c.Now.Limited || c.Publish {
		e.opt.Log.Info(decisions.EventEndpointLimit, "endpoint", c.Incarnation.ID, "born", c.Incarnation.StartUnixMs, "limited", c.Now.Limited, "rate", c.Now.Rate, "before", c.Before.Rate, "heard_by", c.Now.Reporter, "age_ms", now.UnixMilli()-int64(c.Now.Version))
	}
}

// noteUnreadable counts limits that are no numbers and logs the first of each endpoint.
func (e *Endpoints) noteUnreadable(life fleet.Incarnation, said protocol.RateLimit) {
	e.metrics.unreadable.Inc(1)
	if e.unreadable.First(life.ID) {
		e.opt.Log.Warn(decisions.EventLimitUnreadable, "endpoint", life.ID, "value", said.Unreadable)
	}
}

// StaleFact reports whether a fact is a limit that was told too long ago to be kept.
func StaleFact(now time.Time, f membership.Entry) bool {
	return strings.HasPrefix(f.Key, FactPrefix) && limit.Stale(now, f.Version)
}

// Fact takes a limit that another daemon tells.
func (e *Endpoints) ReceiveFact(f membership.Entry) {
	if !strings.HasPrefix(f.Key, FactPrefix) {
		return
	}
	life, word, err := readFact(f)
	if err != nil {
		e.opt.Log.Warn(decisions.EventLimitUnreadable, "key", f.Key, "error", err)
		return
	}
	e.learn(life, word)
}

func (e *Endpoints) learn(life fleet.Incarnation, word limit.Report) {
	now := e.opt.Clock()
	e.mu.Lock()
	c, changed := e.book.ReceiveReport(now, life, word)
	e.publish()
	e.mu.Unlock()
	if changed {
		c.Publish = true // the other daemon has thought it worth a word
		e.changed(now, c)
	}
}

// keep tells what was not told when it came, and forgets endpoints that are gone.
func (e *Endpoints) keep() {
	now := e.opt.Clock()
	e.mu.Lock()
	var untold []limit.Change
	for _, c := range e.book.TakePending(now) {
		if e.mayTell(now) {
			untold = append(untold, c)
		}
	}
	dropped := e.book.Prune(now, e.opt.Listed)
	if len(dropped) > 0 {
		e.publish()
	}
	e.mu.Unlock()
	for _, c := range untold {
		e.opt.Publish(factOf(c))
	}
	for _, c := range dropped {
		e.changed(now, c)
	}
}

// any reports whether an endpoint names a limit.
func (e *Endpoints) any() bool { return len(*e.limited.Load()) > 0 }

// newest returns the limits of the newer word on an endpoint.
func (e *Endpoints) newest(subject string, version uint64, told quota.Limits) (limits quota.Limits, none bool) {
	life, err := fleet.ParseIncarnation(subject)
	if err != nil {
		return told, false
	}
	e.mu.Lock()
	w, known := e.book.Latest(life)
	e.mu.Unlock()
	if known && w.Version >= version {
		return w.Limits(), !w.Limited
	}
	e.learn(life, limit.Report{Rate: told.Rate, Limited: true, Version: version})
	return told, false
}

// unreached is what a daemon that reaches no owner goes by: nothing. A limit may be less than a
// request a daemon in many seconds, so that no part of it can be anybody's own.
func (e *Endpoints) unreached(time.Time, quota.Draw) quota.Grant {
	return quota.Grant{NearLimit: true, NextDrawIn: unreachedPause, RetryAfter: unreachedPause}
}

// Views returns the endpoints that name a limit, for people.
func (e *Endpoints) Views() []LimitView {
	list := []LimitView{}
	for life, w := range *e.limited.Load() {
		v := LimitView{Endpoint: life.ID, Rate: w.Rate, Reporter: w.Reporter}
		if owned, ok := e.shared.view(life.String()); ok {
			v.Owned = &owned
		}
		list = append(list, v)
	}
	return list
}

// LimitView is what one daemon knows of an endpoint's limit, for people.
type LimitView struct {
	Endpoint string  `json:"endpoint"`
	Rate     float64 `json:"rate"` // requests a second
	Reporter string  `json:"heard_by"`
	// Owned is there where this daemon gives the limit out.
	Owned *quota.View `json:"owned,omitempty"`
}

// fact is the value of a fact that tells a limit.
type fact struct {
	Rate    float64 `json:"rate"`
	Limited bool    `json:"limited"`
	By      string  `json:"by"`
}

func factOf(c limit.Change) membership.Entry {
	value, _ := json.Marshal(fact{c.Now.Rate, c.Now.Limited, c.Now.Reporter}) // rates are finite
	return membership.Entry{Key: FactPrefix + c.Incarnation.String(), Version: c.Now.Version, Value: value}
}

func readFact(f membership.Entry) (fleet.Incarnation, limit.Report, error) {
	life, err := fleet.ParseIncarnation(strings.TrimPrefix(f.Key, FactPrefix))
	if err != nil {
		return life, limit.Report{}, err
	}
	var said fact
	if err := json.Unmarshal(f.Value, &said); err != nil {
		return life, limit.Report{}, err
	}
	return life, limit.Report{Rate: max(0, said.Rate), Limited: said.Limited, Version: f.Version, Reporter: said.By}, nil
}

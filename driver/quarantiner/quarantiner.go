// Package quarantiner drives coordination/quarantine, which holds the records of requests during
// which endpoints crash. It finds out whether an endpoint has crashed when a connection breaks,
// exchanges records with the other daemons, and decides whether a request may be sent.
package quarantiner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/ending"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// tick is the interval of checks while endpoints are watched.
	tick = 50 * time.Millisecond
	// fanout is the number of daemons to which a daemon sends new records; each of them does the
	// same. With 3, one daemon in twenty is missed and receives the records with the next
	// comparison.
	fanout = 3
	// sendEvery is the least time between two rounds of new records: an endpoint with slots for
	// many daemons crashes for all of them at once.
	sendEvery = 50 * time.Millisecond
	// compareSoon is the interval of comparisons with another daemon for spreadFor after the latest
	// change, and compareLater is the interval while there are any records.
	compareSoon  = 500 * time.Millisecond
	compareLater = 5 * time.Second
	spreadFor    = 5 * time.Second
	// callTimeout bounds a call to another daemon, which answers from memory.
	callTimeout = 300 * time.Millisecond
	// syncWithin bounds the time after a start in which a daemon that has found no other daemon to
	// ask keeps requests waiting. Reading the first desired state takes as long, so a start of all
	// daemons at once is not delayed by it.
	syncWithin = 500 * time.Millisecond
	// joinTime is how long a daemon that knows no other one waits for the membership before it reads the
	// record: one that starts beside others gets their records, and needs no call to the store.
	joinTime = syncWithin / 2
	// syncPause is the pause between two rounds of calls within syncWithin.
	syncPause = 100 * time.Millisecond
	// expireEvery is the interval at which expired records are removed.
	expireEvery = 10 * time.Second
	// recentCrash is the age up to which a crash reported by another daemon is passed to
	// Options.OnCrash, so that the endpoint is not used right after its crash.
	recentCrash = time.Second
	// retryUndecided is the retry delay if the daemon that decides on a probe cannot be reached.
	retryUndecided = time.Second
)

// ReasonHeldBack is the reason of a refusal because endpoints have crashed during the request.
const ReasonHeldBack = "held-back"

// Options are the dependencies of a Controller.
type Options struct {
	Self string // id of this daemon
	// Members returns the daemons that are alive, this one among them.
	Members func() []membership.Member
	// Peer returns the client of another daemon.
	Peer func(address string) quarantinepb.Quarantine
	// Endpoint reports whether an endpoint is listed, and as leaving; nil: all are listed and stay.
	Endpoint func(fleet.Incarnation) (listed, leaving bool)
	// Check finds out whether the endpoint at an address has crashed, whose connections broke at the
	// given time; it has if dial.IsRefused reports the error. nil: by connecting to it over TCP.
	Check func(ctx context.Context, address string, broke time.Time) error
	// Software returns the software of all listed endpoints; nil: none.
	Software func() []quarantine.Software
	// OnCrash is called for endpoints that have just crashed, as detected by this daemon or another
	// one.
	OnCrash func(fleet.Incarnation)
	// Store keeps the records of requests that are held back, for the case that all daemons fail;
	// nil: they are not kept.
	Store record.Store
	// FirstStart declares that no daemon has run before, so that there is no record.
	FirstStart bool
	// Generations tracks the highest generation of the store; nil: the store reports none.
	Generations *generations.Tracker
	Clock       clock.Clock
	Log         *decisions.Log
	Metrics     tally.Scope
}

// Controller runs the quarantine of one daemon. It is safe for concurrent use.
type Controller struct {
	opt     Options
	synced  chan struct{} // closed by Run when this daemon is informed, or requests have waited in vain
	started time.Time
	wake    chan struct{} // signals Run that there is something to do
	pending chan struct{} // signals that there are pending records
	metrics metrics

	// held is the copy that requests read: the requests that are held back, usually none.
	held atomic.Pointer[map[protocol.Fingerprint]quarantine.Assessment]
	// suspects are the prompt parts that count in full for a crash, held back or not.
	suspects    atomic.Pointer[map[protocol.Fingerprint]bool]
	recordCount atomic.Int64 // number of records

	served servedTable
	// The following fields are used by Run only.
	record   record.Record
	recorded uint64 // digest of the record's content
	informed bool   // this daemon has the records that were held before it started, or there were none

	mu        sync.Mutex
	m         *quarantine.Machine
	broken    map[fleet.Incarnation]*broken
	changedAt time.Time
	expiredAt time.Time
	// waitingSince is when the first request waited to be synced; zero: none has.
	waitingSince time.Time
}

type metrics struct {
	crashed, refused, probes, messages tally.Counter
	held, records                      tally.Gauge
	ends                               map[ending.End]tally.Counter
}

// New returns a controller without records.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.Software == nil {
		opt.Software = func() []quarantine.Software { return nil }
	}
	if opt.OnCrash == nil {
		opt.OnCrash = func(fleet.Incarnation) {}
	}
	if opt.Endpoint == nil {
		opt.Endpoint = func(fleet.Incarnation) (listed, leaving bool) { return true, false }
	}
	if opt.Check == nil {
		opt.Check = connect
	}
	s := opt.Metrics.SubScope("quarantine")
	c := &Controller{opt: opt, synced: make(chan struct{}), started: opt.Clock(), wake: make(chan struct{}, 1), pending: make(chan struct{}, 1), m: quarantine.New(), record: record.New(opt.Store, opt.Generations, recordName), informed: opt.FirstStart || opt.Store == nil, broken: map[fleet.Incarnation]*broken{}, metrics: metrics{
		crashed: s.Counter("attempts_ended_with_endpoint_total"), refused: s.Counter("requests_refused_total"), probes: s.Counter("trials_total"),
		messages: s.Counter("messages_total"), held: s.Gauge("requests_held"), records: s.Gauge("cases"), ends: endCounters(s),
	}}
	c.held.Store(&map[protocol.Fingerprint]quarantine.Assessment{})
	c.suspects.Store(&map[protocol.Fingerprint]bool{})
	return c
}

// WaitSynced waits until a newly started daemon has received the records of a synced one or has read the record in
// the store, at most until syncWithin after the first request that waited. That one may come long after the start:
// while the store is away, no endpoint is known.
func (c *Controller) WaitSynced(ctx context.Context) {
	if c.settled() {
		return
	}
	now := c.opt.Clock()
	c.mu.Lock()
	if c.waitingSince.IsZero() {
		c.waitingSince = now
	}
	remaining := syncWithin - now.Sub(c.waitingSince)
	c.mu.Unlock()
	wake.Once(c.wake)
	pause.Until(ctx, time.Now().Add(remaining), c.synced)
}

// ReturnProbe processes a probe that has reached no endpoint, so that another one may be sent at
// once.
func (c *Controller) ReturnProbe(p Probe) {
	for _, granted := range p {
		c.step(func(now time.Time) { c.m.ReturnProbe(now, granted.print, granted.number) })
		c.opt.Log.Info(decisions.EventQuarantineProbe, "fingerprint", granted.print.String(), "given_back", granted.number)
	}
}

// requestProbe asks the daemon that decides on the request whether its probe may be sent now. One
// daemon decides for all.
func (c *Controller) requestProbe(ctx context.Context, a quarantine.Assessment, on quarantine.Software, isolated bool) (grantedProbe, *protocol.Refusal) {
	print := a.Record.Fingerprint
	decider, ok := c.decider(print)
	if !ok {
		return grantedProbe{}, c.refuse(a, retryUndecided)
	}
	granted, known, err := c.callDecider(ctx, decider, a, on, isolated)
	c.opt.Log.Info(decisions.EventQuarantineProbe, "fingerprint", print.String(), "decides", decider.ID, "granted", granted, "trials", known.Probes, "error", err)
	if err != nil {
		return grantedProbe{}, c.refuse(a, retryUndecided)
	}
	if granted {
		c.metrics.probes.Inc(1)
		return grantedProbe{print: print, number: known.Probes}, nil
	}
	if now, held := (*c.held.Load())[print]; held {
		return grantedProbe{}, c.refuse(now, now.Due(isolated).Sub(c.opt.Clock()))
	}
	return grantedProbe{}, nil // released in the meantime
}

// callDecider calls the daemon that decides on a request, and returns that daemon's record of it.
func (c *Controller) callDecider(ctx context.Context, decider membership.Member, a quarantine.Assessment, on quarantine.Software, isolated bool) (granted bool, known quarantine.Record, err error) {
	if decider.ID == c.opt.Self {
		granted, known = c.grant(a.Record.Fingerprint, on, isolated)
		return granted, known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.opt.Peer(decider.PeerAddress).Trial(ctx, &quarantinepb.TrialRequest{Software: uint64(on), Isolated: isolated, Case: recordToWire(c.opt.Clock(), &a.Record)})
	if err != nil {
		return false, a.Record, err
	}
	records := fromWire(c.opt.Clock(), []*quarantinepb.Case{resp.Case})
	c.merge(records)
	if len(records) > 0 {
		known = records[0]
	}
	return resp.Granted, known, nil
}

// decider returns the daemon that decides on a request's probes.
func (c *Controller) decider(print protocol.Fingerprint) (membership.Member, bool) {
	ranked := membership.Rendezvous(string(print[:]), c.opt.Members())
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

// grant decides on a probe at this daemon.
func (c *Controller) grant(print protocol.Fingerprint, on quarantine.Software, isolated bool) (granted bool, known quarantine.Record) {
	c.step(func(now time.Time) {
		granted = c.m.GrantProbe(now, print, on, isolated)
		known, _ = c.m.Lookup(print)
	})
	return granted, known
}

// ObserveSuccess processes the successful answer to a request that was sent at the given time, from an
// endpoint with the given software.
func (c *Controller) ObserveSuccess(s Subject, on quarantine.Software, sent time.Time) {
	print := s.Print()
	c.served.add(print, c.opt.Clock())
	if c.recordCount.Load() > 0 {
		c.step(func(now time.Time) { c.m.ObserveSuccess(now, print, sent) })
	}
	c.ObserveProgress(s, on)
}

// ProvenAfter is how long after the first event of its answer an endpoint must still write events for
// the parts of the prompt to be innocent: those that crash endpoints do so as the answer begins.
const ProvenAfter = 250 * time.Millisecond

// ObserveProgress processes an answer that an endpoint with the given software has written for
// ProvenAfter, or completed.
func (c *Controller) ObserveProgress(s Subject, on quarantine.Software) {
	parts, now := s.parts(), c.opt.Clock()
	for _, part := range parts {
		c.served.add(onSoftware(part.Fingerprint, on), now)
	}
	if len(parts) == 0 || c.recordCount.Load() == 0 {
		return
	}
	c.step(func(now time.Time) {
		for _, part := range parts {
			c.m.ObservePartSuccess(now, part.Fingerprint, on)
		}
	})
}

// step runs f on the machine and applies the result; pending records are sent to other daemons
// soon.
func (c *Controller) step(f func(now time.Time)) {
	now := c.opt.Clock()
	c.mu.Lock()
	f(now)
	changed, pending := c.m.TakeChanged(), c.m.HasPending()
	if pending || len(changed) > 0 { // an answer to a request without a record changes nothing
		held, suspects := c.m.Held(), c.m.SuspectParts()
		c.suspects.Store(&suspects)
		c.held.Store(&held)
	}
	c.recordCount.Store(int64(c.m.Len()))
	if pending {
		c.changedAt = now
	}
	c.mu.Unlock()
	for _, a := range changed {
		c.logChanged(now, a)
	}
	if pending {
		wake.Once(c.pending)
		wake.Once(c.wake)
	}
}

func (c *Controller) logChanged(now time.Time, a quarantine.Assessment) {
	fields := []any{"fingerprint", a.Record.Fingerprint.String(), "part", a.Record.Part, "endpoints", a.CrashedEndpoints(), "trials", a.Record.Probes}
	if !a.Held() {
		c.opt.Log.Info(decisions.EventQuarantineLifted, fields...)
		return
	}
	c.opt.Log.Info(decisions.EventRequestQuarantined, append(fields, "blame", a.Suspicion, "last_ms_ago", now.Sub(a.LastActivity()).Milliseconds(), "trial_in_ms", a.NextProbe.Sub(now).Milliseconds())...)
}

// Run fetches the records of another daemon, then drives the quarantine until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.sync(ctx)
	go c.runSend(ctx)
	compared := c.opt.Clock()
	for ctx.Err() == nil {
		c.await(ctx)
		now := c.opt.Clock()
		c.check(ctx)
		c.expire(now)
		c.keepRecord(ctx, now)
		if wait, ok := c.comparePause(now); ok && now.Sub(compared) >= wait {
			compared = now
			c.compare(ctx)
		}
	}
	return nil
}

// await waits for a tick while endpoints are watched, otherwise longer.
func (c *Controller) await(ctx context.Context) {
	d := expireEvery
	switch wait, known := c.comparePause(c.opt.Clock()); {
	case c.watching():
		d = tick
	case known:
		d = min(wait, record.MinCallInterval)
	case !c.informed:
		d = record.MinCallInterval
	}
	pause.Until(ctx, time.Now().Add(d), c.wake)
}

func (c *Controller) expire(now time.Time) {
	c.mu.Lock()
	due := now.Sub(c.expiredAt) >= expireEvery
	if due {
		c.expiredAt = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	c.step(func(now time.Time) { c.m.Expire(now) })
	c.metrics.held.Update(float64(len(*c.held.Load())))
	c.metrics.records.Update(float64(c.recordCount.Load()))
}

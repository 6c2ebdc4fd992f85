// Package quarantiner drives coordination/quarantine, which holds the records of requests during
// which endpoints crash. It finds out whether an endpoint has crashed when a connection breaks,
// exchanges records with the other daemons, and decides whether a request may be sent.
package quarantiner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

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
	tellEvery = 50 * time.Millisecond
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
	// syncPause is the pause between two rounds of calls within syncWithin.
	syncPause = 100 * time.Millisecond
	// expireEvery is the interval at which expired records are removed.
	expireEvery = 10 * time.Second
	// recentCrash is the age up to which a crash reported by another daemon is passed to
	// Options.OnCrash, so that the endpoint is not used right after its crash.
	justEnded = time.Second
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
	// Endpoint reports whether an endpoint is listed, and as leaving.
	Endpoint func(fleet.Incarnation) (listed, leaving bool)
	// Dial connects to an endpoint to check whether it is up; nil: over TCP.
	Dial func(ctx context.Context, address string) error
	// OnCrash is called for endpoints that have just crashed, as detected by this daemon or another
	// one.
	OnCrash func(fleet.Incarnation)
	// Store keeps the records of requests that are held back, for the case that all daemons fail;
	// nil: they are not kept.
	Store record.Store
	// Generations tracks the highest generation of the store; nil: the store reports none.
	Generations *generations.Tracker
	Clock       clock.Clock
	Log         *decisions.Log
	Metrics     tally.Scope
}

// Controller runs the quarantine of one daemon. It is safe for concurrent use.
type Controller struct {
	opt     Options
	synced  chan struct{} // closed when a synced daemon has answered, or after syncWithin
	started time.Time
	wake    chan struct{} // signals Run that there is something to do
	news    chan struct{} // signals that there are pending records
	metrics metrics

	// held is the copy that requests read: the requests that are held back, usually none.
	held  atomic.Pointer[map[protocol.Fingerprint]quarantine.Assessment]
	known atomic.Int64 // number of records

	served servedTable
	// record and recorded, the digest of its content, are used by Run only.
	record   record.Record
	recorded uint64

	mu      sync.Mutex
	m       *quarantine.Machine
	broken  map[fleet.Incarnation]*broken
	newsAt  time.Time
	expired time.Time
}

type metrics struct {
	ended, refused, trials, told tally.Counter
	held, cases                  tally.Gauge
}

// New returns a controller without records.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.OnCrash == nil {
		opt.OnCrash = func(fleet.Incarnation) {}
	}
	if opt.Dial == nil {
		opt.Dial = dial
	}
	s := opt.Metrics.SubScope("quarantine")
	k := &Controller{opt: opt, synced: make(chan struct{}), started: opt.Clock(), wake: make(chan struct{}, 1), news: make(chan struct{}, 1), m: quarantine.New(), record: record.New(opt.Store, opt.Generations, recordName), broken: map[fleet.Incarnation]*broken{}, metrics: metrics{
		ended: s.Counter("attempts_ended_with_endpoint_total"), refused: s.Counter("requests_refused_total"), trials: s.Counter("trials_total"),
		told: s.Counter("messages_total"), held: s.Gauge("requests_held"), cases: s.Gauge("cases"),
	}}
	k.held.Store(&map[protocol.Fingerprint]quarantine.Assessment{})
	return k
}

// CheckHeld refuses a request that is held back and whose probe is not due; the refusal carries the
// retry delay. While no request is held back it costs one atomic read, and the functions are not
// called.
func (k *Controller) CheckHeld(print func() protocol.Fingerprint, on func() quarantine.Software) *protocol.Refusal {
	s, held := k.standing(print)
	if !held {
		return nil
	}
	if now := k.opt.Clock(); !s.ProbeDue(now, on()) {
		return k.refuse(s, s.NextProbe.Sub(now))
	}
	return nil
}

// Probe is the one request of all daemons that is sent while requests with the same fingerprint are
// held back. The zero value is no probe.
type Probe struct {
	print  protocol.Fingerprint
	number int
}

// WaitSynced waits until a newly started daemon has received the records of a synced one, or has
// found none within syncWithin.
func (k *Controller) WaitSynced(ctx context.Context) {
	if !k.settled() {
		pause.Until(ctx, time.Now().Add(syncWithin), k.synced)
	}
}

// Admit is CheckHeld immediately before a request is sent: a request whose probe is due is admitted
// if the daemon that decides on it grants the probe. A newly started daemon first waits for the
// records of others.
func (k *Controller) Admit(ctx context.Context, print func() protocol.Fingerprint, on func() quarantine.Software) (Probe, *protocol.Refusal) {
	k.WaitSynced(ctx)
	if refusal := k.CheckHeld(print, on); refusal != nil {
		return Probe{}, refusal
	}
	if s, held := k.standing(print); held {
		return k.trial(ctx, s, on())
	}
	return Probe{}, nil
}

// ReturnProbe processes a probe that has reached no endpoint, so that another one may be sent at
// once.
func (k *Controller) ReturnProbe(t Probe) {
	if t.number == 0 {
		return
	}
	k.step(func(now time.Time) { k.m.ReturnProbe(now, t.print, t.number) })
	k.opt.Log.Info(decisions.EventQuarantineProbe, "fingerprint", t.print.String(), "given_back", t.number)
}

func (k *Controller) standing(print func() protocol.Fingerprint) (quarantine.Assessment, bool) {
	held := *k.held.Load()
	if len(held) == 0 {
		return quarantine.Assessment{}, false
	}
	s, ok := held[print()]
	return s, ok
}

func (k *Controller) refuse(s quarantine.Assessment, after time.Duration) *protocol.Refusal {
	k.metrics.refused.Inc(1)
	detail := fmt.Sprintf("endpoints have ended under this request, one after the other: %s; it is tried again later", strings.Join(s.CrashedEndpoints(), ", "))
	return protocol.Refuse(http.StatusServiceUnavailable, ReasonHeldBack, detail, max(after, retryUndecided))
}

// requestProbe asks the daemon that decides on the request whether its probe may be sent now. One
// daemon decides for all.
func (k *Controller) trial(ctx context.Context, s quarantine.Assessment, on quarantine.Software) (Probe, *protocol.Refusal) {
	print := s.Record.Fingerprint
	judge, ok := k.judge(print)
	if !ok {
		return Probe{}, k.refuse(s, retryUndecided)
	}
	granted, known, err := k.askJudge(ctx, judge, s, on)
	k.opt.Log.Info(decisions.EventQuarantineProbe, "fingerprint", print.String(), "decides", judge.ID, "granted", granted, "trials", known.Probes, "error", err)
	if err != nil {
		return Probe{}, k.refuse(s, retryUndecided)
	}
	if granted {
		k.metrics.trials.Inc(1)
		return Probe{print: print, number: known.Probes}, nil
	}
	if now, held := (*k.held.Load())[print]; held {
		return Probe{}, k.refuse(now, now.NextProbe.Sub(k.opt.Clock()))
	}
	return Probe{}, nil // released in the meantime
}

// callDecider calls the daemon that decides on a request, and returns that daemon's record of it.
func (k *Controller) askJudge(ctx context.Context, judge membership.Member, s quarantine.Assessment, on quarantine.Software) (granted bool, known quarantine.Record, err error) {
	if judge.ID == k.opt.Self {
		granted, known = k.grant(s.Record.Fingerprint, on)
		return granted, known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := k.opt.Peer(judge.PeerAddress).Trial(ctx, &quarantinepb.TrialRequest{Software: uint64(on), Case: caseToWire(k.opt.Clock(), &s.Record)})
	if err != nil {
		return false, s.Record, err
	}
	cases := fromWire(k.opt.Clock(), []*quarantinepb.Case{resp.Case})
	k.learn(cases)
	if len(cases) > 0 {
		known = cases[0]
	}
	return resp.Granted, known, nil
}

// decider returns the daemon that decides on a request's probes.
func (k *Controller) judge(print protocol.Fingerprint) (membership.Member, bool) {
	ranked := membership.Rendezvous(string(print[:]), k.opt.Members())
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

// grant decides on a probe at this daemon.
func (k *Controller) grant(print protocol.Fingerprint, on quarantine.Software) (granted bool, known quarantine.Record) {
	k.step(func(now time.Time) {
		granted = k.m.GrantProbe(now, print, on)
		known, _ = k.m.Lookup(print)
	})
	return granted, known
}

// ObserveSuccess processes the successful answer to a request that was sent at the given time.
func (k *Controller) ObserveSuccess(print func() protocol.Fingerprint, sent time.Time) {
	p := print()
	k.served.note(p, k.opt.Clock())
	if k.known.Load() == 0 {
		return
	}
	k.step(func(now time.Time) { k.m.ObserveSuccess(now, p, sent) })
}

// step runs f on the machine and applies the result; pending records are sent to other daemons
// soon.
func (k *Controller) step(f func(now time.Time)) {
	now := k.opt.Clock()
	k.mu.Lock()
	f(now)
	turned, news := k.m.TakeChanged(), k.m.HasPending()
	if news || len(turned) > 0 { // an answer to a request without a record changes nothing
		held := k.m.Held()
		k.held.Store(&held)
	}
	k.known.Store(int64(k.m.Len()))
	if news {
		k.newsAt = now
	}
	k.mu.Unlock()
	for _, s := range turned {
		k.logTurned(now, s)
	}
	if news {
		wake.Once(k.news)
		wake.Once(k.wake)
	}
}

func (k *Controller) logTurned(now time.Time, s quarantine.Assessment) {
	fields := []any{"fingerprint", s.Record.Fingerprint.String(), "endpoints", s.CrashedEndpoints(), "trials", s.Record.Probes}
	if !s.Held() {
		k.opt.Log.Info(decisions.EventQuarantineLifted, fields...)
		return
	}
	k.opt.Log.Info(decisions.EventRequestQuarantined, append(fields, "blame", s.Suspicion, "last_ms_ago", now.Sub(s.LastActivity()).Milliseconds(), "trial_in_ms", s.NextProbe.Sub(now).Milliseconds())...)
}

// Run fetches the records of another daemon, then drives the quarantine until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	k.sync(ctx)
	go k.runTell(ctx)
	compared := k.opt.Clock()
	for ctx.Err() == nil {
		k.await(ctx)
		now := k.opt.Clock()
		k.check(ctx)
		k.gauge(now)
		k.keepRecord(ctx, now)
		if wait, ok := k.comparePause(now); ok && now.Sub(compared) >= wait {
			compared = now
			k.compare(ctx)
		}
	}
	return nil
}

// await waits for a tick while endpoints are watched, otherwise longer.
func (k *Controller) await(ctx context.Context) {
	d := expireEvery
	switch wait, known := k.comparePause(k.opt.Clock()); {
	case k.watching():
		d = tick
	case known:
		d = min(wait, record.MinCallInterval)
	}
	pause.Until(ctx, time.Now().Add(d), k.wake)
}

func (k *Controller) gauge(now time.Time) {
	k.mu.Lock()
	due := now.Sub(k.expired) >= expireEvery
	if due {
		k.expired = now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	k.step(func(now time.Time) { k.m.Expire(now) })
	k.metrics.held.Update(float64(len(*k.held.Load())))
	k.metrics.cases.Update(float64(k.known.Load()))
}

// Package quarantiner drives the belief about requests under which endpoints end: it
// finds out whether an endpoint has ended when a connection breaks, tells the other
// daemons and hears from them, and answers whether a request may be sent.
package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// tick is how often there may be something to do while something is going on.
	tick = 50 * time.Millisecond
	// fanout is the number of daemons that are told news; each tells as many. With 3,
	// one in twenty is missed; they hear at the next comparison.
	fanout = 3
	// tellEvery is the least time between two rounds of news: an endpoint with slots for
	// many daemons ends for all of them at once.
	tellEvery = 50 * time.Millisecond
	// compareSoon is the pause between two comparisons with another daemon for
	// spreadFor after the last news, and compareLater is it while anything is known.
	compareSoon  = 500 * time.Millisecond
	compareLater = 5 * time.Second
	spreadFor    = 5 * time.Second
	// callTimeout bounds a call to another daemon, which answers from memory.
	callTimeout = 300 * time.Millisecond
	// syncWithin bounds the time after a start in which a daemon that has found nobody
	// to ask keeps requests waiting.
	syncWithin = time.Second
	// syncPause is the pause between two rounds of questions meanwhile.
	syncPause = 100 * time.Millisecond
	// expireEvery is how often old cases are looked for.
	expireEvery = 10 * time.Second
	// justEnded is how long after its end others are told not to ask an endpoint.
	justEnded = time.Second
	// retryUndecided is when to come back if the daemon that decides on a trial cannot
	// be asked.
	retryUndecided = time.Second
)

// ReasonHeldBack is the reason of a refusal because endpoints have ended under a request.
const ReasonHeldBack = "held-back"

// Options are what a Keeper needs of the rest of the daemon.
type Options struct {
	Self string // id of this daemon
	// Members returns the daemons that are alive, this one among them.
	Members func() []membership.Member
	// Peer returns the client of another daemon.
	Peer func(address string) quarantinepb.Quarantine
	// Endpoint reports whether an endpoint is listed, and as leaving.
	Endpoint func(fleet.Incarnation) (listed, leaving bool)
	// Dial connects to an endpoint to see whether it is there; nil: over TCP.
	Dial func(ctx context.Context, address string) error
	// Ended is told of endpoints that have just ended, as this daemon or another has seen.
	Ended func(fleet.Incarnation)
	// Store keeps what must outlast all daemons; nil: nothing does.
	Store   Store
	Clock   clock.Clock
	Log     *decisions.Log
	Metrics tally.Scope
}

// Keeper is safe for concurrent use.
type Keeper struct {
	opt     Options
	synced  chan struct{} // closed when others were asked, or there is nobody to ask
	started time.Time
	wake    chan struct{} // there is something to look after
	news    chan struct{} // there is something to tell
	metrics metrics

	// held is what requests look at: those that are held back, mostly none.
	held  atomic.Pointer[map[protocol.Fingerprint]quarantine.Standing]
	known atomic.Int64 // cases

	served servedTable
	record record

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

// New returns a keeper that knows nothing yet.
func New(opt Options) *Keeper {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.Ended == nil {
		opt.Ended = func(fleet.Incarnation) {}
	}
	if opt.Dial == nil {
		opt.Dial = dial
	}
	s := opt.Metrics.SubScope("quarantine")
	k := &Keeper{opt: opt, synced: make(chan struct{}), started: opt.Clock(), wake: make(chan struct{}, 1), news: make(chan struct{}, 1), m: quarantine.New(), broken: map[fleet.Incarnation]*broken{}, metrics: metrics{
		ended: s.Counter("attempts_ended_with_endpoint_total"), refused: s.Counter("requests_refused_total"), trials: s.Counter("trials_total"),
		told: s.Counter("messages_total"), held: s.Gauge("requests_held"), cases: s.Gauge("cases"),
	}}
	k.held.Store(&map[protocol.Fingerprint]quarantine.Standing{})
	return k
}

// Waits refuses a request that is held back and whose trial is not due; the refusal says
// when to come back. While nothing is held back it costs a read: the functions are asked
// only where something is.
func (k *Keeper) Waits(print func() protocol.Fingerprint, on func() quarantine.Software) *protocol.Refusal {
	s, held := k.standing(print)
	if !held {
		return nil
	}
	if now := k.opt.Clock(); !s.TrialDue(now, on()) {
		return k.refuse(s, s.Due.Sub(now))
	}
	return nil
}

// Admit is Waits at the moment of sending: a request whose trial is due goes through if
// the daemon that decides on it says so. One that has just started asks others first.
func (k *Keeper) Admit(ctx context.Context, print func() protocol.Fingerprint, on func() quarantine.Software) *protocol.Refusal {
	if !k.settled() {
		pause.Until(ctx, time.Now().Add(syncWithin), k.synced)
	}
	if refusal := k.Waits(print, on); refusal != nil {
		return refusal
	}
	if s, held := k.standing(print); held {
		return k.trial(ctx, s, on())
	}
	return nil
}

func (k *Keeper) standing(print func() protocol.Fingerprint) (quarantine.Standing, bool) {
	held := *k.held.Load()
	if len(held) == 0 {
		return quarantine.Standing{}, false
	}
	s, ok := held[print()]
	return s, ok
}

func (k *Keeper) refuse(s quarantine.Standing, after time.Duration) *protocol.Refusal {
	k.metrics.refused.Inc(1)
	detail := fmt.Sprintf("endpoints have ended under this request, one after the other: %s; it is tried again later", strings.Join(s.Lives(), ", "))
	return protocol.Refuse(http.StatusServiceUnavailable, ReasonHeldBack, detail, max(after, retryUndecided))
}

// trial asks the daemon that decides on the request whether its trial may go through now:
// one does for all daemons.
func (k *Keeper) trial(ctx context.Context, s quarantine.Standing, on quarantine.Software) *protocol.Refusal {
	print := s.Case.Fingerprint
	judge, ok := k.judge(print)
	if !ok {
		return k.refuse(s, retryUndecided)
	}
	granted := false
	if judge.ID == k.opt.Self {
		granted, _ = k.grant(print, on)
	} else {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		resp, err := k.opt.Peer(judge.PeerAddress).Trial(ctx, &quarantinepb.TrialRequest{Fingerprint: print[:], Software: uint64(on)})
		if err != nil {
			k.opt.Log.Info(decisions.EventTrial, "fingerprint", print.String(), "decides", judge.ID, "granted", false, "error", err)
			return k.refuse(s, retryUndecided)
		}
		granted = resp.Granted
		k.learn(fromWire(k.opt.Clock(), []*quarantinepb.Case{resp.Case}))
	}
	k.opt.Log.Info(decisions.EventTrial, "fingerprint", print.String(), "decides", judge.ID, "granted", granted, "trials", s.Case.Trials)
	if granted {
		k.metrics.trials.Inc(1)
		return nil
	}
	if now, held := (*k.held.Load())[print]; held {
		return k.refuse(now, now.Due.Sub(k.opt.Clock()))
	}
	return nil // released meanwhile
}

// judge returns the daemon that decides on a request's trials.
func (k *Keeper) judge(print protocol.Fingerprint) (membership.Member, bool) {
	ranked := membership.Rendezvous(string(print[:]), k.opt.Members())
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

// grant decides on a trial here.
func (k *Keeper) grant(print protocol.Fingerprint, on quarantine.Software) (granted bool, known quarantine.Case) {
	k.step(func(now time.Time) {
		granted = k.m.Trial(now, print, on)
		known, _ = k.m.Known(print)
	})
	return granted, known
}

// Served takes it that a request, sent at some time, has been answered as it should.
func (k *Keeper) Served(print func() protocol.Fingerprint, sent time.Time) {
	p := print()
	k.served.note(p, k.opt.Clock())
	if k.known.Load() == 0 {
		return
	}
	k.step(func(now time.Time) { k.m.Served(now, p, sent) })
}

// step runs f on the machine and publishes what follows; news go to others soon.
func (k *Keeper) step(f func(now time.Time)) {
	now := k.opt.Clock()
	k.mu.Lock()
	f(now)
	turned := k.m.Turned()
	held := k.m.Held()
	k.held.Store(&held)
	k.known.Store(int64(k.m.Cases()))
	news := k.m.HasNews()
	if news {
		k.newsAt = now
	}
	k.mu.Unlock()
	for _, s := range turned {
		k.logTurned(now, s)
	}
	if news {
		signal(k.news)
		signal(k.wake)
	}
}

// runTell tells the others what is new until ctx ends: the first at once, what comes
// shortly after together, since an endpoint ends under requests of many daemons.
func (k *Keeper) runTell(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.news:
		}
		k.mu.Lock()
		cases, more := k.m.News()
		k.mu.Unlock()
		if more {
			signal(k.news)
		}
		if len(cases) > 0 {
			k.tell(&quarantinepb.ExchangeRequest{Cases: toWire(k.opt.Clock(), cases)})
		}
		pause.For(ctx, tellEvery)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (k *Keeper) logTurned(now time.Time, s quarantine.Standing) {
	fields := []any{"fingerprint", s.Case.Fingerprint.String(), "endpoints", s.Lives(), "trials", s.Case.Trials}
	if !s.Held() {
		k.opt.Log.Info(decisions.EventReleased, fields...)
		return
	}
	k.opt.Log.Info(decisions.EventHeldBack, append(fields, "blame", s.Blame, "last_ms_ago", now.Sub(s.Last()).Milliseconds(), "trial_in_ms", s.Due.Sub(now).Milliseconds())...)
}

// others returns the other daemons in a random order.
func (k *Keeper) others() []membership.Member {
	var list []membership.Member
	for _, m := range k.opt.Members() {
		if m.ID != k.opt.Self {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// tell sends news to some other daemons at once.
func (k *Keeper) tell(req *quarantinepb.ExchangeRequest) {
	list := k.others()
	for _, m := range list[:min(fanout, len(list))] {
		go func() { _, _ = k.exchange(context.Background(), m, req) }() // a comparison makes up for what is lost
	}
}

// exchange makes one call and takes its answer.
func (k *Keeper) exchange(ctx context.Context, m membership.Member, req *quarantinepb.ExchangeRequest) (*quarantinepb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.metrics.told.Inc(1)
	resp, err := k.opt.Peer(m.PeerAddress).Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	k.learn(fromWire(k.opt.Clock(), resp.Cases))
	return resp, nil
}

// learn takes what another daemon has told.
func (k *Keeper) learn(cases []quarantine.Case) {
	if len(cases) == 0 {
		return
	}
	k.step(func(now time.Time) { k.m.Merge(now, cases) })
	now := k.opt.Clock()
	for i := range cases {
		for _, e := range cases[i].Ends {
			if now.Sub(e.At) < justEnded {
				k.opt.Ended(e.Life)
			}
		}
	}
}

// Run asks the others what they know, then passes time on until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
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

// await waits for a tick while something goes on, for longer while nothing does.
func (k *Keeper) await(ctx context.Context) {
	d := expireEvery
	if k.known.Load() > 0 || k.watching() {
		d = tick
	}
	pause.Until(ctx, time.Now().Add(d), k.wake)
}

func (k *Keeper) gauge(now time.Time) {
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

// sync asks others for all that they know, until one has answered that has not just
// started itself.
func (k *Keeper) sync(ctx context.Context) {
	defer close(k.synced)
	for ctx.Err() == nil && k.opt.Clock().Sub(k.started) < syncWithin {
		list := k.others()
		for _, m := range list[:min(fanout, len(list))] {
			resp, err := k.exchange(ctx, m, &quarantinepb.ExchangeRequest{Ask: true})
			if err == nil && resp.Settled {
				return
			}
		}
		pause.For(ctx, syncPause)
	}
}

func (k *Keeper) settled() bool {
	select {
	case <-k.synced:
		return true
	default:
		return false
	}
}

// comparePause returns the pause between two comparisons; there are none while nothing is
// known.
func (k *Keeper) comparePause(now time.Time) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.m.Cases() == 0:
		return 0, false
	case now.Sub(k.newsAt) < spreadFor:
		return compareSoon, true
	}
	return compareLater, true
}

// compare brings this daemon and another one to the same belief.
func (k *Keeper) compare(ctx context.Context) {
	list := k.others()
	if len(list) == 0 {
		return
	}
	k.mu.Lock()
	digest := k.m.Digest()
	k.mu.Unlock()
	resp, err := k.exchange(ctx, list[0], &quarantinepb.ExchangeRequest{Ask: true, Digest: digest})
	if err != nil || resp.Digest == digest {
		return // another one is next
	}
	k.mu.Lock()
	req := &quarantinepb.ExchangeRequest{Digest: k.m.Digest()}
	if req.Digest != resp.Digest {
		req.Cases = toWire(k.opt.Clock(), k.m.All())
	}
	k.mu.Unlock()
	if len(req.Cases) > 0 {
		_, _ = k.exchange(ctx, list[0], req) // the next comparison makes up for it
	}
}

// Exchange implements quarantinepb.Quarantine.
func (k *Keeper) Exchange(_ context.Context, req *quarantinepb.ExchangeRequest) (*quarantinepb.ExchangeResponse, error) {
	k.learn(fromWire(k.opt.Clock(), req.Cases))
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := &quarantinepb.ExchangeResponse{Digest: k.m.Digest(), Settled: k.settled()}
	if req.Ask && req.Digest != resp.Digest {
		resp.Cases = toWire(k.opt.Clock(), k.m.All())
	}
	return resp, nil
}

// errFingerprint refuses a trial of nothing.
var errFingerprint = errors.New("the fingerprint is not whole")

// Trial implements quarantinepb.Quarantine.
func (k *Keeper) Trial(_ context.Context, req *quarantinepb.TrialRequest) (*quarantinepb.TrialResponse, error) {
	var print protocol.Fingerprint
	if len(req.Fingerprint) != len(print) {
		return nil, errFingerprint
	}
	print = protocol.Fingerprint(req.Fingerprint)
	granted, known := k.grant(print, quarantine.Software(req.Software))
	return &quarantinepb.TrialResponse{Granted: granted, Case: caseToWire(k.opt.Clock(), &known)}, nil
}

// refusedConnection reports whether an error says that nothing listens at the address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dial is how an endpoint is asked whether it is there.
func dial(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: checkTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Package daemon assembles a doorvalved process that reads its configuration from
// the platform's object API.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/drain"
	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/claimer"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/gossip"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/placer"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/retries"
	"github.com/doorvalve/doorvalve/driver/rollout"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/state/workspace"
	"github.com/doorvalve/doorvalve/transport/callers"
	"github.com/doorvalve/doorvalve/transport/engine"
	"github.com/doorvalve/doorvalve/transport/inbound"
	"github.com/doorvalve/doorvalve/transport/operators"
	"github.com/doorvalve/doorvalve/transport/peers"
	"github.com/doorvalve/doorvalve/transport/platform"
	"github.com/doorvalve/doorvalve/transport/proxy"
	"github.com/doorvalve/doorvalve/transport/tunnel"
)

// engineTimeout bounds each state request and each order to an endpoint.
const engineTimeout = 2 * time.Second

// Daemon is one doorvalved process.
type Daemon struct {
	// set are the settings that the daemon was started with.
	set settings.Settings
	// inForce are the settings in force; see Reload.
	inForce  atomic.Pointer[settings.Settings]
	log      *decisions.Log
	self     string
	started  time.Time
	platform *platform.Client
	// generations tracks the highest generation of the platform that this daemon
	// has received, from the platform or from peers.
	generations  *generations.Tracker
	engines      *engine.Client
	paths        *paths.Controller
	tunnels      *tunnel.Handler
	peers        *peers.Client
	gossip       *gossip.Gossip
	rollout      *rollout.Rollout
	claimer      *claimer.Claimer
	quarantine   *quarantiner.Controller
	quotas       *quotas.Controller
	backpressure *backpressure.Tracker
	throttle     *throttle.Controller
	retries      *retries.Controller
	callers      *callers.Server
	metrics      tally.Scope
	reporter     promreporter.Reporter
	closer       interface{ Close() error }

	gates      atomic.Pointer[map[string]*gate.Gate]
	reporterOf atomic.Pointer[map[string]*reporter] // by unit, that of its service
	roles      sync.Map                             // by group; values are role

	mu      sync.Mutex // placers and drain
	placers map[string]*placer.Placer
	runCtx  context.Context
	drain   *drain.Machine
	phase   atomic.Pointer[drain.Phase]

	reporters map[string]*reporter
	listeners [3]net.Listener
	done      chan struct{} // closed when the shutdown is complete
}

// New returns a daemon with its listeners open, so that its addresses are
// known before Run is called.
func New(set settings.Settings, log *decisions.Log) (*Daemon, error) {
	return NewWithDial(set, log, dial.New(&net.Dialer{}))
}

// NewWithDial is New for a daemon that opens its connections to endpoints with open.
func NewWithDial(set settings.Settings, log *decisions.Log, open dial.Func) (*Daemon, error) {
	d := &Daemon{
		set: set, self: set.Host + "-" + nonce(), started: time.Now(), drain: drain.New(),
		backpressure: backpressure.New(backpressure.Options{Seed: uint64(time.Now().UnixNano())}),
		placers:      map[string]*placer.Placer{}, reporters: map[string]*reporter{}, done: make(chan struct{}),
	}
	d.inForce.Store(&set)
	d.log = log.With("daemon", d.self)
	for i, address := range []string{set.Callers.Listen, set.Peers.Listen, set.Operators.Listen} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			d.closeListeners()
			return nil, err
		}
		d.listeners[i] = l
	}
	d.reporter = promreporter.NewReporter(promreporter.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "doorvalve", CachedReporter: d.reporter, Separator: promreporter.DefaultSeparator, OmitCardinalityMetrics: true,
	}, time.Second)
	d.metrics, d.closer = scope, closer
	d.generations = generations.New(d.log, d.metrics)
	d.platform = platform.New(platform.Options{URL: set.Platform.URL, Timeout: set.Platform.Timeout.D(), Generations: d.generations})
	d.peers = peers.NewClient(set.Peers.Token)
	d.paths = paths.New(paths.Options{
		Self: d.self, FailureDomain: set.FailureDomain, Members: d.aliveMembers, Dial: open,
		Tunnel:  &tunnel.Dialer{Open: d.peers.Meter().Dial(dial.TCP), Authenticate: peers.Authenticate(set.Peers.Token), Self: d.self},
		Publish: func(e membership.Entry) { d.gossip.Set(e) }, Seed: uint64(time.Now().UnixNano()), Log: d.log.Component("paths"), Metrics: d.metrics,
	})
	d.tunnels = tunnel.NewHandler(tunnel.Options{
		Listed: d.paths.Listed, Dial: d.paths.DialOwn, Examine: d.paths.Examine, Limit: int64(set.Limits.Connections) / tunnelDivisor, Closed: func() bool { return d.Phase() != drain.Serving && d.Phase() != drain.Lingering },
		Log: d.log.Component("paths"), Metrics: d.metrics,
	})
	d.engines = engine.New(engineTimeout, d.paths)
	d.gossip = gossip.New(d.log.Named("gossip"), d.peers, d.seeds, gossip.Options(func(now time.Time, f membership.Entry) bool {
		return quotas.StaleFact(now, f) || throttle.StaleFact(now, f) || paths.StaleFact(now, f)
	}), d.member())
	d.rollout = rollout.New(d.log.Component("rollout"), d.platform, d.peers, d.gossip)
	d.rollout.OnChange(d.configure)
	d.claimer = claimer.New(claimer.Options{
		Self: d.self, Platform: d.platform, Peers: d.peers, Members: d.gossip.Members, Config: d.claimsConfig, Log: d.log.Named("claims"),
	})
	d.generations.OnRise(d.claimer.PlatformRestored)
	d.quarantine = quarantiner.New(quarantiner.Options{
		Self: d.self, Members: d.gossip.Members, Peer: d.peers.Quarantines().To, Endpoint: d.endpointState, Check: d.paths.Check, FirstStart: set.FirstStart, Store: d.platform, Generations: d.generations, Log: d.log.Component("quarantine"), Metrics: d.metrics,
	})
	d.quotas = quotas.New(quotas.Options{
		Self: d.self, Members: d.gossip.Members, Revision: d.gossip.Revision, Directory: d.workspaces, Listed: d.endpointListed, Publish: d.gossip.Set, OnLimitChange: func(incarnation fleet.Incarnation, report limit.Report) { d.throttle.SetLimit(incarnation, report) }, Store: d.platform, Generations: d.generations, Peer: d.peers.Quotas().To, Log: d.log.Component("quotas"), Metrics: d.metrics,
	})
	d.throttle = throttle.New(throttle.Options{
		Self: d.self, Tracker: d.backpressure, Limits: d.quotas.Endpoints(), LastReady: func(fleet.Incarnation) time.Time { return time.Time{} },
		Daemons: func() int { return len(d.gossip.Members()) }, Slots: d.endpointSlots, Listed: d.endpointListed, OnLeaving: func(fleet.Incarnation) {}, Publish: d.gossip.Set, Log: d.log.Component("throttle"), Metrics: d.metrics,
	})
	d.gossip.OnFact(d.quotas.Endpoints().ReceiveFact)
	d.gossip.OnFact(d.throttle.ReceiveRejectionLimit)
	d.gossip.OnFact(d.paths.ReceiveFact)
	d.gates.Store(&map[string]*gate.Gate{})
	d.reporterOf.Store(&map[string]*reporter{})
	d.setPhase(drain.Serving)
	d.retries = retries.New(retries.Options{
		Limit: set.Retries.Limit(), FirstStart: set.FirstStart, Self: d.self, Store: d.platform, Listed: d.listedDaemons, Generations: d.generations, Members: d.aliveMembers,
		Configured: d.serviceConfigured, Log: d.log.Component("retries"), Metrics: d.metrics,
	})
	d.callers = callers.New(callers.Options{
		Self: d.self, Limits: set.Limits, Config: d.rollout.Current, Gate: d.gate, Members: d.gossip.Members, Phase: d.Phase,
		Claimer: d.claimer, Quarantine: d.quarantine, Quotas: d.quotas, Retries: d.retries, Throttle: d.throttle, Proxy: proxy.New(set.Limits.AnswerBytes, d.paths), ReleaseSilent: d.paths.ReleaseSilent, Log: d.log.Component("callers"), Metrics: d.metrics,
		OnEndpointLeaving: d.endpointLeaving,
	})
	return d, nil
}

func nonce() string {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// aliveMembers returns the daemons that are alive, those that are leaving among them.
func (d *Daemon) aliveMembers() []membership.Member {
	return membership.AliveMembers(d.gossip.Members())
}

func (d *Daemon) member() membership.Member {
	return membership.Member{
		ID: d.self, Host: d.set.Host, FailureDomain: d.set.FailureDomain, CallerAddress: d.CallerAddress(),
		PeerAddress: d.PeerAddress(), OperatorAddr: d.OperatorAddress(),
	}
}

// ID returns the daemon's id, unique to this process.
func (d *Daemon) ID() string { return d.self }

// CallerAddress returns the callers' listener's address.
func (d *Daemon) CallerAddress() string { return d.listeners[0].Addr().String() }

// PeerAddress returns the peers' listener's address.
func (d *Daemon) PeerAddress() string { return d.listeners[1].Addr().String() }

// OperatorAddress returns the operators' listener's address.
func (d *Daemon) OperatorAddress() string { return d.listeners[2].Addr().String() }

// seeds returns the addresses of the peers through which to join the membership:
// the seeds of the settings and, if the platform answers, the entry hosts in its
// list that are not leaving.
func (d *Daemon) seeds(ctx context.Context) []string {
	list := append([]string(nil), d.inForce.Load().Peers.Seeds...)
	listed, _ := d.listedPeers(ctx) // without an answer, the settings' seeds remain
	return append(list, listed...)
}

// listedPeers returns the addresses of the entry hosts that the platform lists and that are not leaving.
func (d *Daemon) listedPeers(ctx context.Context) ([]string, error) {
	hosts, err := d.platform.Hosts(ctx)
	var list []string
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && !h.Leaving {
			list = append(list, h.Address)
		}
	}
	return list, err
}

// listedDaemons returns the number of those hosts, this one among them.
func (d *Daemon) listedDaemons(ctx context.Context) (int, error) {
	list, err := d.listedPeers(ctx)
	return len(list), err
}

// claimsConfig returns the settings of claims in the configuration in force. Before the first one, keys are kept for
// ever: other daemons may claim keys here already, for which a longer time holds than any default.
func (d *Daemon) claimsConfig() bundle.Claims {
	if s := d.rollout.Current(); s != nil {
		return s.Bundle.Claims
	}
	return bundle.Claims{Shards: 1, Retention: math.MaxInt64}
}

// serviceConfigured reports whether a service is configured. Before the first configuration, all are.
func (d *Daemon) serviceConfigured(service string) bool {
	s := d.rollout.Current()
	return s == nil || s.Bundle.Service(service) != nil
}

// gate returns a unit's gate, or nil.
func (d *Daemon) gate(unit string) *gate.Gate { return (*d.gates.Load())[unit] }

// configure applies a snapshot: it provides a gate for each unit, and a placer and
// a reporter for each service.
func (d *Daemon) configure(s *snapshot.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths.SetAddresses(addressesOf(s.Bundle))
	old, oldReporters := *d.gates.Load(), *d.reporterOf.Load()
	reporterOf := map[string]*reporter{}
	next := make(map[string]*gate.Gate, len(s.Units))
	for _, svc := range s.Bundle.Services {
		r := d.reporterFor(svc.Name)
		gates := map[string]*gate.Gate{}
		if svc.Kind == bundle.KindPlain {
			gates[svc.Name] = d.gateFor(old, svc.Name)
		}
		for name, u := range s.Units {
			if u.Service == svc.Name {
				gates[name] = d.gateFor(old, name)
			}
		}
		for name, g := range gates {
			next[name], reporterOf[name] = g, r
		}
		r.configure(svc, gates)
		d.placerFor(svc.Name).Configure(s)
	}
	for name, p := range d.placers {
		if s.Bundle.Service(name) == nil {
			p.Configure(s) // it sends no more orders and does not renew its lease
		}
	}
	d.gates.Store(&next)
	d.reporterOf.Store(&reporterOf)
	for name, r := range reporterOf {
		if before := oldReporters[name]; before != nil && before != r { // the unit has moved to another service
			next[name].DropCredits()
			r.kickNow() // for requests that wait already
		}
	}
}

// tunnelDivisor is the share of the connections, as a divisor, that may be relayed for other daemons.
const tunnelDivisor = 4

// addressesOf returns the addresses of a bundle's endpoints.
func addressesOf(b *bundle.Bundle) (list []string) {
	for _, svc := range b.Services {
		for _, e := range svc.Endpoints {
			list = append(list, e.Address)
		}
	}
	return list
}

// gateFor returns the unit's gate from old, or else a new one.
func (d *Daemon) gateFor(old map[string]*gate.Gate, unit string) *gate.Gate {
	if g := old[unit]; g != nil {
		return g
	}
	return gate.New(unit, d.set.Limits.QueueLength, func() { d.kickReporter(unit) }, d.endpointClosed)
}

// kickReporter requests a report of a unit's demand by the reporter of the service that it belongs to now.
func (d *Daemon) kickReporter(unit string) {
	if r := (*d.reporterOf.Load())[unit]; r != nil {
		r.kickNow()
	}
}

// reporterFor returns a service's reporter, and creates it on first use. The caller
// must hold d.mu.
func (d *Daemon) reporterFor(service string) *reporter {
	r := d.reporters[service]
	if r == nil {
		r = newReporter(service, d)
		d.reporters[service] = r
		if d.runCtx != nil {
			go r.run(d.runCtx)
		}
	}
	return r
}

// placerFor returns a service's placer, and creates it on first use. The caller
// must hold d.mu.
func (d *Daemon) placerFor(service string) *placer.Placer {
	p := d.placers[service]
	if p == nil {
		p = placer.New(placer.Options{
			Group: service, Self: d.self, LeaseTerm: d.set.LeaseTerm.D(), FirstStart: d.set.FirstStart, Generations: d.generations, Platform: d.platform, Engines: d.engines, Roles: (*roles)(d), Log: d.log.Component("placement"),
		})
		d.placers[service] = p
		if d.runCtx != nil {
			go p.Run(d.runCtx)
		}
	}
	return p
}

// endpointClosed reports whether an endpoint takes no requests now, according to its own
// backpressure signals.
func (d *Daemon) endpointClosed(e bundle.Endpoint) bool {
	return !d.backpressure.HasNoReport(e.Name) && d.backpressure.Peek(clock.Now(), fleet.Incarnation{ID: e.Name}, backpressure.Request{}).Closed()
}

// endpointLeaving drops the credit of all gates at an endpoint that is leaving.
func (d *Daemon) endpointLeaving(endpoint string) {
	for _, g := range *d.gates.Load() {
		g.DropEndpoint(endpoint)
	}
}

// Run serves until a graceful shutdown is complete or ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = d.closer.Close() }()
	d.start(ctx)
	var g run.Group
	d.addServer(&g, 0, d.callers.Handler())
	d.addServer(&g, 1, peers.Guard(d.set.Peers.Token, d.peerHandler()))
	d.addServer(&g, 2, operators.New(operators.Options{
		Tokens: func() []settings.OperatorToken { return d.inForce.Load().Operators.Tokens }, Rollout: d.rollout, Members: d.gossip.Members, Dump: func() any { return d.Dump() }, Stop: d.Stop,
		Metrics: d.reporter.HTTPHandler(), Log: d.log.Component("operators"),
	}).Handler())
	d.addActor(&g, ctx, d.gossip.Run)
	d.addActor(&g, ctx, d.rollout.Run)
	d.addActor(&g, ctx, d.quarantine.Run)
	d.addActor(&g, ctx, d.quotas.Run)
	d.addActor(&g, ctx, d.throttle.Run)
	d.addActor(&g, ctx, d.retries.Run)
	d.addActor(&g, ctx, d.paths.Run)
	d.addActor(&g, ctx, d.runDrain)
	d.addActor(&g, ctx, d.runReview)
	d.log.Info(decisions.EventStart, "callers", d.CallerAddress(), "peers", d.PeerAddress(), "operators", d.OperatorAddress(), "failure_domain", d.set.FailureDomain)
	err := g.Run()
	lost, skipped := d.log.Dropped()
	d.log.Info(decisions.EventStopped, "reason", err, "lines_lost", lost, "lines_skipped", skipped)
	return err
}

// peerHandler returns the handler of requests from other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(quarantinepb.QuarantinePathPrefix, peers.Bounded(quarantinepb.NewQuarantineServer(d.quarantine)))
	mux.Handle(quotapb.QuotasPathPrefix, peers.Bounded(quotapb.NewQuotasServer(d.quotas)))
	mux.Handle(tunnel.Path, d.tunnels)
	mux.Handle(peerpb.PeerPathPrefix, peers.Bounded(peerpb.NewPeerServer((*peerServer)(d))))
	return mux
}

// workspaces returns the newest workspaces and the generation of the configuration
// that holds them.
func (d *Daemon) workspaces() (*workspace.Directory, uint64) {
	s := d.rollout.Current()
	if s == nil {
		return nil, 0
	}
	return s.Workspaces, s.Generation
}

// endpointSlots returns how many requests an endpoint works on at once; zero if it is not declared.
func (d *Daemon) endpointSlots(incarnation fleet.Incarnation) int {
	if s := d.rollout.Current(); s != nil {
		e, _ := declared(s.Bundle, incarnation.ID)
		return e.Slots
	}
	return 0
}

// declared returns the endpoint with a name in a bundle.
func declared(b *bundle.Bundle, name string) (e bundle.Endpoint, ok bool) {
	for _, svc := range b.Services {
		for _, e := range svc.Endpoints {
			if e.Name == name {
				return e, true
			}
		}
	}
	return bundle.Endpoint{}, false
}

// endpointListed reports whether an endpoint is declared in the configuration.
func (d *Daemon) endpointListed(incarnation fleet.Incarnation) bool {
	listed, _ := d.endpointState(incarnation)
	return listed
}

// endpointState reports whether an endpoint is declared in the configuration, and
// whether it is to be drained or no longer declared. Before the first configuration,
// every endpoint counts as declared.
func (d *Daemon) endpointState(incarnation fleet.Incarnation) (listed, leaving bool) {
	s := d.rollout.Current()
	if s == nil {
		return true, false // no configuration yet that could lack it
	}
	if e, ok := declared(s.Bundle, incarnation.ID); ok {
		return true, e.Drain
	}
	return false, true // removed from the configuration
}

// start runs the placers and reporters of a configuration that was received before
// Run was called.
func (d *Daemon) start(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runCtx = ctx
	for _, p := range d.placers {
		go p.Run(ctx)
	}
	for _, r := range d.reporters {
		go r.run(ctx)
	}
}

func (d *Daemon) addActor(g *run.Group, ctx context.Context, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// closeTimeout bounds the shutdown of each server after the last request has ended.
const closeTimeout = time.Second

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// callerLimits returns the limits of callers' connections, which may be idle for any time.
func (d *Daemon) callerLimits() intake.Limits {
	return intake.Limits{HeadBytes: d.set.Limits.HeaderBytes, HeadTime: headerTimeout}
}

func (d *Daemon) addServer(g *run.Group, i int, h http.Handler) {
	srv := &http.Server{Handler: h, MaxHeaderBytes: d.set.Limits.HeaderBytes, ReadHeaderTimeout: headerTimeout, ErrorLog: d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	listener, shutdown := d.listeners[i], srv.Shutdown
	switch i {
	case 0:
		followed := inbound.Listen(listener, inbound.Options{Limits: d.callerLimits(), Log: d.log, OnRefused: d.callers.ObserveRefusedHead, OnOwn: d.callers.ObserveOwn, OnEndLost: d.callers.ObserveEndLost})
		followed.Configure(srv)
		listener, shutdown = followed, followed.Shutdown
	case 1:
		listener = d.peers.Meter().Listener(listener)
	}
	serve := func() error { return srv.Serve(listener) }
	if t := d.set.Operators.TLS; i == 2 && t != nil {
		serve = func() error { return srv.ServeTLS(d.listeners[i], t.Cert, t.Key) }
	}
	g.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = shutdown(ctx) // what has not ended in time is cut
		_ = srv.Close()
	})
}

// Phase returns the daemon's phase, from serving to the end of its shutdown.
func (d *Daemon) Phase() drain.Phase { return *d.phase.Load() }

func (d *Daemon) setPhase(p drain.Phase) { d.phase.Store(&p) }

// Stop begins the graceful shutdown and releases the leases that this daemon holds.
func (d *Daemon) Stop() {
	ttl := time.Duration(0)
	if s := d.rollout.Current(); s != nil {
		ttl = s.Bundle.AddressTTL.D()
	}
	d.mu.Lock()
	d.drain.Stop(time.Now(), ttl)
	d.setPhase(d.drain.Phase())
	placers := make([]*placer.Placer, 0, len(d.placers))
	for _, p := range d.placers {
		placers = append(placers, p)
	}
	d.mu.Unlock()
	d.log.Info(decisions.EventStop, "in_progress", d.callers.InProgress(), "address_ttl", ttl.String())
	d.gossip.Update(func(m *membership.Member) { m.Leaving = true })
	for _, p := range placers {
		p.Release()
	}
}

// errStopped ends the run group after a graceful shutdown.
var errStopped = errors.New("shutdown complete")

// IsStopped reports whether err, returned by Run, means that a graceful shutdown
// is complete.
func IsStopped(err error) bool { return errors.Is(err, errStopped) }

// drainTick is the interval between two steps of the drain machine.
const drainTick = 50 * time.Millisecond

func (d *Daemon) runDrain(ctx context.Context) error {
	t := time.NewTicker(drainTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if d.stepDrain(now) == drain.Done {
				return errStopped
			}
		}
	}
}

func (d *Daemon) stepDrain(now time.Time) drain.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := true
	for _, p := range d.placers {
		released = released && p.Released()
	}
	phase := d.drain.Step(now, d.callers.InProgress()+d.tunnels.Active(), released)
	if phase != d.Phase() {
		d.log.Info(decisions.EventPhase, "phase", phase, "in_progress", d.callers.InProgress())
	}
	d.setPhase(phase)
	return phase
}

// reviewInterval is how often gates are checked for waiting requests whose time is
// over.
const reviewInterval = 20 * time.Millisecond

func (d *Daemon) runReview(ctx context.Context) error {
	t := time.NewTicker(reviewInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			for _, g := range *d.gates.Load() {
				g.Review(now)
			}
			if n%reviewsPerLoadCheck == 0 {
				d.announceLoad()
			}
		}
	}
}

const (
	reviewsPerLoadCheck = 100 // gate reviews between two checks of the load level
	loadLevels          = 3   // the highest load level
)

// announceLoad publishes a coarse load level to the peers when it has changed.
func (d *Daemon) announceLoad() {
	level := min(loadLevels, loadLevels*d.callers.InProgress()/max(1, d.set.Limits.Connections/4))
	if d.gossip.Self().Load != level {
		d.gossip.Update(func(m *membership.Member) { m.Load = level })
	}
}

// hostOf returns the host name in a daemon's id.
func hostOf(id string) string {
	if i := strings.LastIndex(id, "-"); i >= 0 {
		return id[:i]
	}
	return id
}

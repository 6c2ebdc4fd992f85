// Package edgedaemon assembles a doorvalved process that reads its desired
// state and its endpoints from the platform's store.
package edgedaemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/coordinator"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/gossip"
	"github.com/doorvalve/doorvalve/driver/leaserelay"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/retries"
	"github.com/doorvalve/doorvalve/driver/storeview"
	"github.com/doorvalve/doorvalve/driver/streams"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/platform"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/edge"
	"github.com/doorvalve/doorvalve/transport/inbound"
	"github.com/doorvalve/doorvalve/transport/peers"
	"github.com/doorvalve/doorvalve/transport/tunnel"
)

const (
	// engineTimeout bounds each order to an engine and each report that it
	// returns: engines are a millisecond away and answer at once.
	engineTimeout = 300 * time.Millisecond
	// metricsInterval is how often metrics are passed to the reporter.
	metricsInterval = 5 * time.Second
	// memoryShare is the share of the process's memory limit that is set as
	// the soft limit of the garbage collector. The rest is for memory that the
	// collector does not count.
	memoryShare = 0.6
	// heldShare is the share of the process's memory limit that bodies of requests and
	// answers may take. A buffer that grows while it is read, as for bodies of unknown length, takes up
	// to 2.25 times its content for a moment: together 0.56, within memoryShare.
	heldShare = 0.25
	// callerSendBuffer is the size of the kernel's send buffer of a caller's connection, in
	// bytes (Linux doubles it). A buffer that the kernel may enlarge to megabytes would hold
	// content that does not count against the memory limit, and hide for long that a caller
	// reads slowly. At round trips of a millisecond it allows more than 100 MB a second.
	callerSendBuffer = 64 << 10
	// gcPercent is the growth of the heap, in percent, that starts the next
	// garbage collection.
	gcPercent = 100
	// flushShare is the share of the time that a stream's event may take
	// through the daemon (settings: timing.pass) for which events are buffered
	// before they are written.
	flushShare = 0.4
	// requestsPerDescriptor is the number of requests accepted at once for each
	// file descriptor: a request needs a connection to its caller and one to its
	// endpoint, and idle connections take descriptors too.
	requestsPerDescriptor = 0.3
	// tunnelsPerDescriptor is the number of connections relayed for other daemons for each file
	// descriptor. Each takes two, and the daemon's own requests need the rest.
	tunnelsPerDescriptor = 0.12
)

// Daemon is one doorvalved process.
type Daemon struct {
	// set are the settings that the daemon was started with.
	set settings.Edge
	// inForce are the settings in force; see Reload.
	inForce atomic.Pointer[settings.Edge]
	log     *decisions.Log
	self    string
	store   *platform.Store
	// generations tracks the highest generation of the store that this daemon
	// has received, from the store or from peers.
	generations *generations.Tracker
	view        *storeview.View
	gossip      *gossip.Gossip
	peers       *peers.Client
	balancer    *balance.Balancer
	retries     *retries.Controller
	quarantine  *quarantiner.Controller
	streams     *streams.Controller
	quotas      *quotas.Controller
	throttle    *throttle.Controller
	callers     *edge.Server
	metrics     tally.Scope
	reporter    promreporter.Reporter
	closer      io.Closer
	engines     *platform.EngineClient
	paths       *paths.Controller
	tunnels     *tunnel.Handler

	listeners listeners
	// inbound is the listener of callers.
	inbound *inbound.Listener
	// callerServer is shut down gracefully; the other servers are closed when
	// Run returns.
	callerServer *http.Server

	mu           sync.Mutex
	coordinators map[string]runningCoordinator
	fleets       *peers.Clients[fleetpb.Fleet]
	runCtx       context.Context
	stopStarted  atomic.Pointer[time.Time] // when the shutdown began; nil before that
	stopped      chan struct{}             // closed when the shutdown begins
	lastSent     map[string]int            // active models in the last demand message, by service; only runDemand uses it
	lists        endpointLists             // only runDemand uses it
	holders      holderHealth
	views        viewApplier
	vacancies    vacancies
	partitions   partitions
	retirements  retirements
}

type listeners struct{ callers, directory, readiness, peers, metrics net.Listener }

// New returns a daemon with its listeners open. Run serves them.
func New(set settings.Edge, log *decisions.Log) (*Daemon, error) {
	return NewWithDial(set, log, dial.TCP)
}

// NewWithDial is New for a daemon that opens its connections to endpoints with open.
func NewWithDial(set settings.Edge, log *decisions.Log, open dial.Func) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMB<<20) * memoryShare))
	tracker := backpressure.New(backpressure.Options{LeaveWithin: set.Timing.LeaveWithin.D(), Seed: uint64(time.Now().UnixNano())})
	d := &Daemon{
		set: set, log: log, self: set.Host + "-" + nonce(), coordinators: map[string]runningCoordinator{},
		lastSent: map[string]int{}, stopped: make(chan struct{}),
		peers: peers.NewClient(""), balancer: balance.New(set.FailureDomain, uint64(time.Now().UnixNano()), tracker),
		vacancies: vacancies{takeover: coordinator.TakeoverTime(set.Timing.OrderGap.D())},
	}
	d.inForce.Store(&set)
	d.fleets = d.peers.Fleets()
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.reporter = promreporter.NewReporter(promreporter.Options{Registerer: prometheus.NewRegistry()})
	d.metrics, d.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "doorvalve", CachedReporter: d.reporter, Separator: promreporter.DefaultSeparator, OmitCardinalityMetrics: true,
	}, metricsInterval)
	d.generations = generations.New(log, d.metrics)
	d.store = platform.NewStore(set.Store.Address, set.Store.Timeout.D(), d.generations, d.metrics)
	d.paths = paths.New(paths.Options{
		Self: d.self, FailureDomain: set.FailureDomain, Members: d.aliveMembers, Dial: open, Tunnel: &tunnel.Dialer{Open: dial.TCP, Self: d.self},
		Publish: func(e membership.Entry) { d.gossip.Set(e) }, Seed: uint64(time.Now().UnixNano()), Log: log, Metrics: d.metrics,
	})
	d.balancer.UsePaths(func(address string) bool { return d.paths.Path(address) != reach.None })
	d.tunnels = tunnel.NewHandler(tunnel.Options{
		Listed: d.paths.Listed, Dial: d.paths.DialOwn, Examine: d.paths.Examine, Limit: int64(float64(set.Limits.Descriptors) * tunnelsPerDescriptor), Closed: d.closedToCallers, Log: log, Metrics: d.metrics,
	})
	d.engines = platform.NewEngineClient(engineTimeout, d.paths.Transport(platform.EngineTransport(open)), d.paths.DialDirect, d.observeEngineAnswer)
	d.view = storeview.New(storeview.Options{
		Store: d.store, Decode: platform.DecodeDesiredState, Log: log, Self: d.self, Peer: d.anyPeer, Upstreams: d.upstreams,
		PropagationBound: min(set.Timing.LeaveWithin.D(), set.Timing.ApplyWithin.D()), Heartbeat: set.Timing.EndpointHeartbeat.D(), Generations: d.generations, Metrics: d.metrics,
		FirstStart: set.FirstStart, Records: d.store,
	})
	d.view.OnChange(d.applyView)
	d.gossip = gossip.New(hclog.NewNullLogger(), d.peers, d.seeds, gossip.Options(staleFact), d.member())
	d.quarantine = quarantiner.New(quarantiner.Options{
		Self: d.self, Members: d.alive, Peer: d.peers.Quarantines().To, Endpoint: d.endpointState, Software: d.endpointSoftware, Check: d.paths.Check, OnCrash: func(incarnation fleet.Incarnation) { d.balancer.MarkUnreachable(clock.Now(), incarnation) }, FirstStart: set.FirstStart, Store: d.store, Generations: d.generations, Log: log, Metrics: d.metrics,
	})
	d.streams = streams.New(streams.Options{
		Self: d.self, Members: d.alive, Present: d.aliveMembers, Peer: d.peers.Streams().To, ViewAge: d.endpointsAge, FirstStart: set.FirstStart, Store: d.store, Origins: d.store.StreamOrigins(), Generations: d.generations, Log: log, Metrics: d.metrics,
	})
	d.quotas = quotas.New(quotas.Options{
		Self: d.self, Bounds: quota.Bounds{Window: set.Quotas.Window.D(), Overage: set.Quotas.Overage, Slack: set.Quotas.Slack, NewOwnerShare: quota.DefaultNewOwnerShare},
		Members: d.gossip.Members, Revision: d.gossip.Revision, Directory: d.workspaces, Listed: d.endpointListed, Publish: d.gossip.Set, OnLimitChange: d.setEndpointLimit, Store: d.store, Generations: d.generations, Peer: d.peers.Quotas().To, Log: log, Metrics: d.metrics,
	})
	d.throttle = throttle.New(throttle.Options{
		Self: d.self, Tracker: tracker, Limits: d.quotas.Endpoints(), LastReady: d.endpointLastReady, Daemons: func() int { return len(d.alive()) }, Slots: d.endpointSlots, Listed: d.endpointListed, OnLeaving: d.view.ObserveLeaving, Publish: d.gossip.Set, Log: log, Metrics: d.metrics,
	})
	d.gossip.OnFact(d.quotas.Endpoints().ReceiveFact)
	d.gossip.OnFact(d.throttle.ReceiveFact)
	d.gossip.OnFact(d.paths.ReceiveFact)
	d.retries = retries.New(retries.Options{
		Limit: set.Retries.Limit(), FirstStart: set.FirstStart, Self: d.self, Store: d.store, Generations: d.generations,
		Members: d.aliveMembers, Configured: d.serviceConfigured, Log: log, Metrics: d.metrics,
	})
	d.callers = edge.New(edge.Options{
		FailureDomain: set.FailureDomain,
		StateAge:      d.stateAge, Access: accessBounds(&set), Quotas: d.quotas, Throttle: d.throttle,
		Table: d.view.Table, View: d.view.Endpoints, ViewAge: d.endpointsAge, Draining: d.draining, DrainDeadline: d.deadline, Dialect: platform.Dialect{}, Locator: d, Balancer: d.balancer,
		Retries: d.retries, Quarantine: d.quarantine, Streams: d.streams, Paths: d.paths, Log: log, Metrics: d.metrics,
		FlushEvery:  time.Duration(float64(set.Timing.Pass.D()) * flushShare),
		Daemons:     d.countDaemons,
		Connections: int64(float64(set.Limits.Descriptors) * requestsPerDescriptor),
		HeldBytes:   int64(float64(set.Limits.MemoryMB<<20) * heldShare),
	})
	d.inbound = d.followCallers()
	return d, nil
}

func nonce() string {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func (d *Daemon) listen() error {
	l := d.set.Listen
	for _, x := range []struct {
		to      *net.Listener
		address string
	}{
		{&d.listeners.callers, l.Callers}, {&d.listeners.directory, l.Directory}, {&d.listeners.readiness, l.Readiness},
		{&d.listeners.peers, l.Peers}, {&d.listeners.metrics, l.Metrics},
	} {
		if x.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", x.address)
		if err != nil {
			return err
		}
		*x.to = listener
	}
	return nil
}

// aliveMembers returns the daemons that are alive, those that are leaving among them.
func (d *Daemon) aliveMembers() []membership.Member {
	return membership.AliveMembers(d.gossip.Members())
}

func (d *Daemon) member() membership.Member {
	return membership.Member{ID: d.self, Host: d.set.Host, FailureDomain: d.set.FailureDomain, CallerAddress: d.set.Listen.Callers, PeerAddress: d.set.Listen.Peers, Capacity: d.set.Limits.Capacity()}
}

// countDaemons returns the number of daemons that are not known to be dead, without allocating: each request asks.
func (d *Daemon) countDaemons() int {
	n := 0
	members := d.gossip.Members()
	for i := range members {
		if members[i].Status != membership.Dead {
			n++
		}
	}
	return n
}

// seeds returns the addresses of the peers through which to join the
// membership: the seeds of the settings and the holders of the leases that this
// daemon has read.
func (d *Daemon) seeds(context.Context) []string {
	list := append([]string(nil), d.inForce.Load().Peers.Seeds...)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.coordinators {
		if h := c.Holder(); h != "" {
			list = append(list, h)
		}
	}
	return list
}

// applyView passes the newest desired state and endpoint view to the balancer
// and to the coordinators.
func (d *Daemon) applyView() {
	d.views.apply(func() (*routing.Table, *fleet.View) { return d.view.Table(), d.view.Endpoints() }, d.useView)
}

func (d *Daemon) useView(table *routing.Table, view *fleet.View) {
	d.paths.SetAddresses(addressesOf(view.ByID))
	d.balancer.Retain(view)
	d.streams.ObserveView(view)
	if table == nil {
		return
	}
	d.inbound.SetLimits(intakeLimits(table.Limits))
	d.streams.SetLongestStream(table.LongestStream())
	d.announceState(table.Version)
	d.retirements.observe(time.Now(), table)
	for name, svc := range table.Services {
		if svc.Engine == nil {
			continue
		}
		c := d.coordinatorFor(name)
		c.Configure(svc.Engine)
		c.SetEndpoints(view.ByService[name])
	}
}

// addressesOf returns the addresses of endpoints.
func addressesOf(endpoints map[string]*fleet.Endpoint) []string {
	list := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, e.Address)
	}
	return list
}

// announceState publishes, once, that this daemon has a desired state and can
// serve. Later versions are not published: each one would send a record of every
// member to every other member.
func (d *Daemon) announceState(version uint64) {
	if d.gossip.Self().Generation == 0 {
		d.gossip.Update(func(m *membership.Member) { m.Generation = version })
	}
}

// coordinatorFor returns this daemon's coordinator of a service, and creates it
// on first use.
func (d *Daemon) coordinatorFor(service string) *coordinator.Coordinator {
	d.mu.Lock()
	defer d.mu.Unlock()
	if running, ok := d.coordinators[service]; ok {
		return running.Coordinator
	}
	c := coordinator.New(coordinator.Options{
		Service: service, Self: d.set.Listen.Peers, Lease: leaserelay.New(d.store, d.leasePeers, d.generations, d.log), Engines: d.engines, OrderGap: d.set.Timing.OrderGap.D(),
		Planner:   residency.Options{InitialStoreConcurrency: d.set.Loads.AtOnce, RateWindow: d.set.Loads.Window.D(), RateFactor: d.set.Loads.Factor},
		Candidate: d.candidate, Resigns: d.resigns, OnLeaseChange: d.publishHolder, PeerState: d.leasePeerState, FirstStart: d.set.FirstStart, StoreConcurrency: d.storeConcurrency, OnStoreConcurrency: d.publishStoreConcurrency, Log: d.log, Metrics: d.metrics,
	})
	for incarnation, report := range d.quotas.Endpoints().Limited() {
		c.SetLimit(incarnation, report)
	}
	running := runningCoordinator{Coordinator: c}
	if d.runCtx != nil {
		var ctx context.Context
		ctx, running.end = context.WithCancel(d.runCtx)
		go c.Run(ctx)
	}
	d.coordinators[service] = running
	return c
}

// errStopped ends the run group after a graceful shutdown.
var errStopped = errors.New("shutdown complete")

// IsStopped reports whether err, returned by Run, means that a graceful shutdown
// is complete.
func IsStopped(err error) bool { return errors.Is(err, errStopped) }

// Run serves until a graceful shutdown is complete or ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = d.closer.Close() }()
	d.mu.Lock()
	d.runCtx = ctx
	d.mu.Unlock()
	var g run.Group
	d.callerServer = d.addServer(&g, d.inbound, d.callers.Handler())
	d.inbound.Configure(d.callerServer)
	d.addServer(&g, d.listeners.directory, platform.DirectoryHandler(d))
	d.addServer(&g, d.listeners.readiness, platform.ReadinessHandler(d))
	d.addServer(&g, d.listeners.peers, d.peerHandler())
	if d.listeners.metrics != nil {
		d.addServer(&g, d.listeners.metrics, d.reporter.HTTPHandler())
	}
	for _, actor := range []func(context.Context) error{
		d.gossip.Run, d.view.RunDesiredState, d.view.RunEndpoints, d.view.RunRelay, d.view.RunCatchUp, d.view.RunPeers, d.view.RunGeneration, d.quarantine.Run, d.streams.Run, d.quotas.Run, d.throttle.Run, d.retries.Run, d.paths.Run, d.runGauges, d.runDemand, d.runRetirements, d.runStop,
	} {
		actorCtx, stop := context.WithCancel(ctx)
		g.Add(func() error { return actor(actorCtx) }, func(error) { stop() })
	}
	d.log.Info(decisions.EventStart, "daemon", d.self, "callers", d.set.Listen.Callers, "peers", d.set.Listen.Peers, "failure_domain", d.set.FailureDomain, "store", d.set.Store.Address)
	err := g.Run()
	lost, skipped := d.log.Dropped()
	d.log.Info(decisions.EventStopped, "daemon", d.self, "reason", err, "lines_lost", lost, "lines_skipped", skipped)
	return err
}

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 32 << 10
)

// initialLimits are those of callers until the daemon has a desired state.
var initialLimits = intake.Limits{HeadBytes: maxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}

// followCallers returns the listener of callers, which keeps them to the limits of the desired state.
func (d *Daemon) followCallers() *inbound.Listener {
	return inbound.Listen(d.listeners.callers, inbound.Options{
		Limits: initialLimits, Notice: d.set.Timing.ApplyWithin.D(), SendBuffer: callerSendBuffer, Log: d.log, OnRefused: d.callers.ObserveRefusedHead, OnOwn: d.callers.ObserveOwn, OnEndLost: d.callers.ObserveEndLost,
	})
}

// intakeLimits returns the limits of callers' connections.
func intakeLimits(l routing.Limits) intake.Limits {
	return intake.Limits{HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
}

// addServer adds an actor to g that serves a listener.
func (d *Daemon) addServer(g *run.Group, l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	interrupted := make(chan struct{})
	g.Add(func() error {
		err := srv.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// Serve returns as soon as a graceful shutdown begins. This actor must
		// not end then, since that would end the group while requests are in
		// progress.
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		_ = srv.Close()
	})
	return srv
}

// peerHandler returns the handler of requests from other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetpb.FleetPathPrefix, peers.Bounded(fleetpb.NewFleetServer((*fleetServer)(d))))
	mux.Handle(quarantinepb.QuarantinePathPrefix, peers.Bounded(quarantinepb.NewQuarantineServer(d.quarantine)))
	mux.Handle(streampb.StreamsPathPrefix, peers.Bounded(streampb.NewStreamsServer(d.streams)))
	mux.Handle(quotapb.QuotasPathPrefix, peers.Bounded(quotapb.NewQuotasServer(d.quotas)))
	mux.Handle(tunnel.Path, d.tunnels)
	mux.Handle(peerpb.PeerPathPrefix, peers.Bounded(peerpb.NewPeerServer(&gossipServer{gossip: d.gossip})))
	return mux
}

// Package paths opens a daemon's connections to endpoints: over its own path, or relayed by another
// daemon that reaches the endpoint. It drives coordination/reach, tries lost paths until they work
// again, and tells the other daemons when this one has no path to the endpoints.
package paths

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/transport/tunnel"
)

const (
	// directTimeout bounds opening a connection to an endpoint over the own path. Round trips to
	// endpoints take a millisecond or two; an unreachable endpoint never answers.
	directTimeout = 300 * time.Millisecond
	// relayTimeout bounds asking one daemon for a relay. That daemon needs directTimeout if the
	// endpoint does not answer it.
	relayTimeout = directTimeout + 200*time.Millisecond
	// maxRelaysAsked bounds the daemons that are asked for one connection: where half of them have no
	// path either, one search in 64 finds none. searchTimeout is the time after which no further one is
	// asked.
	maxRelaysAsked = 6
	searchTimeout  = time.Second
	// unconfirmedTimeout and maxUnconfirmedAsked replace relayTimeout and maxRelaysAsked where the
	// endpoint may be down: a daemon with a path to it answers within some milliseconds, and the
	// request can go to another endpoint.
	unconfirmedTimeout  = 60 * time.Millisecond
	maxUnconfirmedAsked = 2
	// credibleFor is how long the result of a control connection counts.
	credibleFor = 200 * time.Millisecond
	// tick is the interval of the controller's loop while paths are lost.
	tick = 200 * time.Millisecond
	// restTick is the same while none is lost.
	restTick = time.Second
	// maxChecks bounds the paths that are checked when the loss of another one was confirmed.
	maxChecks = 16
)

// ErrNoPath is the error of a connection that could not be opened where it is not known whether the
// endpoint is up: this daemon has no path to it, and no other daemon could be asked that has one.
var ErrNoPath = errors.New("no path to the endpoint")

// errNotOpen is the error of a request that needs a connection where only open ones may be used.
var errNotOpen = errors.New("no open connection")

// Options are the dependencies of a Controller. The functions must be safe for concurrent use and
// cheap.
type Options struct {
	Self          string
	FailureDomain string
	// Members returns the daemons that are alive, this one and those that are leaving among them; nil:
	// there are no others.
	Members func() []membership.Member
	// Dial opens connections to endpoints over the own path.
	Dial dial.Func
	// Tunnel opens connections through other daemons.
	Tunnel *tunnel.Dialer
	// Publish sends a fact to all daemons.
	Publish func(membership.Entry)
	Clock   clock.Clock // nil: the system clock
	Seed    uint64
	Log     *decisions.Log
	Metrics tally.Scope
}

// Controller opens connections to endpoints. It is safe for concurrent use.
type Controller struct {
	opt     Options
	wake    chan struct{}
	tunnels atomic.Uint64 // number of tunnels opened, for their names
	metrics metrics

	transports transports

	mu         sync.Mutex
	table      *reach.Table
	anyLost    atomic.Bool // whether the table has lost paths; read by each request
	credible   bool        // result of the last control connection
	credibleAt time.Time
	logged     report // last logged
	published  publication
}

type metrics struct {
	relayed, relayFailed, trials tally.Counter
	lost, reached                tally.Gauge
	hop                          tally.Histogram
}

// New returns a controller whose own paths count as sound.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.Members == nil {
		opt.Members = func() []membership.Member { return nil }
	}
	m := opt.Metrics.SubScope("paths")
	return &Controller{
		opt: opt, wake: make(chan struct{}, 1), table: reach.New(opt.FailureDomain, opt.Seed), metrics: metrics{
			relayed: m.Counter("connections_relayed_by_others_total"), relayFailed: m.Counter("relays_failed_total"), trials: m.Counter("trials_total"),
			lost: m.Gauge("endpoints_not_reached"), reached: m.Gauge("endpoints_reached"),
			hop: m.Histogram("relay_open_seconds", tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 12)),
		},
	}
}

// SetAddresses sets the addresses of the listed endpoints.
func (c *Controller) SetAddresses(list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetAddresses(list)
	c.updateLost()
}

// Listed reports whether an endpoint is listed at an address.
func (c *Controller) Listed(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Listed(address)
}

// Path returns how a connection to an address is opened now.
func (c *Controller) Path(address string) reach.Path {
	if !c.anyLost.Load() {
		return reach.Direct
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Path(c.opt.Clock(), address)
}

// Lost reports whether the own path to an address is lost although another daemon reaches it.
func (c *Controller) Lost(address string) bool {
	return c.ifAnyLost(func() bool { return c.table.Lost(address) })
}

// SilentlyLost reports whether the own path to an address is silent although another daemon reaches it.
func (c *Controller) SilentlyLost(address string) bool {
	return c.ifAnyLost(func() bool { return c.table.SilentlyLost(address) })
}

// unconfirmed reports whether the own path to an address is silent and it is not known whether another
// daemon reaches it.
func (c *Controller) unconfirmed(address string) bool {
	return c.ifAnyLost(func() bool { return c.table.Unconfirmed(address) })
}

// Partitioned reports whether this daemon has lost its path to most of the given addresses, although
// another daemon reaches some.
func (c *Controller) Partitioned(addresses []string) bool {
	return c.ifAnyLost(func() bool { return c.table.Partitioned(addresses) })
}

// ifAnyLost calls a condition of the table with the mutex held. It takes no lock and returns false while
// no path is lost.
func (c *Controller) ifAnyLost(condition func() bool) bool {
	if !c.anyLost.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return condition()
}

// IsPartitioned reports whether another daemon has said that it has no path to the endpoints.
func (c *Controller) IsPartitioned(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.IsPartitioned(id)
}

// View returns the number of listed addresses, and those to which the own path is lost.
func (c *Controller) View() (listed int, lost []reach.LostPath) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed, _ = c.table.Counts()
	return listed, c.table.LostPaths(c.opt.Clock())
}

// updateLost updates what requests read. The caller holds the mutex.
func (c *Controller) updateLost() {
	_, lost := c.table.Counts()
	c.anyLost.Store(lost > 0)
}

// DialDirect opens a connection over the own path and records the result.
func (c *Controller) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	conn, err := c.opt.Dial(limited, network, address)
	switch {
	case err == nil:
		c.observeOpened(address)
	case dial.IsRefused(err):
		c.observeFailed(address, reach.Refused)
	case time.Since(started) >= directTimeout: // a caller that leaves sooner shows nothing
		c.observeFailed(address, reach.Silent)
	}
	return conn, err
}

// DialOwn is DialDirect for the connections of other daemons: it fails at once if the own path is
// lost.
func (c *Controller) DialOwn(ctx context.Context, network, address string) (net.Conn, error) {
	if c.Path(address) != reach.Direct {
		return nil, noPath(network)
	}
	return c.DialDirect(ctx, network, address)
}

func noPath(network string) error { return &net.OpError{Op: "dial", Net: network, Err: ErrNoPath} }

func (c *Controller) observeOpened(address string) {
	if !c.anyLost.Load() {
		return
	}
	c.mu.Lock()
	regained := c.table.ObserveOpened(c.opt.Clock(), address)
	c.updateLost()
	c.mu.Unlock()
	if regained {
		wake.Once(c.wake)
	}
}

func (c *Controller) observeFailed(address string, failure reach.Failure) {
	c.mu.Lock()
	first := c.table.ObserveFailed(c.opt.Clock(), address, failure)
	c.updateLost()
	c.mu.Unlock()
	if first {
		wake.Once(c.wake)
	}
}

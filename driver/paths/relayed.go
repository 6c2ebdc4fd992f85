package paths

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/transport/tunnel"
)

// relayedConn is a connection through another daemon.
type relayedConn struct {
	net.Conn
	Hop
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// Hop describes a relayed connection.
type Hop struct {
	Relay  string // id of the daemon that relays it
	Tunnel string // its name in the logs of both daemons
}

// dialRelayed opens a connection through another daemon. It asks several in turn.
func (c *Controller) dialRelayed(ctx context.Context, network, address string) (net.Conn, error) {
	var asked []string
	limits := c.relayLimits(address)
	started := time.Now()
	for len(asked) < limits.asked && time.Since(started) < searchTimeout && ctx.Err() == nil {
		relay, ok := c.choose(address, asked)
		if !ok {
			break
		}
		asked = append(asked, relay.ID)
		conn, err := c.dialThrough(ctx, relay, address, limits)
		if err == nil {
			return conn, nil
		}
	}
	if ctx.Err() == nil {
		c.mu.Lock()
		c.table.ObserveNoRelay(c.opt.Clock(), address)
		c.mu.Unlock()
	}
	return nil, noPath(network)
}

func (c *Controller) choose(address string, asked []string) (reach.Relay, bool) {
	relays := c.relays()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Choose(c.opt.Clock(), address, relays, asked)
}

// relays returns the other daemons.
func (c *Controller) relays() []reach.Relay {
	var list []reach.Relay
	for _, m := range c.opt.Members() {
		if m.ID != c.opt.Self {
			list = append(list, relayOf(m))
		}
	}
	return list
}

func relayOf(m membership.Member) reach.Relay {
	return reach.Relay{ID: m.ID, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain, Capacity: m.Capacity, Stopping: m.Leaving}
}

// relayLimits bound the search for a relay.
type relayLimits struct {
	timeout time.Duration // for each daemon that is asked
	asked   int           // daemons
	// unanswered is what a daemon that has not answered in time has shown.
	unanswered reach.Result
}

func (c *Controller) relayLimits(address string) relayLimits {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Unconfirmed(address) {
		return relayLimits{unconfirmedTimeout, maxUnconfirmedAsked, reach.Unreached}
	}
	return relayLimits{relayTimeout, maxRelaysAsked, reach.Failed}
}

func (c *Controller) dialThrough(ctx context.Context, relay reach.Relay, address string, limits relayLimits) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, limits.timeout)
	defer cancel()
	started := time.Now()
	name := c.nextTunnel()
	conn, err := c.opt.Tunnel.Dial(limited, relay.PeerAddress, address, name)
	if err != nil {
		c.metrics.relayFailed.Inc(1)
		var failure *tunnel.Error
		switch {
		case ctx.Err() != nil:
		case limited.Err() != nil:
			c.observeRelay(address, relay.ID, limits.unanswered)
		case errors.As(err, &failure):
			c.observeRelay(address, relay.ID, failure.Result)
		}
		return nil, err
	}
	c.metrics.relayed.Inc(1)
	c.metrics.hop.RecordDuration(time.Since(started))
	c.observeRelay(address, relay.ID, reach.Opened)
	return &relayedConn{Conn: conn, Hop: Hop{relay.ID, name}, closed: func() { c.relayClosed(relay.ID) }}, nil
}

func (c *Controller) relayClosed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RelayClosed(id)
}

// nextTunnel returns the name of the next relayed connection in the logs of both daemons.
func (c *Controller) nextTunnel() string { return fmt.Sprintf("%s-%d", c.opt.Self, c.tunnels.Add(1)) }

// observeRelay records what a relay answered. The first connection relayed to an address confirms that
// the own path is lost: the paths to the other endpoints are then checked, too.
func (c *Controller) observeRelay(address, id string, r reach.Result) {
	c.mu.Lock()
	confirmed := r == reach.Opened && !c.table.Lost(address)
	c.table.ObserveRelay(c.opt.Clock(), address, id, r)
	confirmed = confirmed && c.table.Lost(address)
	c.mu.Unlock()
	if confirmed {
		wake.Once(c.wake)
		c.checkOthers()
	}
}

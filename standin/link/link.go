// Package link stands in for the network between daemons and endpoints. Each pair of a daemon and an
// endpoint's address has a link of its own, whose faults are injected without the processes at
// either end taking part.
package link

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/doorvalve/doorvalve/internal/dial"
)

// Mode is the state of a link.
type Mode int

// The modes of a link.
const (
	// Up: connections are opened and bytes pass.
	Up Mode = iota
	// Refused: new connections are refused, open ones live on.
	Refused
	// Reset: new connections are refused, open ones are reset.
	Reset
	// Silent: connections hang. Bytes that were sent meanwhile arrive when the link is up again.
	Silent
)

// String returns the name of the mode.
func (m Mode) String() string { return [...]string{"up", "refused", "reset", "silent"}[m] }

// Network holds the links. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	links map[pair]*state
}

type pair struct{ daemon, address string }

// state is the state of one link.
type state struct {
	mode    Mode
	changed chan struct{} // closed when mode changes
	conns   map[*conn]bool
	opened  int
}

// New returns a network whose links are all up.
func New() *Network { return &Network{links: map[pair]*state{}} }

func (n *Network) link(daemon, address string) *state {
	p := pair{daemon, address}
	l := n.links[p]
	if l == nil {
		l = &state{changed: make(chan struct{}), conns: map[*conn]bool{}}
		n.links[p] = l
	}
	return l
}

// Set changes the link between a daemon and an endpoint's address.
func (n *Network) Set(daemon, address string, mode Mode) {
	n.mu.Lock()
	l := n.link(daemon, address)
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	var reset, held []*conn
	for c := range l.conns {
		if mode == Reset {
			reset = append(reset, c)
		} else if mode != Silent {
			held = append(held, c)
		}
	}
	n.mu.Unlock()
	for _, c := range reset {
		c.reset()
	}
	for _, c := range held {
		c.flush()
	}
}

// Opened returns how many connections a daemon has opened to an endpoint's address.
func (n *Network) Opened(daemon, address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(daemon, address).opened
}

// current returns a link's mode, and a channel that is closed when it changes.
func (n *Network) current(l *state) (Mode, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.mode, l.changed
}

// Dial returns the function with which a daemon opens connections to endpoints.
func (n *Network) Dial(daemon string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.link(daemon, address)
		n.mu.Unlock()
		for mode, changed := n.current(l); mode != Up; mode, changed = n.current(l) {
			if mode != Silent {
				return nil, dialError(network, os.NewSyscallError("connect", syscall.ECONNREFUSED))
			}
			select {
			case <-ctx.Done():
				return nil, dialError(network, os.ErrDeadlineExceeded)
			case <-changed:
			}
		}
		raw, err := openTCP(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, network: n, link: l, closed: make(chan struct{})}
		n.mu.Lock()
		l.conns[c] = true
		l.opened++
		n.mu.Unlock()
		return c, nil
	}
}

// openTCP opens a connection as daemons do.
var openTCP = dial.New(&net.Dialer{KeepAlive: -1})

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

// conn is a connection over a link.
type conn struct {
	net.Conn
	network *Network
	link    *state
	once    sync.Once
	// wasReset is set before Conn is closed to reset it.
	wasReset atomic.Bool
	closed   chan struct{}

	mu   sync.Mutex
	held []byte // written while the link was silent
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for mode, changed := c.network.current(c.link); mode == Silent; mode, changed = c.network.current(c.link) {
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if err != nil && c.wasReset.Load() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mode, _ := c.network.current(c.link); mode == Silent {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// flush sends what was written while the link was silent.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.held) // an error shows at the next write
	c.held = nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.link.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// reset resets the connection at both ends.
func (c *conn) reset() {
	c.wasReset.Store(true)
	SetReset(c.Conn)
	_ = c.Conn.Close() // the owner of the connection closes c
}

// SetReset makes the close of a connection reset it. It looks for the TCP connection below those that name what is
// below them, as tls.Conn does.
func SetReset(c net.Conn) {
	for {
		switch at := c.(type) {
		case interface{ NetConn() net.Conn }:
			c = at.NetConn()
			continue
		case *net.TCPConn:
			_ = at.SetLinger(0)
		}
		return
	}
}

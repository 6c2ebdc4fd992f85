// Package meter counts the bytes of a daemon's control traffic: calls to the platform, to peers and
// to endpoints, without callers' requests.
package meter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/doorvalve/doorvalve/internal/dial"
)

// Meter counts the bytes of connections in both directions. The zero value is ready to use. It is
// safe for concurrent use.
type Meter struct{ in, out atomic.Int64 }

// Counts holds a meter's totals.
type Counts struct {
	In  int64 `json:"in_bytes"`
	Out int64 `json:"out_bytes"`
}

// Counts returns the totals.
func (m *Meter) Counts() Counts { return Counts{In: m.in.Load(), Out: m.out.Load()} }

// Dial returns a dial function whose connections, opened by open, are counted.
func (m *Meter) Dial(open dial.Func) dial.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{c, m}, nil
	}
}

// Listener returns a listener that counts the connections of l.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{l, m} }

type listener struct {
	net.Listener
	m *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.m}, nil
}

type conn struct {
	net.Conn
	m *Meter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

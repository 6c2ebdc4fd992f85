// Package inbound follows the connections of callers. net/http tells a handler only that a caller's bytes have ended; this
// package tells how.
package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
)

// End is how the bytes of a caller have ended.
type End int

// The ends of a caller's bytes.
const (
	// NotEnded: the caller may send more.
	NotEnded End = iota
	// SendingClosed: the caller has closed its sending side. It may read on, or have closed the connection: the two
	// look the same until something is written.
	SendingClosed
	// Broken: the connection was reset, or this daemon has closed it.
	Broken
)

// String returns the name used in logs.
func (e End) String() string {
	return [...]string{"not-ended", "sending-side-closed", "broken"}[e]
}

// Conn is the connection of a caller. It is safe for concurrent use.
type Conn struct {
	*net.TCPConn
	ended chan struct{} // see Ended

	mu  sync.Mutex
	end End
}

// Listen returns a listener whose connections are followed. l accepts TCP connections.
func Listen(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &Conn{TCPConn: tcp, ended: make(chan struct{})}, nil
}

type contextKey struct{}

// WithConn returns a context of the requests on a connection, from which Of returns it.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if followed, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, followed)
	}
	return ctx
}

// Of returns the connection of a request; nil if its server does not follow connections.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}

// Read implements net.Conn. It records how the caller's bytes end.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded): // net/http interrupts its reads by a deadline
	case errors.Is(err, io.EOF):
		c.setEnd(SendingClosed)
	default:
		c.setEnd(Broken)
	}
	return n, err
}

func (c *Conn) setEnd(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == NotEnded {
		close(c.ended)
	}
	c.end = max(c.end, end)
}

// End returns how the caller's bytes have ended. A reset after SendingClosed shows in writes only.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Ended returns a channel that is closed when the caller's bytes have ended.
func (c *Conn) Ended() <-chan struct{} { return c.ended }

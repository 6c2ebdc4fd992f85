// Package dial opens connections to endpoints.
package dial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Func opens a connection, like net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// receiveBuffer is the size of the kernel's receive buffer of a connection, in bytes (Linux doubles it). A buffer that
// the kernel may enlarge to megabytes would take them from an endpoint that sends without end before the connection is
// closed. At round trips of a millisecond it allows more than 100 MB a second.
const receiveBuffer = 128 << 10

// TCP opens connections over TCP, without keep-alive probes.
var TCP = New(&net.Dialer{KeepAlive: -1, Control: boundReceiveBuffer})

// New returns a function that opens connections with d. All connections on which a daemon reads answers are opened by
// such a function: they end with io.EOF only if the peer has closed its side, see stickyConn.
func New(d *net.Dialer) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &stickyConn{Conn: c}, nil
	}
}

// boundReceiveBuffer sets the receive buffer before the connection is opened, when its size is told to the other side.
func boundReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // without it, the default holds
	})
}

// Within returns f with a bound on the time of each call.
func (f Func) Within(timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f(ctx, network, address)
	}
}

// IsRefused reports whether an error means that nothing listens at the address, or that something on
// the way rejects the connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsDialError reports whether an error means that no connection was opened.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

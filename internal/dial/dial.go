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

// TCP opens connections over TCP, without keep-alive probes.
var TCP Func = (&net.Dialer{KeepAlive: -1}).DialContext

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

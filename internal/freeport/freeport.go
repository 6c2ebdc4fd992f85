// Package freeport finds ports for the daemons that tests start.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the range that the kernel uses for outgoing connections,
// so that no connection takes a port between its choice here and its use by a
// daemon.
const (
	firstPort = 15000
	lastPort  = 32000
)

// spread separates the first ports of test processes that run at the same time:
// neighbouring process ids start this many ports apart, more than a soak uses.
const spread = 997

var next atomic.Int64

func init() { next.Store(int64(os.Getpid() * spread % (lastPort - firstPort))) }

// ErrNone is returned by Address if all ports are in use.
var ErrNone = errors.New("no free port")

// Address returns a loopback address on which nothing listens. Each call returns a
// different port until all have been used.
func Address() (string, error) {
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", ErrNone
}

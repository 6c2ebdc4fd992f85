// Package freeport finds ports for the daemons that tests start.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports below the range from which the kernel takes those of outgoing
// connections, so that none of these takes a port between its choice here and
// its use by a daemon.
const (
	firstPort = 15000
	lastPort  = 32000
)

// spread keeps test processes that run at the same time apart.
const spread = 37

var next atomic.Int64

func init() { next.Store(int64(os.Getpid() * spread % (lastPort - firstPort))) }

// ErrNone says that all ports are in use.
var ErrNone = errors.New("no free port")

// Address returns a loopback address on which nothing listens, another one at
// each call.
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

// Package tunnel lets a daemon that has no path to an endpoint open connections there through another
// daemon. The connection carries the bytes of both directions unchanged: all decisions about a request
// stay with the daemon that serves its caller. A daemon relays over its own path only, so that there is
// never a second hop.
package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/internal/dial"
)

// Path is the path of the handler on the listener for peers.
const Path = "/tunnel/v1"

const (
	// protocolName is the protocol that a connection is upgraded to.
	protocolName = "doorvalve-tunnel"
	// headerAddress names the address of the endpoint, headerTunnel the connection in the logs of both
	// daemons, and headerFrom the daemon that asks.
	headerAddress = "Doorvalve-Tunnel-Address"
	headerTunnel  = "Doorvalve-Tunnel-Id"
	headerFrom    = "Doorvalve-Tunnel-From"
	// headerResult marks the answers of a daemon that relays. Others answer 404 without it.
	headerResult = "Doorvalve-Tunnel-Result"
)

// The values of headerResult.
const (
	resultOpened    = "opened"
	resultUnreached = "unreached"
	resultBusy      = "busy"
	resultUnknown   = "unknown-endpoint"
	resultInvalid   = "invalid"
)

// Error is the failure to open a relayed connection.
type Error struct {
	Result reach.Result
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Dialer opens relayed connections.
type Dialer struct {
	// Open opens connections to other daemons.
	Open dial.Func
	// Authenticate adds the daemons' shared secret to a request; nil if there is none.
	Authenticate func(http.Header)
	// Self is the id of this daemon.
	Self string
}

// Dial opens a connection to the address of an endpoint through the daemon at a peer address. tunnel
// names the connection in the logs of both daemons. It fails with an *Error.
func (d *Dialer) Dial(ctx context.Context, peer, address, tunnel string) (net.Conn, error) {
	c, err := d.Open(ctx, "tcp", peer)
	if err != nil {
		return nil, &Error{reach.Failed, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	buffered, err := d.upgrade(c, peer, address, tunnel)
	if !stop() {
		err = &Error{reach.Failed, context.Cause(ctx)}
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if buffered.Buffered() > 0 {
		return &bufferedConn{c, buffered}, nil
	}
	return c, nil
}

// upgrade asks a daemon to relay the connection c.
func (d *Dialer) upgrade(c net.Conn, peer, address, tunnel string) (*bufio.Reader, error) {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: peer, Path: Path}, Host: peer, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocolName}, headerAddress: {address}, headerTunnel: {tunnel}, headerFrom: {d.Self}},
	}
	if d.Authenticate != nil {
		d.Authenticate(req.Header)
	}
	if err := req.Write(c); err != nil {
		return nil, &Error{reach.Failed, err}
	}
	r := bufio.NewReaderSize(c, answerBuffer)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, &Error{reach.Failed, err}
	}
	result := resp.Header.Get(headerResult)
	if resp.StatusCode == http.StatusSwitchingProtocols && result == resultOpened {
		return r, nil
	}
	_ = resp.Body.Close()
	return nil, &Error{resultOf(result), fmt.Errorf("relay answered %d %q", resp.StatusCode, result)}
}

// answerBuffer is the size of the buffer for the answer's header.
const answerBuffer = 512

func resultOf(result string) reach.Result {
	switch result {
	case resultUnreached, resultUnknown:
		return reach.Unreached
	case resultBusy:
		return reach.Busy
	case resultInvalid:
		return reach.Failed
	}
	return reach.Unsupported
}

// bufferedConn is a connection of which bytes have been read already.
type bufferedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(b []byte) (int, error) { return c.r.Read(b) }

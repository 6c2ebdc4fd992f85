// Package tunnel lets a daemon that has no path to an endpoint open connections there through another
// daemon. The connection carries the bytes of both directions, those from the endpoint in frames: all
// decisions about a request stay with the daemon that serves its caller. A daemon relays over its own path
// only, so that there is never a second hop.
package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/internal/bounded"
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
	// headerExamine asks what the daemon sees of the endpoint, in place of a connection. The answer
	// has headerRefusedMs if the endpoint refuses it: since how many milliseconds.
	headerExamine   = "Doorvalve-Tunnel-Examine"
	headerRefusedMs = "Doorvalve-Tunnel-Refused-Ms"
	// headerFrames asks for frames, and says in the answer that they follow. Daemons of versions that
	// know no frames leave it out.
	headerFrames = "Doorvalve-Tunnel-Frames"
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
	header := d.header(address, tunnel)
	header.Set(headerFrames, "1")
	resp, buffered, err := d.ask(ctx, c, peer, header)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	result := resp.Header.Get(headerResult)
	if resp.StatusCode != http.StatusSwitchingProtocols || result != resultOpened {
		_ = resp.Body.Close()
		_ = c.Close()
		return nil, &Error{resultOf(result), answerError(resp)}
	}
	if resp.Header.Get(headerFrames) == "" {
		return &unframedConn{c, buffered}, nil
	}
	return &framedConn{Conn: c, r: buffered}, nil
}

// Examine asks the daemon at a peer address what it sees of the endpoint at an address. name is that of
// the question in the logs of both daemons.
func (d *Dialer) Examine(ctx context.Context, peer, address, name string) (reach.Observation, error) {
	c, err := d.Open(ctx, "tcp", peer)
	if err != nil {
		return reach.Observation{}, err
	}
	defer func() { _ = c.Close() }()
	header := d.header(address, name)
	header.Set(headerExamine, "1")
	resp, _, err := d.ask(ctx, c, peer, header)
	if err != nil {
		return reach.Observation{}, err
	}
	_ = resp.Body.Close()
	switch resp.Header.Get(headerResult) {
	case resultOpened:
		return reach.Observation{Reached: true}, nil
	case resultUnreached:
		return readRefusal(resp.Header)
	}
	return reach.Observation{}, answerError(resp)
}

// readRefusal reads headerRefusedMs.
func readRefusal(h http.Header) (reach.Observation, error) {
	value := h.Get(headerRefusedMs)
	if value == "" {
		return reach.Observation{}, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return reach.Observation{}, err
	}
	return reach.Observation{Refused: true, Age: time.Duration(ms) * time.Millisecond}, nil
}

func answerError(resp *http.Response) error {
	return fmt.Errorf("relay answered %d %q", resp.StatusCode, resp.Header.Get(headerResult))
}

func (d *Dialer) header(address, name string) http.Header {
	h := http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocolName}, headerAddress: {address}, headerTunnel: {name}, headerFrom: {d.Self}}
	if d.Authenticate != nil {
		d.Authenticate(h)
	}
	return h
}

// ask sends a request on the connection c and reads the answer's header. It fails with an *Error.
func (d *Dialer) ask(ctx context.Context, c net.Conn, peer string, header http.Header) (*http.Response, *bufio.Reader, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: peer, Path: Path}, Host: peer, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	head := &io.LimitedReader{R: c, N: bounded.MaxHeadBytes + frameBytes} // r may read frames ahead
	r := bufio.NewReaderSize(head, frameBytes)
	err := req.Write(c)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(r, req)
	}
	if err == nil {
		err = bounded.CheckHead(resp)
	}
	head.N = math.MaxInt64
	if !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, nil, &Error{reach.Failed, err}
	}
	return resp, r, nil
}

func resultOf(result string) reach.Result {
	switch result {
	case resultUnreached:
		return reach.Unreached
	case resultUnknown:
		return reach.NotListed
	case resultBusy:
		return reach.Busy
	case resultInvalid:
		return reach.Failed
	}
	return reach.Unsupported
}

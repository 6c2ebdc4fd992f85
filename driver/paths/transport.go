package paths

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
)

// Transport sends requests to endpoints over the own path, or relayed by another daemon. A request
// that no connection was opened for has not been sent.
type Transport struct {
	paths   *Controller
	direct  *http.Transport
	relayed *http.Transport
}

// Transport is RoundTripper without a wrapper.
func (c *Controller) Transport(t *http.Transport) *Transport { return c.transport(t, nil) }

// RoundTripper implements dial.Transports.
func (c *Controller) RoundTripper(t *http.Transport, wrap func(dial.Func) dial.Func) http.RoundTripper {
	return c.transport(t, wrap)
}

func (c *Controller) transport(t *http.Transport, wrap func(dial.Func) dial.Func) *Transport {
	direct, relayed := bounded.Head(t.Clone()), bounded.Head(t.Clone())
	direct.DialContext = dial.Wrap(func(ctx context.Context, network, address string) (net.Conn, error) {
		if ctx.Value(openOnly{}) != nil {
			return nil, errNotOpen
		}
		return c.DialDirect(ctx, network, address)
	}, wrap)
	relayed.DialContext = dial.Wrap(c.dialRelayed, wrap)
	c.transports.add(relayed)
	return &Transport{c, direct, relayed}
}

// openOnly is the key of a context in which no connection is opened.
type openOnly struct{}

// RoundTrip implements http.RoundTripper. req.URL.Host is the address of the endpoint.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	var own error // of the own path
	switch t.paths.Path(address) {
	case reach.Direct:
		resp, err := bounded.RoundTrip(t.direct, req)
		if err == nil || !dial.IsDialError(err) || req.Context().Err() != nil {
			return resp, err
		}
		own = err
	case reach.OpenOrRelayed:
		resp, err := bounded.RoundTrip(t.direct, req.WithContext(context.WithValue(req.Context(), openOnly{}, true)))
		if !errors.Is(err, errNotOpen) {
			return resp, err
		}
	case reach.None:
		return nil, noPath("tcp")
	}
	resp, err := bounded.RoundTrip(t.relayed, t.trace(req))
	if err != nil && dial.IsDialError(err) && req.Context().Err() == nil {
		err = t.paths.explain(req.Context(), "tcp", address, own)
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections of the own paths.
func (t *Transport) CloseIdleConnections() { t.direct.CloseIdleConnections() }

type observerKey struct{}

// WithObserver returns a context for requests; observe is called with the hop of those that are
// relayed.
func WithObserver(ctx context.Context, observe func(Hop)) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

// trace adds to a request that its observer learns the connection.
func (t *Transport) trace(req *http.Request) *http.Request {
	observe, ok := req.Context().Value(observerKey{}).(func(Hop))
	if !ok {
		return req
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*relayedConn); ok {
			observe(c.Hop)
		}
	}}))
}

// transports are those whose connections are relayed.
type transports struct {
	mu   sync.Mutex
	list []*http.Transport
}

func (t *transports) add(relayed *http.Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, relayed)
}

func (t *transports) closeIdleRelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, relayed := range t.list {
		relayed.CloseIdleConnections()
	}
}

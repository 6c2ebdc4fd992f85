// Package engine is the client for the control of model engines and plain services: it reads their
// state and sends orders. Callers' requests go through package proxy.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/transport/meter"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("engine")

// MaxIdlePerEndpoint bounds the idle connections to one endpoint.
const MaxIdlePerEndpoint = 4

// maxStateBytes bounds the body of an endpoint's answer. The state of an engine has some hundred bytes for each unit.
const maxStateBytes = 1 << 20

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	meter meter.Meter

	mu   sync.Mutex
	last map[string]cached // last state received, by address
}

// cached is an engine's state with its entity tag.
type cached struct {
	etag  string
	state protocol.EngineState
}

// New returns a client whose calls time out after timeout.
func New(timeout time.Duration, transports dial.Transports) *Client {
	c := &Client{last: map[string]cached{}}
	t := transports.RoundTripper(&http.Transport{MaxIdleConnsPerHost: MaxIdlePerEndpoint, IdleConnTimeout: 30 * time.Second}, c.meter.Dial)
	c.http = &http.Client{Transport: bounded.Transport{RoundTripper: t, MaxBody: maxStateBytes}, Timeout: timeout}
	return c
}

// Bytes returns the number of bytes exchanged with endpoints.
func (c *Client) Bytes() meter.Counts { return c.meter.Counts() }

// State returns an engine's state. If the state has not changed since the previous call, the engine
// answers without a body.
func (c *Client) State(ctx context.Context, e bundle.Endpoint) (protocol.EngineState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/state", nil)
	if err != nil {
		return protocol.EngineState{}, Error.Wrap(err)
	}
	c.mu.Lock()
	last := c.last[e.Address]
	c.mu.Unlock()
	if last.etag != "" {
		req.Header.Set("If-None-Match", last.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return protocol.EngineState{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return last.state, nil
	case http.StatusOK:
	default:
		return protocol.EngineState{}, Error.New("state of %s: status %d", e.Name, resp.StatusCode)
	}
	var s protocol.EngineState
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, Error.Wrap(err)
	}
	c.mu.Lock()
	c.last[e.Address] = cached{etag: resp.Header.Get("ETag"), state: s}
	c.mu.Unlock()
	return s, nil
}

// Health returns the state of a plain service's endpoint in the form of an engine's state, with the
// service as the only unit. An endpoint that is not healthy is an error.
func (c *Client) Health(ctx context.Context, e bundle.Endpoint, service string) (protocol.EngineState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/healthz", nil)
	if err != nil {
		return protocol.EngineState{}, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return protocol.EngineState{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return protocol.EngineState{}, Error.New("health of %s: status %d", e.Name, resp.StatusCode)
	}
	return protocol.EngineState{
		Endpoint: e.Name, Slots: e.Slots, Leaving: resp.Header.Get(protocol.HeaderLeaving) == "true",
		Units: []protocol.EngineUnit{{Unit: service, Status: protocol.UnitReady}},
	}, nil
}

// Order sends an order. sent is false if the order has certainly not reached the engine.
func (c *Client) Order(ctx context.Context, address string, o protocol.Order) (sent bool, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return false, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return false, Error.Wrap(err)
	}
	req.GetBody = nil // so that the transport never resends the order
	resp, err := c.http.Do(req)
	if err != nil {
		return !dial.IsDialError(err), Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusAccepted {
		return true, Error.New("order %s %s: status %d", o.Kind, o.Unit, resp.StatusCode)
	}
	return true, nil
}

// Package peers carries the calls between daemons.
package peers

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/transport/meter"
	"github.com/doorvalve/doorvalve/transport/silence"
)

// CallTimeout bounds each call between daemons.
const CallTimeout = 2 * time.Second

// Client keeps one twirp client for each address. It is safe for concurrent
// use.
type Client struct {
	http    *http.Client
	meter   meter.Meter
	mu      sync.Mutex
	clients map[string]peerpb.Peer
}

// tokenHeader carries the secret that all daemons share.
const tokenHeader = "Doorvalve-Peer-Token"

// withToken adds the secret to each call.
type withToken struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (w withToken) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context()) // a RoundTripper must not change the request
	r.Header.Set(tokenHeader, w.token)
	return w.next.RoundTrip(r)
}

// Guard refuses calls without the secret; an empty one lets all in.
func Guard(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(r.Header.Get(tokenHeader)))
		if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
			http.Error(w, "the daemons' shared token is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// NewClient returns a client that shows the token, if any.
func NewClient(token string) *Client {
	c := &Client{clients: map[string]peerpb.Peer{}}
	t := silence.Transport{Transport: &http.Transport{DialContext: c.meter.Dial(CallTimeout), MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
	c.http = &http.Client{Transport: t, Timeout: CallTimeout}
	if token != "" {
		c.http.Transport = withToken{token, t}
	}
	return c
}

// Meter returns the meter of the connections to and from peers.
func (c *Client) Meter() *meter.Meter { return &c.meter }

// maxClients bounds the cache; it is emptied when daemons have come and gone.
const maxClients = 1024

// To returns the client for a daemon's peer address.
func (c *Client) To(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.clients[address]
	if p == nil {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		p = peerpb.NewPeerProtobufClient("http://"+address, c.http)
		c.clients[address] = p
	}
	return p
}

// HTTP returns the client that carries the calls.
func (c *Client) HTTP() *http.Client { return c.http }

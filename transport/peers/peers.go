// Package peers provides the clients of other daemons, and the authentication of calls between
// daemons.
package peers

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/transport/meter"
	"github.com/doorvalve/doorvalve/transport/silence"
)

// CallTimeout is the timeout of each call between daemons.
const CallTimeout = 2 * time.Second

// Client makes calls to other daemons. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	meter meter.Meter
	peers *Clients[peerpb.Peer]
}

// tokenHeader is the header of the secret that all daemons share.
const tokenHeader = "Doorvalve-Peer-Token"

// withToken is a transport that adds the shared secret to each request.
type withToken struct {
	authenticate func(http.Header)
	next         http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (w withToken) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context()) // a RoundTripper must not change the request
	w.authenticate(r.Header)
	return w.next.RoundTrip(r)
}

// Authenticate returns a function that adds the shared secret to the header of a request.
func Authenticate(token string) func(http.Header) {
	return func(h http.Header) {
		if token != "" {
			h.Set(tokenHeader, token)
		}
	}
}

// MaxMessageBytes bounds the messages that daemons send each other. The largest ones hold a desired state, of a
// megabyte at most, or a list of some thousand endpoints.
const MaxMessageBytes = 16 << 20

// Bounded returns a handler that reads at most MaxMessageBytes of a call.
func Bounded(next http.Handler) http.Handler { return http.MaxBytesHandler(next, MaxMessageBytes) }

// Guard returns a handler that refuses calls without the shared secret token. If token is empty, it
// returns next, so that all calls are served.
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

// NewClient returns a client that sends the shared secret token with each call. An empty token is not
// sent.
func NewClient(token string) *Client {
	c := &Client{}
	t := bounded.Transport{MaxBody: MaxMessageBytes, RoundTripper: silence.Transport{Transport: bounded.Head(&http.Transport{
		DialContext: c.meter.Dial(dial.New(&net.Dialer{Timeout: CallTimeout})), MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
	})}}
	c.http = &http.Client{Transport: t, Timeout: CallTimeout}
	if token != "" {
		c.http.Transport = withToken{Authenticate(token), t}
	}
	c.peers = newClients(func(base string) peerpb.Peer { return peerpb.NewPeerProtobufClient(base, c.http) })
	return c
}

// Meter returns the meter of the connections to peers. The daemon's listener for peers uses it, too.
func (c *Client) Meter() *meter.Meter { return &c.meter }

// To returns the client for a daemon's peer address.
func (c *Client) To(address string) peerpb.Peer { return c.peers.To(address) }

// Fleets returns clients for the Fleet service of daemons.
func (c *Client) Fleets() *Clients[fleetpb.Fleet] {
	return newClients(func(base string) fleetpb.Fleet { return fleetpb.NewFleetProtobufClient(base, c.http) })
}

// Quarantines returns clients for the Quarantine service of daemons.
func (c *Client) Quarantines() *Clients[quarantinepb.Quarantine] {
	return newClients(func(base string) quarantinepb.Quarantine {
		return quarantinepb.NewQuarantineProtobufClient(base, c.http)
	})
}

// Quotas returns clients for the Quotas service of daemons.
func (c *Client) Quotas() *Clients[quotapb.Quotas] {
	return newClients(func(base string) quotapb.Quotas { return quotapb.NewQuotasProtobufClient(base, c.http) })
}

// Streams returns clients for the Streams service of daemons.
func (c *Client) Streams() *Clients[streampb.Streams] {
	return newClients(func(base string) streampb.Streams { return streampb.NewStreamsProtobufClient(base, c.http) })
}

// maxClients bounds a cache of clients. The cache is cleared when it is full, since it then holds
// mostly addresses of daemons that have left.
const maxClients = 1024

// Clients caches one client of a service for each daemon's address, so that calls need not build one.
// It is safe for concurrent use.
type Clients[T any] struct {
	build     func(base string) T
	mu        sync.Mutex
	byAddress map[string]T
}

// newClients returns an empty cache; build returns a new client for a base URL.
func newClients[T any](build func(base string) T) *Clients[T] {
	return &Clients[T]{build: build, byAddress: map[string]T{}}
}

// To returns the client for a daemon's peer address.
func (c *Clients[T]) To(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if ok {
		return client
	}
	if len(c.byAddress) >= maxClients {
		clear(c.byAddress)
	}
	client = c.build("http://" + address)
	c.byAddress[address] = client
	return client
}

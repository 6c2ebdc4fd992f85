// Package peers carries the calls between daemons.
package peers

import (
	"net/http"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/transport/meter"
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

// NewClient returns a client.
func NewClient() *Client {
	c := &Client{clients: map[string]peerpb.Peer{}}
	t := &http.Transport{DialContext: c.meter.Dial(CallTimeout), MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	c.http = &http.Client{Transport: t, Timeout: CallTimeout}
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

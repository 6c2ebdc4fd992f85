// Package peers carries the calls between daemons.
package peers

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/protocol/peerpb"
)

// CallTimeout bounds each call between daemons.
const CallTimeout = 2 * time.Second

// Client keeps one twirp client for each address. It is safe for concurrent
// use.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]peerpb.Peer
}

// NewClient returns a client.
func NewClient() *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: CallTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{http: &http.Client{Transport: t, Timeout: CallTimeout}, clients: map[string]peerpb.Peer{}}
}

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

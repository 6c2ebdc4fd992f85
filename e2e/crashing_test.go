package e2e_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Guards against a call that crashes every endpoint that executes it: daemons retried it at the
// next endpoint, and its caller sent it again to other daemons, until all endpoints were down. The
// endpoints here keep their names and restart after a while, so that only the time distinguishes
// their incarnations.
func TestCallThatEndsEndpointsIsHeldBack(t *testing.T) {
	o := defaults()
	o.engines, o.models, o.plain = 0, 0, 5
	var endpoints []*crashing
	o.change = func(b *bundle.Bundle) {
		b.Services = b.Services[1:] // without the engines
		for i := range b.Services[0].Endpoints {
			c := newCrashing(t)
			endpoints = append(endpoints, c)
			b.Services[0].Endpoints[i].Address = c.address
		}
	}
	w := newWorld(t, o)
	sent := 0
	send := func(body string) reply {
		sent++
		return w.daemons[sent%len(w.daemons)].call("POST", "/services/app/x", body)
	}
	w.eventually("calls are served", func() bool { return send("innocent").ok() })
	w.eventually("three endpoints have crashed", func() bool {
		if endsOf(endpoints) < 3 {
			send(crashingBody)
		}
		return endsOf(endpoints) >= 3
	})
	time.Sleep(knownWithin)
	before := endsOf(endpoints)
	for range 20 {
		send(crashingBody)
		time.Sleep(100 * time.Millisecond)
	}
	if again := endsOf(endpoints) - before; again > endsAllowed {
		t.Errorf("three endpoints had crashed under the call, and then %d more", again)
	}
	r := send(crashingBody)
	if r.status != http.StatusServiceUnavailable || r.refusal.Reason != "held-back" || r.header.Get("Retry-After") == "" {
		t.Errorf("the call got %d %q, Retry-After %q", r.status, r.refusal.Reason, r.header.Get("Retry-After"))
	}
	w.eventually("other calls are served", func() bool { return send("innocent").ok() })
}

const (
	crashingBody = "a call that crashes each endpoint that executes it"
	// knownWithin is the longest time until all daemons know of the third crash.
	knownWithin = 3 * time.Second
	// endsAllowed is the largest number of crashes after that.
	endsAllowed = 3
	// downFor is the downtime after a crash. It is longer than the time within which crashes of
	// endpoints with the same name count once.
	downFor = 2500 * time.Millisecond
)

// crashing is a plain endpoint that crashes under calls with the crashingBody. It
// listens again after downFor.
type crashing struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	server  *http.Server
	ends    int
	over    bool
}

func newCrashing(t *testing.T) *crashing {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &crashing{t: t, address: l.Addr().String()}
	c.serve(l)
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.over = true
		_ = c.server.Close()
	})
	return c
}

func (c *crashing) serve(l net.Listener) {
	server := &http.Server{Handler: c}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with the server
}

// ServeHTTP implements http.Handler.
func (c *crashing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a truncated body differs from crashingBody and is served
	if string(body) != crashingBody {
		_, _ = io.WriteString(w, "served")
		return
	}
	c.mu.Lock()
	c.ends++
	_ = c.server.Close()
	c.mu.Unlock()
	time.AfterFunc(downFor, c.again)
}

func (c *crashing) again() {
	c.mu.Lock()
	over := c.over
	c.mu.Unlock()
	if over {
		return
	}
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		c.t.Logf("%s did not restart: %v", c.address, err)
		return
	}
	c.serve(l)
}

// endsOf returns the number of crashes of all endpoints.
func endsOf(list []*crashing) int {
	n := 0
	for _, c := range list {
		c.mu.Lock()
		n += c.ends
		c.mu.Unlock()
	}
	return n
}

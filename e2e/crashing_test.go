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

// Endpoints ended one after the other under one request, which daemons passed on to the
// next one and whose caller came again, at another daemon. They keep their names and are
// back after a while, so that nothing but the time tells their lives apart.
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
	w.eventually("three endpoints have ended", func() bool {
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
		t.Errorf("three endpoints had ended under the call, and %d more did", again)
	}
	r := send(crashingBody)
	if r.status != http.StatusServiceUnavailable || r.refusal.Reason != "held-back" || r.header.Get("Retry-After") == "" {
		t.Errorf("the call got %d %q, Retry-After %q", r.status, r.refusal.Reason, r.header.Get("Retry-After"))
	}
	w.eventually("others are served", func() bool { return send("innocent").ok() })
}

const (
	crashingBody = "a call that ends each endpoint which begins it"
	// knownWithin is how long after the third end all daemons may take to know.
	knownWithin = 3 * time.Second
	// endsAllowed is how often the call may reach endpoints after that.
	endsAllowed = 3
	// downFor is longer than the time in which ends of one name count once.
	downFor = 2500 * time.Millisecond
)

// crashing is a plain endpoint that a call ends; it listens again after a while.
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
	body, _ := io.ReadAll(r.Body) // a body that is cut is not the one that counts
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
		c.t.Logf("%s stays away: %v", c.address, err)
		return
	}
	c.serve(l)
}

// endsOf returns how often the endpoints have ended.
func endsOf(list []*crashing) int {
	n := 0
	for _, c := range list {
		c.mu.Lock()
		n += c.ends
		c.mu.Unlock()
	}
	return n
}

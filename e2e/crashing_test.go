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
	var endpoints []*crashingEndpoint
	o.change = func(b *bundle.Bundle) {
		b.Services = b.Services[1:] // without the engines
		for i := range b.Services[0].Endpoints {
			c := newCrashingEndpoint(t)
			endpoints = append(endpoints, c)
			b.Services[0].Endpoints[i].Address = c.address
		}
	}
	w := newTestbed(t, o)
	sent := 0
	send := func(body string) reply {
		sent++
		return w.daemons[sent%len(w.daemons)].call("POST", "/services/app/x", body)
	}
	w.eventually("calls are served", func() bool { return send("innocent").ok() })
	w.eventually("three endpoints have crashed", func() bool {
		if totalCrashes(endpoints) < 3 {
			send(crashingBody)
		}
		return totalCrashes(endpoints) >= 3
	})
	time.Sleep(propagationTime)
	before := totalCrashes(endpoints)
	for range 20 {
		send(crashingBody)
		time.Sleep(100 * time.Millisecond)
	}
	if further := totalCrashes(endpoints) - before; further > maxFurtherCrashes {
		t.Errorf("three endpoints had crashed under the call, and then %d more", further)
	}
	r := send(crashingBody)
	if r.status != http.StatusServiceUnavailable || r.refusal.Reason != "held-back" || r.header.Get("Retry-After") == "" {
		t.Errorf("the call got %d %q, Retry-After %q", r.status, r.refusal.Reason, r.header.Get("Retry-After"))
	}
	w.eventually("other calls are served", func() bool { return send("innocent").ok() })
}

const (
	crashingBody = "a call that crashes each endpoint that executes it"
	// propagationTime is the longest time until all daemons know of the third crash.
	propagationTime = 3 * time.Second
	// maxFurtherCrashes is the largest number of crashes after that.
	maxFurtherCrashes = 3
	// downtime is the downtime after a crash. It is longer than the time within which crashes of
	// endpoints with the same name count once.
	downtime = 2500 * time.Millisecond
)

// crashingEndpoint is a plain endpoint that crashes under calls with the crashingBody. It
// listens again after downtime.
type crashingEndpoint struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	server  *http.Server
	crashes int
	closed  bool
}

func newCrashingEndpoint(t *testing.T) *crashingEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &crashingEndpoint{t: t, address: l.Addr().String()}
	c.serve(l)
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		_ = c.server.Close()
	})
	return c
}

func (c *crashingEndpoint) serve(l net.Listener) {
	server := &http.Server{Handler: c}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with the server
}

// Guards against an answer without a length that is taken for complete although its endpoint crashed
// while it wrote it.
func TestUnframedAnswers(t *testing.T) {
	o := defaults()
	o.engines, o.models, o.plain = 0, 0, 1
	var c *crashingEndpoint
	o.change = func(b *bundle.Bundle) {
		b.Services = b.Services[1:] // without the engines
		c = newCrashingEndpoint(t)
		b.Services[0].Endpoints[0].Address = c.address
	}
	w := newTestbed(t, o)
	w.eventually("calls are served", func() bool { return w.daemons[0].call("POST", "/services/app/x", "innocent").ok() })
	if r := w.daemons[0].call("POST", "/services/app/x", unframedBody); !r.ok() || r.body != unframedAnswer {
		t.Errorf("a whole answer without a length: %d %q", r.status, r.body)
	}
	if r := w.daemons[0].call("POST", "/services/app/x", unframedCutBody); r.ok() {
		t.Errorf("an answer that ended in the middle: %d %q", r.status, r.body)
	}
}

const (
	unframedBody    = "a call whose answer ends with its connection"
	unframedCutBody = "a call whose answer ends with its endpoint"
	unframedAnswer  = "first half, second half"
)

// writeUnframed writes an answer without a length, whole or up to the crash of the endpoint.
func (c *crashingEndpoint) writeUnframed(w http.ResponseWriter, whole bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		c.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+unframedAnswer[:len("first half")])
	if whole {
		_, _ = io.WriteString(conn, unframedAnswer[len("first half"):])
		return
	}
	c.crash()
}

func (c *crashingEndpoint) crash() {
	c.mu.Lock()
	c.crashes++
	_ = c.server.Close()
	c.mu.Unlock()
	time.AfterFunc(downtime, c.restart)
}

// ServeHTTP implements http.Handler.
func (c *crashingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a truncated body differs from crashingBody and is served
	if text := string(body); text == unframedBody || text == unframedCutBody {
		c.writeUnframed(w, text == unframedBody)
		return
	}
	if string(body) != crashingBody {
		_, _ = io.WriteString(w, "served")
		return
	}
	c.crash()
}

func (c *crashingEndpoint) restart() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		c.t.Logf("%s did not restart: %v", c.address, err)
		return
	}
	c.serve(l)
}

// totalCrashes returns the number of crashes of all endpoints.
func totalCrashes(list []*crashingEndpoint) int {
	n := 0
	for _, c := range list {
		c.mu.Lock()
		n += c.crashes
		c.mu.Unlock()
	}
	return n
}

package inbound

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
)

// Guards against a goroutine, a timer or an entry that is left behind by each connection or request, however it ends, and
// beside changes of the limits.
func TestNothingIsLeftOfConnections(t *testing.T) {
	const body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	ends := map[string]func(c *net.TCPConn){
		"closed, unused": func(*net.TCPConn) {},
		"closed":         func(c *net.TCPConn) { _, _ = io.WriteString(c, body); _, _ = c.Read(make([]byte, 1)) },
		"left":           func(c *net.TCPConn) { _, _ = io.WriteString(c, body) },
		"half-closed":    func(c *net.TCPConn) { _, _ = io.WriteString(c, body); _ = c.CloseWrite(); _, _ = io.ReadAll(c) },
		"reset":          func(c *net.TCPConn) { _, _ = io.WriteString(c, body); _ = c.SetLinger(0) },
		"pipelined":      func(c *net.TCPConn) { _, _ = io.WriteString(c, body+body+body[:20]); _, _ = c.Read(make([]byte, 1)) },
		"large head": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "GET /"+fmt.Sprintf("%05000d", 0))
			_, _ = io.ReadAll(c)
		},
		"cut body": func(c *net.TCPConn) { _, _ = io.WriteString(c, body[:len(body)-1]) },
		"aborted": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "GET /abort HTTP/1.1\r\nHost: a\r\n\r\n")
			_, _ = io.ReadAll(c)
		},
		"hijacked": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "GET /hijack HTTP/1.1\r\nHost: a\r\n\r\n")
			_, _ = io.ReadAll(c)
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := intake.Limits{HeadBytes: 4000, HeadTime: time.Minute, IdleTime: time.Minute}
	listener := Listen(l, Options{Limits: limits})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, work := Follow(r)
		defer work.Stop()
		work.SetSent(true)
		_, _ = io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/hijack":
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = conn.Close()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Millisecond):
		}
	})}
	listener.Configure(srv)
	before := runtime.NumGoroutine()
	go func() { _ = srv.Serve(listener) }()
	for i := range 50 {
		for name, end := range ends {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(name, err)
			}
			end(c.(*net.TCPConn))
			_ = c.Close()
		}
		limits.IdleTime = time.Duration(10+i) * time.Second
		listener.SetLimits(limits)
	}
	open := func() int {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		return len(listener.open)
	}
	for end := time.Now().Add(time.Minute); open() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if n := open(); n > 0 {
		t.Errorf("%d connections are counted as open after all have ended", n)
	}
	if err := srv.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(time.Minute); runtime.NumGoroutine() > before && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if n := runtime.NumGoroutine(); n > before {
		stacks := make([]byte, 1<<16)
		t.Errorf("%d goroutines, %d before\n%s", n, before, stacks[:runtime.Stack(stacks, true)])
	}
}

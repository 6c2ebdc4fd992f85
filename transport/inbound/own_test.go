package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
)

// Guards against answers of net/http's own, to what is no request, that are in no account, and against requests with a handler that are
// counted as such.
func TestOwnAnswersOfTheServerAreObserved(t *testing.T) {
	const whole = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct {
		sent  string
		own   int64 // answers of net/http's own
		last  int64 // status of the last one
		count int   // answers altogether
	}{
		"no request":             {"GARBAGE\r\n\r\n", 1, 400, 1},
		"no host":                {"GET / HTTP/1.1\r\n\r\n", 1, 400, 1},
		"unknown version":        {"GET / HTTP/3.0\r\nHost: a\r\n\r\n", 1, 505, 1},
		"unknown coding":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n", 1, 501, 1},
		"unknown expectation":    {"POST / HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 4\r\n\r\nbody", 1, 417, 1},
		"a request":              {whole, 0, 0, 1},
		"after a request":        {whole + "GARBAGE\r\n\r\n", 1, 400, 2},
		"several requests":       {whole + whole + whole, 0, 0, 3},
		"a request with 100":     {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", 0, 0, 2},
		"a large answer":         {"GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 0, 0, 1},
		"nothing":                {"", 0, 0, 0},
		"a head without its end": {"GET / HTTP/1.1\r\nHost", 1, 400, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var own, last atomic.Int64
			listener := Listen(l, Options{Limits: intake.Limits{HeadBytes: 1000, HeadTime: time.Minute}, OnOwn: func(status int) {
				own.Add(1)
				last.Store(int64(status))
			}})
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if r.URL.Path == "/large" {
					_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
				}
			})}
			listener.Configure(srv)
			go func() { _ = srv.Serve(listener) }()
			t.Cleanup(func() { _ = srv.Close() })
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprint(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			_ = conn.(*net.TCPConn).CloseWrite()
			answers, err := io.ReadAll(conn)
			_ = conn.Close()
			if n := strings.Count(string(answers), "HTTP/1.1 "); n != c.count {
				t.Errorf("%d answers (%v), want %d: %.300q", n, err, c.count, answers)
			}
			if own.Load() != c.own || last.Load() != c.last {
				t.Errorf("observed %d own answers, the last one %d; want %d and %d", own.Load(), last.Load(), c.own, c.last)
			}
		})
	}
}

// Guards against answers whose last bytes are lost without a trace: they are written after the handler has ended and the request has
// its outcome.
func TestLostEndsOfAnswersAreObserved(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost=", lost), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var ends atomic.Int64
			begun, left := make(chan struct{}), make(chan struct{})
			listener := Listen(l, Options{Limits: intake.Limits{HeadBytes: 1000, HeadTime: time.Minute}, OnEndLost: func() { ends.Add(1) }})
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				close(begun)
				<-left
				if lost {
					<-r.Context().Done() // the reset has arrived
				}
			})}
			listener.Configure(srv)
			go func() { _ = srv.Serve(listener) }()
			t.Cleanup(func() { _ = srv.Close() })
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-begun
			if lost {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			close(left)
			if !lost {
				if answer, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(answer), "0\r\n\r\n") {
					t.Errorf("got %q (%v)", answer, err)
				}
				_ = conn.Close()
			}
			want := map[bool]int64{true: 1}[lost]
			for end := time.Now().Add(10 * time.Second); ends.Load() < want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if ends.Load() != want {
				t.Errorf("observed %d lost ends, want %d", ends.Load(), want)
			}
		})
	}
}

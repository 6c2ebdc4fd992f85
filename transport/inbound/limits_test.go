package inbound

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
)

// Guards against a head limit that becomes lower without notice: callers that could not know of it yet were refused with 431, on kept
// connections and on new ones. After the notice, and without limits that were agreed before, the limit holds.
func TestLowerHeadLimitsHaveNotice(t *testing.T) {
	const notice = 2 * time.Second
	wide, narrow := intake.Limits{HeadBytes: 50000, HeadTime: time.Minute}, intake.Limits{HeadBytes: 1000, HeadTime: time.Minute}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := Listen(l, Options{Limits: wide, Notice: notice})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ExceedsHead(r) {
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		}
	})}
	listener.Configure(srv)
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	type client struct {
		net.Conn
		in *bufio.Reader
	}
	dial := func() client {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return client{c, bufio.NewReader(c)}
	}
	expect := func(what string, c client, size, status int) {
		t.Helper()
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", strings.Repeat("x", size))
		if err != nil {
			t.Fatal(what, err)
		}
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(what, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != status {
			t.Errorf("%s: %d, want %d", what, resp.StatusCode, status)
		}
	}
	const tooLarge = http.StatusRequestHeaderFieldsTooLarge
	listener.SetLimits(narrow)
	expect("under the first limits", dial(), 20000, tooLarge)
	listener.SetLimits(wide)
	kept, serving := dial(), dial()
	expect("a head within the limit", kept, 20000, http.StatusOK)
	expect("a head within the limit", serving, 20000, http.StatusOK)
	time.Sleep(100 * time.Millisecond) // the server has made them idle
	listener.SetLimits(narrow)
	expect("a kept connection, within the notice", kept, 20000, http.StatusOK)
	expect("the same once more", kept, 20000, http.StatusOK)
	expect("a small head in one read", serving, 2000, http.StatusOK)
	expect("a new connection, within the notice", dial(), 20000, http.StatusOK)
	late := dial()
	time.Sleep(notice)
	expect("a connection opened within the notice, after it", late, 20000, tooLarge)
	expect("a kept connection, after the notice", kept, 20000, tooLarge)
	expect("a new connection, after the notice", dial(), 20000, tooLarge)
}

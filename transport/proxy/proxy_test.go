package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/link"
)

// serveRaw answers each connection with the given bytes as soon as a request begins, and returns its address.
func serveRaw(t *testing.T, content string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1000))
		_, _ = io.WriteString(c, content)
		if reset {
			link.SetReset(c)
			return
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against broken answers that pass for whole on the own interface: a part before a reset beside an upload, and
// answers with an invalid head.
func TestBrokenAnswersAreFailures(t *testing.T) {
	const plays = 200
	for _, c := range []struct {
		name, content string
		reset         bool
		want          string // the body; empty: a failure
	}{
		{"reset beside an upload", "HTTP/1.1 200 OK\r\n\r\npart", true, ""},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwrong", false, ""},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Line: 1\r\n\r\nwrong", false, ""},
		{"sound, before the request was read", "HTTP/1.1 200 OK\r\n\r\nwhole", false, "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serveRaw(t, c.content, c.reset)
			transports := paths.New(paths.Options{Dial: dial.TCP, Log: decisions.New(io.Discard, "test", hclog.Off), Metrics: tally.NoopScope})
			client, upload := New(1<<20, transports), make([]byte, 6<<20)
			for range plays {
				answer, f := client.Do(t.Context(), address, &Request{Method: http.MethodPost, URI: "/x", RequestID: "r", AttemptID: "a", Body: upload})
				switch {
				case c.want == "" && (f == nil || f.Verdict != protocol.MayHaveRun || !f.Broken):
					t.Fatalf("answer %+v, failure %+v, want that the connection broke and the request may have run", answer, f)
				case c.want != "" && (f != nil || string(answer.Body) != c.want):
					t.Fatalf("answer %+v, failure %+v, want %q", answer, f, c.want)
				}
			}
		})
	}
}

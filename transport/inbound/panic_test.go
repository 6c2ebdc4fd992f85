package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/syncbuf"
)

// Guards against panics of handlers that nobody sees, after the outcome of the request or outside of its account: the request looks
// answered, and net/http's line about it has the debug level. Aborted answers are no panics.
func TestPanicsAreLoggedAsErrors(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(x *Account)
		cause  any
		logged bool
	}{
		"after the outcome":      {func(x *Account) { x.End(Answered) }, "a fault of ours", true},
		"outside of the account": {nil, "a fault of ours", true},
		"an error":               {nil, io.ErrNoProgress, true},
		"aborted":                {func(x *Account) { x.End(BrokenOff) }, http.ErrAbortHandler, false},
	} {
		t.Run(name, func(t *testing.T) {
			out := &syncbuf.Buffer{}
			log := decisions.New(out, "doorvalved", hclog.Info)
			accounts := NewAccounts(log, tally.NoopScope)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := Listen(l, Options{Limits: intake.Limits{HeadBytes: 1000, HeadTime: time.Minute}, Log: log})
			srv := &http.Server{ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if c.handle != nil {
					x := accounts.Begin(r)
					defer x.Close(func() bool { return false })
					c.handle(x)
				}
				panic(c.cause)
			})}
			listener.Configure(srv)
			go func() { _ = srv.Serve(listener) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprint(conn, "GET /path HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if answer, err := io.ReadAll(conn); len(answer) > 0 {
				t.Errorf("got %q (%v), want the end of the connection", answer, err)
			}
			_ = conn.Close()
			_ = srv.Close()
			log.Close()
			line := out.String()
			if logged := strings.Contains(line, `"error"`) && strings.Contains(line, "/path") && strings.Contains(line, "panic_test.go"); logged != c.logged {
				t.Errorf("logged as an error with its path and stack: %v, want %v: %s", logged, c.logged, line)
			}
		})
	}
}

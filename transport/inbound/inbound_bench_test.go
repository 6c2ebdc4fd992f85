package inbound

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/driver/decisions"
)

// BenchmarkRequest serves requests on a kept connection: as net/http does alone, and with what this package adds.
func BenchmarkRequest(b *testing.B) {
	accounts := NewAccounts(decisions.New(io.Discard, "doorvalved", hclog.Info), tally.NoopScope)
	for name, c := range map[string]struct {
		follow bool
		handle http.HandlerFunc
	}{
		"plain": {false, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
		"followed": {true, func(w http.ResponseWriter, r *http.Request) {
			account := accounts.Begin(r)
			defer account.Close(func() bool { return true })
			_, work := Follow(r)
			defer work.Stop()
			work.SetSent(true)
			work.Begin()
			w.WriteHeader(http.StatusOK)
			account.End(Answered)
		}},
	} {
		b.Run(name, func(b *testing.B) {
			srv := httptest.NewUnstartedServer(c.handle)
			if c.follow {
				l := Listen(srv.Listener, Options{Limits: intake.Limits{HeadBytes: 10000, HeadTime: time.Minute, IdleTime: time.Minute}})
				l.Configure(srv.Config)
				srv.Listener = l
			}
			srv.Start()
			defer srv.Close()
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Post(srv.URL, "", strings.NewReader("body"))
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}

package callers

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/drain"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/syncbuf"
	"github.com/doorvalve/doorvalve/state/snapshot"
)

// Guards against requests that are in no account: those for paths that are no calls, and for unknown ones.
func TestPathsThatAreNoCallsAreAccounted(t *testing.T) {
	for path, outcome := range map[string]string{"/v1/models": "answered", "/v1/addresses": "refused", "/none": "refused", "/v1/completions": "refused"} {
		t.Run(path, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			log := decisions.New(&syncbuf.Buffer{}, "doorvalved", hclog.Info)
			defer log.Close()
			s := New(Options{
				Config: func() *snapshot.Snapshot { return nil }, Members: func() []membership.Member { return nil },
				Phase: func() drain.Phase { return drain.Serving }, Log: log, Metrics: scope,
			})
			srv := httptest.NewServer(s.Handler())
			resp, err := http.Get(srv.URL + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			srv.Close()
			begun, ended, of := int64(0), int64(0), int64(0)
			for _, c := range scope.Snapshot().Counters() {
				switch {
				case strings.HasSuffix(c.Name(), "requests_begun_total"):
					begun += c.Value()
				case strings.HasSuffix(c.Name(), "requests_ended_total"):
					ended += c.Value()
					if c.Tags()["outcome"] == outcome {
						of += c.Value()
					}
				}
			}
			if begun != 1 || ended != 1 || of != 1 {
				t.Errorf("answered %d: %d requests, %d outcomes, %d of them %s; want one of each", resp.StatusCode, begun, ended, of, outcome)
			}
		})
	}
}

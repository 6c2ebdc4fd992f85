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

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/syncbuf"
)

// Guards against requests that end without an answer and without a trace, as by a panic in their handler: each one has
// exactly one outcome, and one without is logged and answered where that is possible.
func TestEachRequestHasOneOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		handle  func(w http.ResponseWriter, x *Account)
		outcome Outcome
		status  int // 0: the connection is closed without a whole answer
	}{
		"answered":              {func(w http.ResponseWriter, x *Account) { w.WriteHeader(200); x.End(Answered) }, Answered, 200},
		"refused":               {func(w http.ResponseWriter, x *Account) { w.WriteHeader(503); x.End(Refused) }, Refused, 503},
		"broken off":            {func(_ http.ResponseWriter, x *Account) { x.End(BrokenOff); panic(http.ErrAbortHandler) }, BrokenOff, 0},
		"panic":                 {func(http.ResponseWriter, *Account) { panic("a fault of ours") }, Unaccounted, 500},
		"abort without outcome": {func(http.ResponseWriter, *Account) { panic(http.ErrAbortHandler) }, Unaccounted, 500},
		"return without a word": {func(http.ResponseWriter, *Account) {}, Unaccounted, 500},
		"panic in an answer": {func(w http.ResponseWriter, _ *Account) {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic("a fault of ours")
		}, Unaccounted, 0},
	} {
		t.Run(name, func(t *testing.T) {
			scope, out := tally.NewTestScope("", nil), &syncbuf.Buffer{}
			log := decisions.New(out, "doorvalved", hclog.Info)
			accounts := NewAccounts(log, scope)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				x, begun := accounts.Begin(r), name == "panic in an answer"
				defer x.Close(func() bool {
					if !begun {
						w.WriteHeader(http.StatusInternalServerError)
					}
					return !begun
				})
				c.handle(w, x)
			}))
			resp, err := http.Post(srv.URL, "", strings.NewReader("body")) // not sent again by the client
			status := 0
			if err == nil {
				status = resp.StatusCode
				if _, err = io.ReadAll(resp.Body); err != nil {
					status = 0
				}
				_ = resp.Body.Close()
			}
			if status != c.status {
				t.Errorf("answered %d (%v), want %d", status, err, c.status)
			}
			for end := time.Now().Add(10 * time.Second); count(scope, "") != 1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // the client may have its answer before the account is closed
			}
			srv.Close()
			log.Close()
			if begun, ended, of := scope.Snapshot().Counters()["requests_begun_total+"].Value(), count(scope, ""), count(scope, c.outcome.String()); begun != 1 || ended != 1 || of != 1 {
				t.Errorf("%d requests, %d outcomes, %d of them %v; want one of each", begun, ended, of, c.outcome)
			}
			if logged := strings.Contains(out.String(), decisions.EventUnaccounted); logged != (c.outcome == Unaccounted) {
				t.Errorf("logged as without an outcome: %v", logged)
			}
		})
	}
}

// count returns how many requests have ended, with the given outcome or, if it is empty, with any.
func count(scope tally.TestScope, outcome string) (n int64) {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "requests_ended_total" && (outcome == "" || c.Tags()["outcome"] == outcome) {
			n += c.Value()
		}
	}
	return n
}

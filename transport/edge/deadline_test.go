package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

// Guards against requests without a body that are dropped without an answer because their time was over before the body was
// to be read: the read deadline then broke net/http's wait for the end of the caller's bytes, and the caller counted as gone.
// Whether it did so was a matter of scheduling, hence the number of requests.
func TestDeadlineOfABodyIsNotTheEndOfItsCaller(t *testing.T) {
	s := newLimitedServer(t)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, work := inbound.Follow(r)
		defer work.Stop()
		conn, q := s.held.open(w), testRequest()
		defer conn.end()
		time.Sleep(2 * time.Millisecond) // net/http waits for the end of the caller's bytes by now
		q.deadline = time.Now().Add(-time.Millisecond)
		refusal := s.readBody(conn, r, q, routing.Limits{BodyBytes: 1000})
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Millisecond): // a broken wait ends the context at once
		}
		if refusal != nil || errors.Is(context.Cause(ctx), inbound.ErrCallerGone) {
			t.Errorf("refusal %v, the request's context: %v", refusal, context.Cause(ctx))
		}
	}))
	l := inbound.Listen(srv.Listener, inbound.Options{Limits: intake.Limits{HeadBytes: 10000, HeadTime: time.Minute}})
	l.Configure(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)
	for range 200 {
		resp, err := http.Post(srv.URL, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

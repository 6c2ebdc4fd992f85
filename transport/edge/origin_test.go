package edge

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Guards against a request that the watch of an attempt reads while its next attempt is prepared: what
// it computes on first use would be incomplete, and its constraint torn (with the race detector).
func TestWatchReadsARequestThatIsBound(t *testing.T) {
	e := &fleet.Endpoint{ID: "e", Service: "llm", Software: "v1", Slots: 64}
	view := fleet.NewView(storeversion.Version{}, []*fleet.Endpoint{e})
	s := New(Options{Balancer: balance.New("z", 1, newTracker()), Metrics: tally.NoopScope, Dialect: plainDialect{}, View: func() *fleet.View { return view }})
	s.opt.Streams.ObserveView(view)
	q := sizedRequest()
	q.route = &routing.Route{Kind: routing.Streaming, Resumable: true}
	q.call.ID, q.call.SharedParts = "r1", []string{"a", "b", "c"}
	s.opt.Streams.Begin(t.Context(), q.call.ID, continuation.Origin{Service: q.service.Name, Software: e.Software, Incarnation: e.Incarnation(), Unit: q.unit()}, 0)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			s.hasOther(q, e, true)
			if n := len(q.parts()); n != 3 {
				t.Errorf("%d parts", n)
			}
			q.fingerprint()
		})
	}
	if !s.bindToOrigin(q, &answer{headerSent: true, sentAt: time.Now()}) {
		t.Error("the stream's version is not known")
	}
	wg.Wait()
}

// Guards against requests that are refused by a daemon which is about to read its first desired state, and against those that
// are held by one whose store is away.
func TestRequestsWaitForTheFirstDesiredState(t *testing.T) {
	for _, c := range []struct {
		name                string
		known, comes, until time.Duration // since the daemon's start: of the desired state, the request, the end of its wait
	}{
		{"known soon", 50 * time.Millisecond, 0, 50 * time.Millisecond},
		{"known before", 0, 0, 0},
		{"not known", time.Hour, 0, firstTableWait},
		{"not known, later", time.Hour, 2 * firstTableWait, 2 * firstTableWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := New(Options{Balancer: balance.New("z", 1, newTracker()), Metrics: tally.NoopScope, Dialect: plainDialect{}, Table: func() *routing.Table {
					if time.Since(start) < c.known {
						return nil
					}
					return &routing.Table{}
				}})
				time.Sleep(c.comes)
				s.awaitTable(t.Context())
				if waited := time.Since(start); waited != c.until {
					t.Errorf("until %v, want %v", waited, c.until)
				}
			})
		})
	}
}

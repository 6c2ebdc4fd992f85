package edge

import (
	"sync"
	"testing"
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
	s.opt.Streams.Begin(t.Context(), q.call.ID, continuation.Origin{Service: q.service.Name, Software: e.Software, Incarnation: e.Incarnation(), Unit: q.unit()})
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

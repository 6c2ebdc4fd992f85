package edge

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/retry"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// A request at a silent engine moves to another engine with its model only while that engine takes
// requests, and as soon as it does. An engine that has just failed other requests would refuse this
// one too, and the answer would break off.
func TestSilentEngineIsLeftForOneThatTakesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		holds := []fleet.LoadedModel{{Model: "m"}}
		view := fleet.NewView(storeversion.Version{Revision: 1}, []*fleet.Endpoint{{ID: "slow", Service: "llm", Models: holds}, {ID: "full", Service: "llm", Models: holds}})
		s := New(Options{
			View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, newTracker()), Budget: retry.NewBudget(), Log: log, Metrics: tally.NoopScope,
		})
		q := testRequest()
		q.service.Engine = &routing.Engine{}
		q.route.Kind, q.route.Resumable, q.route.MaxAttempts, q.route.MaxWait = routing.Streaming, true, 2, 2*time.Second
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		for range 4 {
			s.opt.Balancer.Failed(time.Now(), fleet.Incarnation{ID: "full"})
		}
		availableAt := time.Now().Add(2400 * time.Millisecond) // after four failures in a row, an endpoint is avoided for 2.4 s
		w := s.watch(q, view.ByID["slow"], true, cancel)
		defer w.stop()
		time.Sleep(silenceTimeout(q) + 10*time.Millisecond)
		if ctx.Err() != nil {
			t.Fatal("the attempt was abandoned though the other engine takes no requests")
		}
		time.Sleep(time.Until(availableAt) + 2*silenceRecheck)
		if ctx.Err() == nil {
			t.Fatal("the attempt at a silent engine was not abandoned though the other engine takes requests")
		}
	})
}

// A stopped watch does not abandon the attempt and takes nothing out of the retry budget.
func TestEndedWatchSpendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		holds := []fleet.LoadedModel{{Model: "m"}}
		view := fleet.NewView(storeversion.Version{Revision: 1}, []*fleet.Endpoint{{ID: "a", Service: "llm", Models: holds}, {ID: "b", Service: "llm", Models: holds}})
		budget := retry.NewBudgetOf(0, 1)
		s := New(Options{View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, newTracker()), Budget: budget, Log: log, Metrics: tally.NoopScope})
		q := testRequest()
		q.service.Engine = &routing.Engine{}
		q.route.Kind, q.route.Resumable, q.route.MaxAttempts, q.route.MaxWait = routing.Streaming, true, 2, 2*time.Second
		w := s.watch(q, view.ByID["a"], true, func(error) { t.Error("the attempt was abandoned after the watch was stopped") })
		w.stop()
		time.Sleep(time.Minute)
		if !budget.Spend() {
			t.Error("the stopped watch spent the retry budget")
		}
	})
}

// While the retry budget is empty, a begun answer waits for credit as long as its caller waits. A
// request without a part of its answer fails at once, even if it may have run: its caller can retry.
func TestOnlyBegunAnswersWaitForTheBudget(t *testing.T) {
	const maxWait = 2 * time.Second
	for _, begun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			view := fleet.NewView(storeversion.Version{Revision: 1}, nil)
			s := New(Options{View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, newTracker()), Budget: retry.NewBudgetOf(0, 0), Metrics: tally.NoopScope})
			q := testRequest()
			q.arrived, q.deadline, q.route.MaxWait = time.Now(), time.Now().Add(time.Minute), maxWait
			tr := &attemptState{sends: 1, ran: 1, verdict: protocol.MayHaveRun, last: &failure{verdict: protocol.MayHaveRun}}
			if s.takeRetry(t.Context(), q, tr, begun) {
				t.Fatal("got a retry out of an empty budget")
			}
			if waited := time.Since(q.arrived); !begun && waited > 0 || begun && (waited == 0 || waited >= maxWait) {
				t.Errorf("begun %v: waited %v", begun, waited)
			}
		})
	}
}

// newTracker returns a tracker without any reports of endpoints.
func newTracker() *backpressure.Tracker { return backpressure.New(backpressure.Options{}) }

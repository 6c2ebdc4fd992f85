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

// A request at an engine that is silent goes to another holder of its model only while
// that one takes requests, and as soon as it does: an engine that has just refused
// others would refuse this one too, and its answer would end.
func TestSilentEngineIsLeftForOneThatTakesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		holds := []fleet.LoadedModel{{Model: "m"}}
		view := fleet.NewView(storeversion.Version{Revision: 1}, []*fleet.Endpoint{{ID: "slow", Service: "llm", Models: holds}, {ID: "full", Service: "llm", Models: holds}})
		s := New(Options{
			View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, said()), Budget: retry.NewBudget(), Log: log, Metrics: tally.NoopScope,
		})
		q := testRequest()
		q.service.Engine = &routing.Engine{}
		q.route.Kind, q.route.Resumable, q.route.MaxAttempts, q.route.MaxWait = routing.Streaming, true, 2, 2*time.Second
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		for range 4 {
			s.opt.Balancer.Failed(time.Now(), fleet.Incarnation{ID: "full"})
		}
		free := time.Now().Add(2400 * time.Millisecond) // the fourth time in a row
		w := s.watch(q, view.ByID["slow"], true, cancel)
		defer w.stop()
		time.Sleep(silenceTime(q) + 10*time.Millisecond)
		if ctx.Err() != nil {
			t.Fatal("the request is taken from its engine for one that refuses")
		}
		time.Sleep(time.Until(free) + 2*silenceRecheck)
		if ctx.Err() == nil {
			t.Fatal("the request stays at a silent engine though another takes it")
		}
	})
}

// A watch that has ended gives nothing up and takes nothing out of the budget.
func TestEndedWatchSpendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		holds := []fleet.LoadedModel{{Model: "m"}}
		view := fleet.NewView(storeversion.Version{Revision: 1}, []*fleet.Endpoint{{ID: "a", Service: "llm", Models: holds}, {ID: "b", Service: "llm", Models: holds}})
		budget := retry.NewBudgetOf(0, 1)
		s := New(Options{View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, said()), Budget: budget, Log: log, Metrics: tally.NoopScope})
		q := testRequest()
		q.service.Engine = &routing.Engine{}
		q.route.Kind, q.route.Resumable, q.route.MaxAttempts, q.route.MaxWait = routing.Streaming, true, 2, 2*time.Second
		w := s.watch(q, view.ByID["a"], true, func(error) { t.Error("given up after its end") })
		w.stop()
		time.Sleep(time.Minute)
		if !budget.Spend() {
			t.Error("the budget was spent")
		}
	})
}

// Where the retry budget is empty, a begun answer waits for credit as long as its
// caller does; a caller without a part of its answer is told at once, whatever has
// become of its request, and can try again itself.
func TestOnlyBegunAnswersWaitForTheBudget(t *testing.T) {
	const patience = 2 * time.Second
	for _, begun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			view := fleet.NewView(storeversion.Version{Revision: 1}, nil)
			s := New(Options{View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, said()), Budget: retry.NewBudgetOf(0, 0), Metrics: tally.NoopScope})
			q := testRequest()
			q.arrived, q.deadline, q.route.MaxWait = time.Now(), time.Now().Add(time.Minute), patience
			tr := &tries{sends: 1, ran: 1, verdict: protocol.MayHaveRun, last: &failure{verdict: protocol.MayHaveRun}}
			if s.payRetry(t.Context(), q, tr, begun) {
				t.Fatal("a retry out of an empty budget")
			}
			if waited := time.Since(q.arrived); !begun && waited > 0 || begun && (waited == 0 || waited >= patience) {
				t.Errorf("begun %v: waited %v", begun, waited)
			}
		})
	}
}

// said returns a book in which no endpoint has said anything.
func said() *backpressure.Tracker { return backpressure.New(backpressure.Options{}) }

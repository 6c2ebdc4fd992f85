package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/retry"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/retries"
	"github.com/doorvalve/doorvalve/internal/clock"
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
			View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, newTracker()), Retries: manyRetries(), Log: log, Metrics: tally.NoopScope,
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
		time.Sleep(silenceBounds(q).Max + 10*time.Millisecond)
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
		budget := retries.NewFixed(retry.Share{Unearned: 1}, log, tally.NoopScope)
		s := New(Options{View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, newTracker()), Retries: budget, Log: log, Metrics: tally.NoopScope})
		q := testRequest()
		q.service.Engine = &routing.Engine{}
		q.route.Kind, q.route.Resumable, q.route.MaxAttempts, q.route.MaxWait = routing.Streaming, true, 2, 2*time.Second
		w := s.watch(q, view.ByID["a"], true, func(error) { t.Error("the attempt was abandoned after the watch was stopped") })
		w.stop()
		time.Sleep(time.Minute)
		if !budget.Spend(q.service.Name) {
			t.Error("the stopped watch spent the retry budget")
		}
	})
}

// Guards against a stream that leaves a silent engine with the last retry of its service, and breaks off because the other
// engine does not take it: a retry for the return is reserved.
func TestSilentEngineIsLeftOnlyWithARetryForTheReturn(t *testing.T) {
	for _, unearned := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			x := watchStream(t, true)
			defer x.watch.stop()
			x.server.opt.Retries = retries.NewFixed(retry.Share{Unearned: unearned}, nil, tally.NoopScope)
			x.events(20, 30*time.Millisecond)
			if _, err := x.ended(time.Second); (err != nil) != (unearned > 1) {
				t.Errorf("%d retries: %v", unearned, err)
			}
			if spend := x.server.opt.Retries.Spend("llm"); spend != (unearned == 1) {
				t.Errorf("%d retries: another request gets one: %v", unearned, spend)
			}
		})
	}
}

// watched is a stream at endpoint "a" under watch; endpoint "b" holds its model, too.
type watched struct {
	server *Server
	watch  *silenceWatch
	view   atomic.Pointer[fleet.View]
	ctx    context.Context
	// dial is the result of opening a connection to endpoint "a"; nil: it is opened.
	dial     atomic.Pointer[error]
	dials    atomic.Int64 // number of connections that were tried
	stopping atomic.Bool
}

// errUnanswered is the result of opening a connection that nobody answers.
var errUnanswered = errors.New("no answer")

// open opens connections to endpoint "a".
func (x *watched) open(ctx context.Context, _, _ string) (net.Conn, error) {
	x.dials.Add(1)
	err := x.dial.Load()
	switch {
	case err == nil:
		c, other := net.Pipe()
		_ = other.Close()
		return c, nil
	case errors.Is(*err, errUnanswered):
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	return nil, &net.OpError{Op: "dial", Err: *err}
}

// endpointAnswers sets the result of opening connections to endpoint "a"; nil: they are opened.
func (x *watched) endpointAnswers(err error) {
	if err == nil {
		x.dial.Store(nil)
		return
	}
	x.dial.Store(&err)
}

// watchStream starts the watch of a stream, in a bubble of synctest.
func watchStream(t *testing.T, resumable bool) *watched {
	log := decisions.New(io.Discard, "test", hclog.Off)
	t.Cleanup(log.Close)
	x := &watched{}
	x.list(&fleet.Endpoint{ID: "a", StartUnixMs: 1000})
	x.server = New(Options{
		View: x.view.Load, Balancer: balance.New("z", 1, newTracker()), Retries: manyRetries(), Log: log, Metrics: tally.NoopScope,
		Draining: x.stopping.Load, Paths: paths.New(paths.Options{Dial: x.open, Log: log, Metrics: tally.NoopScope}),
	})
	q := testRequest()
	q.service.Engine = &routing.Engine{}
	q.route.Kind, q.route.Resumable, q.route.MaxAttempts, q.route.MaxWait, q.route.GapTarget = routing.Streaming, resumable, 2, 8*time.Second, 500*time.Millisecond
	ctx, cancel := context.WithCancelCause(t.Context())
	x.ctx, x.watch = ctx, x.server.watch(q, x.view.Load().ByID["a"], true, cancel)
	return x
}

// list sets the view: endpoint "b" and the given ones.
func (x *watched) list(list ...*fleet.Endpoint) {
	list = append(list, &fleet.Endpoint{ID: "b"})
	for _, e := range list {
		e.Service, e.Models = "llm", []fleet.LoadedModel{{Model: "m"}}
	}
	x.view.Store(fleet.NewView(storeversion.Version{Revision: 1}, list))
}

// events forwards events at a steady pace.
func (x *watched) events(n int, gap time.Duration) {
	for range n {
		time.Sleep(gap)
		x.watch.observeArrival()
		x.watch.beginAnswer()
		x.watch.observeEvents(true)
	}
}

// ended returns after how much silence the attempt was abandoned, and why; zero if it was not within
// a limit.
func (x *watched) ended(limit time.Duration) (time.Duration, error) {
	from := time.Now()
	select {
	case <-x.ctx.Done():
		return time.Since(from), context.Cause(x.ctx)
	case <-time.After(limit):
		return 0, nil
	}
}

// A stream that stands still is left sooner than after the fixed time once its pace is known, but not
// for a pause that its own pace or its route's target allows.
func TestStandstillIsNoticedByThePace(t *testing.T) {
	for name, c := range map[string]struct {
		events int
		gap    time.Duration
		want   time.Duration
	}{
		"before the first event": {0, 0, 4 * time.Second},
		"pace unknown":           {3, 30 * time.Millisecond, 4 * time.Second},
		"fast stream":            {20, 30 * time.Millisecond, 500 * time.Millisecond},
		"slow stream":            {20, 200 * time.Millisecond, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			x := watchStream(t, true)
			defer x.watch.stop()
			x.events(c.events, c.gap)
			if after, err := x.ended(time.Minute); !errors.Is(err, errSilent) || after < c.want || after > c.want+silenceRecheck {
				t.Errorf("%s: abandoned after %v (%v), want %v", name, after, err, c.want)
			}
		})
	}
}

// Guards against a sound stream that is ended during a pause because its engine's entry is gone or the
// engine refuses new connections, for pauses up to the longest one.
func TestPauseOfASoundEngineEndsNoStream(t *testing.T) {
	refuses, unlisted := func(x *watched) {
		x.endpointAnswers(syscall.ECONNREFUSED)
		x.server.opt.Balancer.MarkUnreachable(clock.Now(), fleet.Incarnation{ID: "a", StartUnixMs: 1000})
	}, func(x *watched) { x.list() }
	for name, learn := range map[string]func(*watched){
		"not listed":         unlisted,
		"refuses":            refuses,
		"both":               func(x *watched) { unlisted(x); refuses(x) },
		"not listed, silent": func(x *watched) { unlisted(x); x.endpointAnswers(errUnanswered) },
	} {
		for _, stopping := range []bool{false, true} {
			for pause := time.Second; pause <= 3*time.Second; pause += 500 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					x := watchStream(t, false)
					defer x.watch.stop()
					x.stopping.Store(stopping)
					x.events(9, 30*time.Millisecond)
					learn(x)
					for range 3 {
						x.events(1, pause)
						x.events(9, 30*time.Millisecond)
					}
					if x.ctx.Err() != nil {
						t.Errorf("%s, stopping %v: ended during a pause of %v: %v", name, stopping, pause, context.Cause(x.ctx))
					}
				})
			}
		}
	}
}

// The caller of a stream that may not be resumed learns that the stream has ended when the engine is
// silent and nothing answers at its address, not only at its deadline; a stream that can move does so
// sooner. Silence alone ends none that can't move, and no evidence ends one that proceeds.
func TestSilentStreamEndsWhenItsEngineIsGone(t *testing.T) {
	refuse := func(x *watched) {
		x.endpointAnswers(syscall.ECONNREFUSED)
		x.server.opt.Balancer.MarkUnreachable(clock.Now(), fleet.Incarnation{ID: "a", StartUnixMs: 1000})
	}
	const longestPause = 4 * time.Second
	for name, c := range map[string]struct {
		learn func(*watched)
		want  time.Duration // of silence; zero: the stream goes on
		moves time.Duration // the same if another engine can continue the stream
	}{
		"nothing known":                 {func(*watched) {}, 0, 0},
		"started again":                 {func(x *watched) { x.list(&fleet.Endpoint{ID: "a", StartUnixMs: 2000}) }, 500 * time.Millisecond, 500 * time.Millisecond},
		"not listed":                    {func(x *watched) { x.list() }, longestPause, 0},
		"not listed, refuses":           {func(x *watched) { x.list(); refuse(x) }, longestPause, 500 * time.Millisecond},
		"not listed, silent":            {func(x *watched) { x.list(); x.endpointAnswers(errUnanswered) }, longestPause, 2 * time.Second},
		"leaving":                       {func(x *watched) { x.list(&fleet.Endpoint{ID: "a", StartUnixMs: 1000, Leaving: true}) }, 0, 0},
		"listed without its start":      {func(x *watched) { x.list(&fleet.Endpoint{ID: "a"}) }, 0, 0},
		"an earlier start, refuses":     {func(x *watched) { x.list(&fleet.Endpoint{ID: "a", StartUnixMs: 500}); refuse(x) }, longestPause, 500 * time.Millisecond},
		"an earlier start, and serving": {func(x *watched) { x.list(&fleet.Endpoint{ID: "a", StartUnixMs: 500}) }, longestPause, 0},
	} {
		for _, resumable := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				x := watchStream(t, resumable)
				defer x.watch.stop()
				x.events(20, 200*time.Millisecond)
				c.learn(x)
				x.events(20, 200*time.Millisecond)
				if x.ctx.Err() != nil {
					t.Fatalf("%s: a stream that proceeds was ended: %v", name, context.Cause(x.ctx))
				}
				want := c.want
				if resumable {
					want = c.moves
				}
				c.learn(x)
				after, err := x.ended(time.Minute)
				if gone := errors.Is(err, errEndpointGone); (want > 0) != gone || gone && (after < want || after > want+silenceRecheck) {
					t.Errorf("%s, resumable %v: ended after %v (%v), want %v", name, resumable, after, err, want)
				}
				if x.dials.Load() > 20 {
					t.Errorf("%s: %d connections to find out", name, x.dials.Load())
				}
			})
		}
	}
}

// A write that a caller blocks is no silence of the engine.
func TestBlockedWriteIsNoSilence(t *testing.T) {
	for resumable, want := range map[bool]error{false: errEndpointGone, true: errSilent} {
		synctest.Test(t, func(t *testing.T) {
			x := watchStream(t, resumable)
			defer x.watch.stop()
			x.events(20, 30*time.Millisecond)
			x.list()
			x.endpointAnswers(syscall.ECONNREFUSED)
			x.watch.beginAnswer()
			if after, err := x.ended(time.Minute); err != nil {
				t.Errorf("abandoned after %v of a blocked write: %v", after, err)
			}
			x.watch.observeEvents(true)
			if after, err := x.ended(time.Minute); !errors.Is(err, want) {
				t.Errorf("resumable %v, after the write: %v, %v", resumable, after, err)
			}
		})
	}
}

// While the retry budget is empty, a begun answer waits for credit as long as its caller waits. A
// request without a part of its answer fails at once, even if it may have run: its caller can retry.
func TestOnlyBegunAnswersWaitForTheBudget(t *testing.T) {
	const maxWait = 2 * time.Second
	for _, begun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			view := fleet.NewView(storeversion.Version{Revision: 1}, nil)
			s := New(Options{View: func() *fleet.View { return view }, Balancer: balance.New("z", 1, newTracker()), Retries: retries.NewFixed(retry.Share{}, nil, tally.NoopScope), Metrics: tally.NoopScope})
			q := testRequest()
			q.arrived, q.deadline, q.route.MaxWait = time.Now(), time.Now().Add(time.Minute), maxWait
			tr := &attemptState{sends: 1, ran: []fleet.Incarnation{{ID: "a"}}, verdict: protocol.MayHaveRun, last: &failure{verdict: protocol.MayHaveRun}}
			if s.mayAttemptAgain(t.Context(), q, tr, begun) {
				t.Fatal("got a retry out of an empty budget")
			}
			if waited := time.Since(q.arrived); !begun && waited > 0 || begun && (waited == 0 || waited >= maxWait) {
				t.Errorf("begun %v: waited %v", begun, waited)
			}
		})
	}
}

// Guards against a service in trouble that gets the retries which requests for another service have earned.
func TestRetriesOfOneServiceAreNotSpentAtAnother(t *testing.T) {
	s := New(Options{Retries: retries.NewFixed(retry.Share{Unearned: 1}, nil, tally.NoopScope), Metrics: tally.NoopScope})
	for _, service := range []string{"llm", "app"} {
		q := testRequest()
		q.service.Name = service
		q.arrived, q.deadline = time.Now(), time.Now().Add(time.Minute)
		failed := func() *attemptState {
			return &attemptState{sends: 1, ran: []fleet.Incarnation{{ID: "a"}}, verdict: protocol.MayHaveRun, last: &failure{verdict: protocol.MayHaveRun}}
		}
		first := failed()
		if !s.mayAttemptAgain(t.Context(), q, first, false) || !s.payRetry(q, first) {
			t.Errorf("%s: no retry, though none was spent there", service)
		}
		if s.mayAttemptAgain(t.Context(), q, failed(), false) {
			t.Errorf("%s: a retry that its own requests have not earned", service)
		}
	}
}

// Guards against many repeats at once after a wait: retries that were decided one after the other while their model was
// being loaded, and count before they are sent, meet those of the next window at the endpoint.
func TestRetryCountsWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Retries: retries.NewFixed(retry.Share{Unearned: 1}, nil, tally.NoopScope), Metrics: tally.NoopScope})
		q := testRequest()
		q.arrived, q.deadline = time.Now(), time.Now().Add(time.Minute)
		failed := func() *attemptState {
			return &attemptState{sends: 1, ran: []fleet.Incarnation{{ID: "a"}}, verdict: protocol.MayHaveRun, last: &failure{verdict: protocol.MayHaveRun}}
		}
		waiting := failed()
		if !s.mayAttemptAgain(t.Context(), q, waiting, false) {
			t.Fatal("no retry was reserved")
		}
		time.Sleep(9 * time.Second) // its model is loaded
		if s.mayAttemptAgain(t.Context(), q, failed(), false) {
			t.Error("a reserved retry was given to another request")
		}
		if !s.payRetry(q, waiting) {
			t.Error("the reserved retry was not there")
		}
		time.Sleep(3 * time.Second)
		if s.mayAttemptAgain(t.Context(), q, failed(), false) {
			t.Error("a second retry within a window of the first one's arrival")
		}
		time.Sleep(10 * time.Second)
		given := failed()
		if !s.mayAttemptAgain(t.Context(), q, given, false) {
			t.Error("no retry in the next window")
		}
		s.releaseRetry(q, given)
		if !s.mayAttemptAgain(t.Context(), q, failed(), false) {
			t.Error("a retry that was given back is lost")
		}
	})
}

// manyRetries returns more retries than a test needs.
func manyRetries() *retries.Controller {
	return retries.NewFixed(retry.Share{Unearned: 100}, nil, tally.NoopScope)
}

// newTracker returns a tracker without any reports of endpoints.
func newTracker() *backpressure.Tracker { return backpressure.New(backpressure.Options{}) }

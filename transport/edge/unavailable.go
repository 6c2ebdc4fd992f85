package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// turnRecheck bounds the pause between two checks whether a waiting request has its turn.
	turnRecheck = 100 * time.Millisecond
	// An estimate of the time until a turn may err by turnMargin plus the share turnMarginShare of
	// that time.
	turnMargin      = 250 * time.Millisecond
	turnMarginShare = 0.25
)

// turnMarginOf returns the margin of error of an estimate of the time until a turn.
func turnMarginOf(turnIn time.Duration) time.Duration {
	return turnMargin + time.Duration(turnMarginShare*float64(turnIn))
}

// unavailableEndpoints are the endpoints that don't take a request now, by their backpressure
// signals.
type unavailableEndpoints struct {
	incarnations []fleet.Incarnation
	all          bool                // no untried candidate takes the request now
	first        fleet.Incarnation   // the endpoint expected to take the request first
	turnIn       time.Duration       // estimated time until first takes the request
	reason       backpressure.Reason // why first does not take it now
}

// begun reports whether an endpoint has worked on the request, in this attempt of its caller or, of a stream that is
// taken up again, in an earlier one. Such a request was let in, and is not judged again as a new one is.
func (t *attemptState) begun(q *request) bool { return t.verdict != protocol.NotRun || q.continued() }

// queueRequest returns the request's position in the queues of endpoints. Requests that have begun go before all
// others.
func (t *attemptState) queueRequest(q *request) backpressure.Request {
	a := backpressure.Request{Rank: q.rank, Deadline: q.deadline, Waiter: t.waiter}
	if t.begun(q) {
		a.Rank = -1
	}
	return a
}

// unavailable returns the candidates that don't take the request now.
func (s *Server) unavailable(q *request, t *attemptState, candidates []*fleet.Endpoint) unavailableEndpoints {
	out := unavailableEndpoints{all: !s.untriedAmong(q, t, candidates)}
	for _, e := range s.opt.Balancer.Unavailable(clock.Now(), candidates, t.queueRequest(q)) {
		turnIn := s.opt.Throttle.EstimateWait(e.Incarnation(), t.queueRequest(q), s.opt.Balancer.Rate(e))
		if len(out.incarnations) == 0 || turnIn < out.turnIn {
			out.first, out.turnIn = e.Incarnation(), turnIn
			out.reason = s.opt.Throttle.Peek(e.Incarnation(), t.queueRequest(q)).Reason
		}
		out.incarnations = append(out.incarnations, e.Incarnation())
	}
	return out
}

// awaitTurn waits until an endpoint takes the request, in the queue of the endpoint that is expected
// to take it first. It refuses the request at once if that is too late for its caller.
func (s *Server) awaitTurn(ctx context.Context, q *request, t *attemptState, unavailable unavailableEndpoints) *protocol.Refusal {
	if t.waiter != nil && !slices.Contains(unavailable.incarnations, t.waiter.Incarnation()) {
		s.leaveQueue(t, false)
	}
	if t.waiter == nil {
		if !t.worthWaiting(q, unavailable.turnIn) {
			return s.refuseUnavailable(q, t, unavailable)
		}
		t.waitDeadline = clock.Now().Add(unavailable.turnIn + turnMarginOf(unavailable.turnIn))
		t.waiter = s.opt.Throttle.Enqueue(unavailable.first, t.queueRequest(q))
	}
	for {
		now := s.unavailable(q, t, s.candidates(q))
		switch {
		case !slices.Contains(now.incarnations, t.waiter.Incarnation()) || now.turnIn <= 0 || !now.all:
			return nil // the caller of awaitTurn chooses among all endpoints again
		case !t.begun(q) && clock.Now().Add(now.turnIn).After(t.waitDeadline):
			return s.refuseUnavailable(q, t, now)
		case t.verdict == protocol.NotRun && q.continued() && !t.worthWaiting(q, now.turnIn):
			return s.refuseUnavailable(q, t, now)
		case t.verdict == protocol.NotRun && s.stopsBefore(now.turnIn):
			return protocol.Refuse(http.StatusServiceUnavailable, reasonStopping, "this daemon stops before the request has its turn", retryDraining)
		}
		pause.For(ctx, min(now.turnIn, turnRecheck))
		if ctx.Err() != nil {
			return s.outOfTime(protocol.NotRun)
		}
	}
}

// worthWaiting reports whether the request should wait for its turn. After a wait in vain, it waits
// again only while it can still meet its latency objective.
func (t *attemptState) worthWaiting(q *request, turnIn time.Duration) bool {
	return waiting.Decide(waiting.Input{
		ReadyIn: turnIn, Margin: turnMarginOf(turnIn), Elapsed: t.callerSilence(q), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget, MaxWait: q.route.MaxWait, Work: q.ownWork(),
		Started: t.verdict != protocol.NotRun, Continued: q.continued(), WaitedBefore: !t.waitDeadline.IsZero(), Committed: q.returned(),
	}).Wait
}

// ownWork returns the estimated course of the request at an idle endpoint of average speed; zero if
// the caller does not state its tokens.
func (q *request) ownWork() workcost.Estimate {
	if !q.call.TokensKnown {
		return workcost.Estimate{}
	}
	work := workcost.WorkOf(q.call.PromptTokens, q.call.OutputTokens, true)
	return workcost.New().Estimate(clock.Now(), fleet.Incarnation{}, q.call.Model, work, workcost.Load{})
}

// leaveQueue removes the request from the queue in which it waits, if any. admitted reports whether
// the request was admitted.
func (s *Server) leaveQueue(t *attemptState, admitted bool) {
	if t.waiter != nil {
		s.opt.Throttle.Dequeue(t.waiter, admitted)
		t.waiter = nil
	}
}

// refuseUnavailable refuses a request that no endpoint takes now. The refusal names the time until
// its turn as the retry-after.
func (s *Server) refuseUnavailable(q *request, t *attemptState, unavailable unavailableEndpoints) *protocol.Refusal {
	if len(unavailable.incarnations) == 0 {
		return protocol.Refuse(http.StatusServiceUnavailable, string(backpressure.Limited), "endpoints take no more requests now, by their own word", retryBusy)
	}
	s.leaveQueue(t, false)
	s.opt.Throttle.ReserveRetry(unavailable.first, t.queueRequest(q), unavailable.turnIn)
	detail := fmt.Sprintf("%d endpoints take no more requests now, by their own word: %q the first, in %d ms", len(unavailable.incarnations), unavailable.first.ID, unavailable.turnIn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, string(unavailable.reason), detail, max(unavailable.turnIn, protocol.MinRetryAfter))
}

// pickLeaving returns a leaving endpoint that may still serve the request where no other
// endpoint can; nil if there is none.
func (s *Server) pickLeaving(q *request, t *attemptState) *fleet.Endpoint {
	list := servable(s.endpoints(q), q)
	return s.opt.Balancer.PickLeaving(clock.Now(), list, balance.Query{Unit: q.unit(), Exclude: t.exclude, Request: t.queueRequest(q)})
}

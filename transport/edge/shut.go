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
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// turnRecheck bounds the pause between two checks whether a waiting request has its turn.
	turnRecheck = 100 * time.Millisecond
	// An estimate of the time until a turn may err by turnMargin plus the share turnMarginPart of
	// that time.
	turnMargin     = 250 * time.Millisecond
	turnMarginPart = 0.25
)

// marginOf returns the margin of error of an estimate of the time until a turn.
func marginOf(turn time.Duration) time.Duration {
	return turnMargin + time.Duration(turnMarginPart*float64(turn))
}

// shutEndpoints are the endpoints that don't take a request now, by their backpressure signals.
type shutEndpoints struct {
	lives  []fleet.Incarnation
	all    bool                // no candidate takes the request now
	first  fleet.Incarnation   // the endpoint expected to take the request first
	turn   time.Duration       // estimated time until first takes the request
	reason backpressure.Reason // why first does not take it now
}

// ask returns the request's position in the queues of endpoints. Requests that may have run already
// go before all others.
func (t *tries) ask(q *request) backpressure.Request {
	a := backpressure.Request{Rank: q.rank, Deadline: q.deadline, Waiter: t.place}
	if t.verdict != protocol.NotRun {
		a.Rank = -1
	}
	return a
}

// shut returns the candidates that don't take the request now.
func (s *Server) shut(q *request, t *tries, candidates []*fleet.Endpoint) shutEndpoints {
	shut := shutEndpoints{all: !s.untriedAmong(q, t, candidates)}
	for _, e := range s.opt.Balancer.Unavailable(clock.Now(), candidates, t.ask(q)) {
		turn := s.opt.Throttle.EstimateWait(e.Incarnation(), t.ask(q), s.opt.Balancer.Rate(e))
		if len(shut.lives) == 0 || turn < shut.turn {
			shut.first, shut.turn = e.Incarnation(), turn
			shut.reason = s.opt.Throttle.Peek(e.Incarnation(), t.ask(q)).Reason
		}
		shut.lives = append(shut.lives, e.Incarnation())
	}
	return shut
}

// awaitTurn waits until an endpoint takes the request, in the queue of the endpoint that is expected
// to take it first. It refuses the request at once if that is too late for its caller.
func (s *Server) awaitTurn(ctx context.Context, q *request, t *tries, shut shutEndpoints) *protocol.Refusal {
	if t.place != nil && !slices.Contains(shut.lives, t.place.Incarnation()) {
		s.quitLine(t, false)
	}
	if t.place == nil {
		if !t.worthWaiting(q, shut.turn) {
			return s.refuseShut(q, t, shut)
		}
		t.waitsUntil = clock.Now().Add(shut.turn + marginOf(shut.turn))
		t.place = s.opt.Throttle.Enqueue(shut.first, t.ask(q))
	}
	for {
		now := s.shut(q, t, s.candidates(q))
		switch {
		case !slices.Contains(now.lives, t.place.Incarnation()) || now.turn <= 0 || !now.all:
			return nil // the caller of awaitTurn chooses among all endpoints again
		case t.verdict == protocol.NotRun && clock.Now().Add(now.turn).After(t.waitsUntil):
			return s.refuseShut(q, t, now)
		case t.verdict == protocol.NotRun && s.stopsBefore(now.turn):
			return protocol.Refuse(http.StatusServiceUnavailable, "stopping", "this daemon stops before the request has its turn", retryDraining)
		}
		pause.For(ctx, min(now.turn, turnRecheck))
		if ctx.Err() != nil {
			return s.outOfTime(protocol.NotRun)
		}
	}
}

// worthWaiting reports whether the request should wait for its turn. After a wait in vain, it waits
// again only while it can still meet its latency objective.
func (t *tries) worthWaiting(q *request, turn time.Duration) bool {
	return waiting.Decide(waiting.Input{
		ReadyIn: turn, Margin: marginOf(turn), Elapsed: t.silentFor(q), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget, MaxWait: q.route.MaxWait,
		Started: t.verdict != protocol.NotRun, WaitedBefore: !t.waitsUntil.IsZero(),
	}).Wait
}

// quitLine removes the request from the queue in which it waits, if any. admitted reports whether
// the request was admitted.
func (s *Server) quitLine(t *tries, admitted bool) {
	if t.place != nil {
		s.opt.Throttle.Dequeue(t.place, admitted)
		t.place = nil
	}
}

// refuseShut refuses a request that no endpoint takes now. The refusal names the time until its turn
// as the retry-after.
func (s *Server) refuseShut(q *request, t *tries, shut shutEndpoints) *protocol.Refusal {
	if len(shut.lives) == 0 {
		return protocol.Refuse(http.StatusServiceUnavailable, string(backpressure.Limited), "endpoints take no more requests now, by their own word", retryBusy)
	}
	s.quitLine(t, false)
	s.opt.Throttle.ReserveRetry(shut.first, t.ask(q), shut.turn)
	detail := fmt.Sprintf("%d endpoints take no more requests now, by their own word: %q the first, in %d ms", len(shut.lives), shut.first.ID, shut.turn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, string(shut.reason), detail, max(shut.turn, protocol.MinRetryAfter))
}

// leavingThatServes returns a leaving endpoint that may still serve the request where no other
// endpoint can; nil if there is none.
func (s *Server) leavingThatServes(q *request, t *tries) *fleet.Endpoint {
	list := s.opt.View().ByService[q.service.Name]
	if q.call.Model != "" && q.service.Engine != nil {
		list = holding(list, q)
	}
	return s.opt.Balancer.PickLeaving(clock.Now(), list, balance.Query{Unit: q.unit(), Exclude: t.exclude, Request: t.ask(q)})
}

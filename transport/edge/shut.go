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
	// turnRecheck bounds the pause between two looks whether a waiting request's turn has come.
	turnRecheck = 100 * time.Millisecond
	// turnMargin and turnMarginPart, of the time until a turn, are by how much the estimate of
	// that time may err.
	turnMargin     = 250 * time.Millisecond
	turnMarginPart = 0.25
)

// marginOf returns by how much an estimate of the time until a turn may err.
func marginOf(turn time.Duration) time.Duration {
	return turnMargin + time.Duration(turnMarginPart*float64(turn))
}

// shutEndpoints are endpoints that want no request like this one now, by their own word.
type shutEndpoints struct {
	lives  []fleet.Incarnation
	all    bool                // no other endpoint takes the request
	first  fleet.Incarnation   // that takes the request first
	turn   time.Duration       // until then
	reason backpressure.Reason // of that one
}

// ask is the request's place among those that wait. An answer that has begun goes on before others.
func (t *tries) ask(q *request) backpressure.Request {
	a := backpressure.Request{Rank: q.rank, Deadline: q.deadline, Waiter: t.place}
	if t.verdict != protocol.NotRun {
		a.Rank = -1
	}
	return a
}

// shut returns the endpoints among some that want no request like this one now.
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

// awaitTurn waits until an endpoint takes the request, in the line of the one that will first, or
// refuses it at once if that is too late for its caller.
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
			return nil // a look at all endpoints shows which takes it
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

// worthWaiting reports whether a request should wait for its turn. One that has waited before, in
// vain, waits again only while it can be in time.
func (t *tries) worthWaiting(q *request, turn time.Duration) bool {
	return waiting.Decide(waiting.Input{
		ReadyIn: turn, Margin: marginOf(turn), Elapsed: t.silentFor(q), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget, MaxWait: q.route.MaxWait,
		Started: t.verdict != protocol.NotRun, WaitedBefore: !t.waitsUntil.IsZero(),
	}).Wait
}

// quitLine ends the request's wait in a line, if it is in one; admitted says that it has come to its
// turn.
func (s *Server) quitLine(t *tries, admitted bool) {
	if t.place != nil {
		s.opt.Throttle.Dequeue(t.place, admitted)
		t.place = nil
	}
}

// refuseShut refuses a request whose endpoints want none now, and tells its caller when its turn is.
func (s *Server) refuseShut(q *request, t *tries, shut shutEndpoints) *protocol.Refusal {
	if len(shut.lives) == 0 {
		return protocol.Refuse(http.StatusServiceUnavailable, string(backpressure.Limited), "endpoints take no more requests now, by their own word", retryBusy)
	}
	s.quitLine(t, false)
	s.opt.Throttle.ReserveRetry(shut.first, t.ask(q), shut.turn)
	detail := fmt.Sprintf("%d endpoints take no more requests now, by their own word: %q the first, in %d ms", len(shut.lives), shut.first.ID, shut.turn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, string(shut.reason), detail, max(shut.turn, protocol.MinRetryAfter))
}

// leavingThatServes returns an endpoint that leaves and may still serve a request that no other
// can, or nil.
func (s *Server) leavingThatServes(q *request, t *tries) *fleet.Endpoint {
	list := s.opt.View().ByService[q.service.Name]
	if q.call.Model != "" && q.service.Engine != nil {
		list = holding(list, q)
	}
	return s.opt.Balancer.PickLeaving(clock.Now(), list, balance.Query{Unit: q.unit(), Exclude: t.exclude, Request: t.ask(q)})
}

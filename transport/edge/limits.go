package edge

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// placesTried bounds the endpoints that are asked for room within their limits for one attempt.
// Those without are passed over for a while by all requests, so that few have to ask again.
const placesTried = 8

// locateWithRoom finds an endpoint that can serve a request and has room within its limit, if it
// names one. What is taken of the limit is in q.pass.
func (s *Server) locateWithRoom(ctx context.Context, q *request, t *tries) (*fleet.Endpoint, *protocol.Refusal) {
	q.pass = quotas.Ticket{}
	for range placesTried {
		e, refusal := s.locate(ctx, q, t)
		s.observeWait(t, refusal == nil)
		if refusal != nil {
			return nil, refusal
		}
		// One that has just started hears first what others know, but refuses what it cannot
		// place without.
		s.opt.Quarantine.Settle(ctx)
		s.opt.Limits.Settle(ctx)
		pass, ok, roomIn := s.opt.Limits.Admit(ctx, e.Life(), q.rank)
		if ok {
			q.pass = pass
			return e, nil
		}
		s.opt.Balancer.Full(time.Now(), e.Life(), roomIn)
	}
	return nil, s.refuseLimited(q, s.full(s.candidates(q)))
}

// fullEndpoints are endpoints that take no more requests now, by their own word.
type fullEndpoints struct {
	lives  []fleet.Incarnation
	roomIn time.Duration // until a request would find room at one of them
}

// full returns the endpoints among some that have no room within their limits.
func (s *Server) full(candidates []*fleet.Endpoint) fullEndpoints {
	lives, roomIn := s.opt.Balancer.FullOf(time.Now(), candidates)
	if len(lives) == 0 {
		return fullEndpoints{}
	}
	wait := s.opt.Limits.Wait(lives[0])
	for _, life := range lives[1:] {
		wait = min(wait, s.opt.Limits.Wait(life))
	}
	return fullEndpoints{lives, max(wait, roomIn)}
}

// awaitRoom waits until endpoints have room again, or refuses the request.
func (s *Server) awaitRoom(ctx context.Context, q *request, t *tries, full fullEndpoints) *protocol.Refusal {
	d := waiting.Decide(waiting.Input{
		ReadyIn: full.roomIn, Elapsed: t.silentFor(q), TimeLeft: q.timeLeft(), Target: q.route.Target, Patience: q.route.Patience, Begun: t.verdict != protocol.NotRun,
	})
	if !d.Wait {
		return s.refuseLimited(q, full)
	}
	pause.For(ctx, full.roomIn)
	if ctx.Err() != nil {
		return s.outOfTime(protocol.NotRun)
	}
	return nil
}

// refuseLimited refuses a request whose endpoints have no room within their limits.
func (s *Server) refuseLimited(q *request, full fullEndpoints) *protocol.Refusal {
	if len(full.lives) == 0 {
		return protocol.Refuse(http.StatusServiceUnavailable, quotas.ReasonLimited, "endpoints take no more requests now, by their own word", retryBusy)
	}
	after := max(full.roomIn, s.opt.Limits.Refused(full.lives[0]))
	detail := fmt.Sprintf("%d endpoints take no more requests now, by their own word: %q among them, room in %d ms", len(full.lives), full.lives[0].ID, full.roomIn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, quotas.ReasonLimited, detail, after)
}

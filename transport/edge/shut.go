package edge

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// shutEndpoints are endpoints that want no requests for a while, by their own word.
type shutEndpoints struct {
	lives   []fleet.Incarnation
	all     bool                // that are not leaving
	opensIn time.Duration       // until a request would be taken by one of them
	reason  backpressure.Reason // of the one that opens first
}

// shut returns the endpoints among some that want no requests for a while.
func (s *Server) shut(candidates []*fleet.Endpoint) shutEndpoints {
	lives, opensIn := s.opt.Balancer.Shut(clock.Now(), candidates)
	if len(lives) == 0 {
		return shutEndpoints{}
	}
	staying := 0
	for _, e := range candidates {
		if !e.Leaving {
			staying++
		}
	}
	first := lives[0]
	wait := s.opt.Throttle.Wait(first)
	for _, life := range lives[1:] {
		if w := s.opt.Throttle.Wait(life); w < wait {
			first, wait = life, w
		}
	}
	return shutEndpoints{lives: lives, all: len(lives) == staying, opensIn: max(wait, opensIn), reason: s.opt.Throttle.Look(first).Reason}
}

// awaitOpen waits until endpoints take requests again, or refuses the request.
func (s *Server) awaitOpen(ctx context.Context, q *request, t *tries, shut shutEndpoints) *protocol.Refusal {
	d := waiting.Decide(waiting.Input{
		ReadyIn: shut.opensIn, Elapsed: t.silentFor(q), TimeLeft: q.timeLeft(), Target: q.route.Target, Patience: q.route.Patience, Begun: t.verdict != protocol.NotRun,
	})
	if !d.Wait {
		return s.refuseShut(q, shut)
	}
	pause.For(ctx, shut.opensIn)
	if ctx.Err() != nil {
		return s.outOfTime(protocol.NotRun)
	}
	return nil
}

// refuseShut refuses a request whose endpoints want none now.
func (s *Server) refuseShut(q *request, shut shutEndpoints) *protocol.Refusal {
	if len(shut.lives) == 0 {
		return protocol.Refuse(http.StatusServiceUnavailable, string(backpressure.Limited), "endpoints take no more requests now, by their own word", retryBusy)
	}
	after := max(shut.opensIn, s.opt.Throttle.Refused(shut.lives[0]))
	detail := fmt.Sprintf("%d endpoints take no more requests now, by their own word: %q among them, the first takes some in %d ms", len(shut.lives), shut.lives[0].ID, shut.opensIn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, string(shut.reason), detail, after)
}

// leavingThatServes returns an endpoint that leaves and may still serve a request that no other
// can, or nil.
func (s *Server) leavingThatServes(q *request, exclude []fleet.Incarnation) *fleet.Endpoint {
	list := s.opt.View().ByService[q.service.Name]
	if q.call.Model != "" && q.service.Engine != nil {
		list = holding(list, q)
	}
	return s.opt.Balancer.PickLeaving(clock.Now(), list, balance.Query{Unit: q.unit(), Exclude: exclude})
}

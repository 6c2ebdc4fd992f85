package callers

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// placesTried bounds the endpoints that are asked for room within their limits for one attempt.
const placesTried = 8

// acquireWithRoom takes a slot at an endpoint that has room within its limit, if it names one.
// What is taken of the limit is in cl.pass.
func (s *Server) acquireWithRoom(ctx context.Context, cl *call) (*gate.Slot, *protocol.Refusal) {
	cl.pass = quotas.Ticket{}
	s.opt.RateLimits.Settle(ctx)
	for range placesTried {
		if endpoint, all := cl.gate.AllFull(time.Now()); all {
			return nil, s.refuseLimited(cl, endpoint)
		}
		slot, refusal := cl.gate.Acquire(ctx, gate.Request{Worth: cl.worth, Deadline: cl.deadline, Affinity: cl.affinity})
		if refusal != nil {
			return nil, refusal
		}
		pass, ok, roomIn := s.opt.RateLimits.Admit(ctx, lifeOf(slot.Endpoint), 0)
		if ok {
			cl.pass = pass
			return slot, nil
		}
		cl.gate.Full(slot, roomIn)
		cl.gate.Release(slot, 0)
	}
	return nil, protocol.Refuse(http.StatusServiceUnavailable, quotas.ReasonLimited, cl.unit+": endpoints take no more requests now, by their own word", retryAfterStart)
}

// refuseLimited refuses a call whose endpoints have no room within their limits; endpoint is the
// one that has room first.
func (s *Server) refuseLimited(cl *call, endpoint string) *protocol.Refusal {
	after := s.opt.RateLimits.Refused(fleet.Incarnation{ID: endpoint})
	detail := fmt.Sprintf("%s: endpoints take no more requests now, by their own word: %q among them, room in %d ms", cl.unit, endpoint, after.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, quotas.ReasonLimited, detail, after)
}

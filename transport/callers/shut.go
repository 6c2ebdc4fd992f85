package callers

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// placesTried bounds the endpoints chosen for one attempt that then turn out to take no requests.
const placesTried = 8

// acquireOpen takes a slot at an endpoint that takes requests, by its backpressure signals. It sets
// cl.pass to what the call takes of the endpoint's rate limit.
func (s *Server) acquireOpen(ctx context.Context, cl *call) (*gate.Slot, *protocol.Refusal) {
	cl.pass = quotas.Ticket{}
	s.opt.Throttle.WaitSynced(ctx)
	for range placesTried {
		if shut := cl.gate.Unavailable(); len(shut) > 0 {
			return nil, s.refuseShut(cl, shut)
		}
		slot, refusal := cl.gate.Acquire(ctx, gate.Request{Worth: cl.worth, Deadline: cl.deadline, Affinity: cl.affinity})
		if refusal != nil {
			return nil, refusal
		}
		pass, d := s.opt.Throttle.Admit(ctx, lifeOf(slot.Endpoint), cl.ask())
		if !d.Closed() {
			cl.pass = pass
			return slot, nil
		}
		cl.gate.Release(slot, 0)
	}
	return nil, protocol.Refuse(http.StatusServiceUnavailable, string(backpressure.Limited), cl.unit+": endpoints take no more requests now, by their own word", retryAfterStart)
}

// ask returns the call's position among the callers that are to retry at an endpoint.
func (cl *call) ask() backpressure.Request { return backpressure.Request{Deadline: cl.deadline} }

// refuseShut refuses a call whose endpoints take no requests now. The refusal names the estimated
// time until the first of them takes the call as the retry-after.
func (s *Server) refuseShut(cl *call, shut []bundle.Endpoint) *protocol.Refusal {
	var first bundle.Endpoint
	turn := time.Duration(0)
	for i, e := range shut {
		if in := s.opt.Throttle.EstimateWait(lifeOf(e), cl.ask(), float64(e.Slots)); i == 0 || in < turn {
			first, turn = e, in
		}
	}
	cl.gate.CountUnavailable(cl.worth)
	reason := s.opt.Throttle.Peek(lifeOf(first), cl.ask()).Reason
	s.opt.Throttle.ReserveRetry(lifeOf(first), cl.ask(), turn)
	detail := fmt.Sprintf("%s: %d endpoints take no more requests now, by their own word: %q the first, in %d ms", cl.unit, len(shut), first.Name, turn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, string(reason), detail, max(turn, protocol.MinRetryAfter))
}

// heard passes the backpressure signals of an answer to the throttle; sent is when the call was
// sent, and whole reports whether the absence of a signal counts, too. That an endpoint is leaving
// goes to OnEndpointLeaving instead, since incarnations are not distinguished here: it holds until
// the coordinator, which asks the endpoint itself, gives credit for it again.
func (s *Server) heard(cl *call, e bundle.Endpoint, sent time.Time, says protocol.Backpressure, whole bool) {
	if says.Leaving {
		says.Leaving = false
		s.opt.OnEndpointLeaving(e.Name)
	}
	s.opt.Throttle.ObserveAnswer(throttle.Answer{Incarnation: lifeOf(e), Slots: e.Slots, Request: cl.id, Sent: sent, Signals: says, Authoritative: whole})
}

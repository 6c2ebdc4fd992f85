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

// maxSelections bounds the endpoints chosen for one attempt that then turn out to take no requests.
const maxSelections = 8

// acquireAvailable takes a slot at an endpoint that takes requests, by its backpressure signals. It
// sets cl.limitTicket to what the call takes of the endpoint's rate limit.
func (s *Server) acquireAvailable(ctx context.Context, cl *call) (*gate.Slot, *protocol.Refusal) {
	cl.limitTicket = quotas.Ticket{}
	s.opt.Throttle.WaitSynced(ctx)
	for range maxSelections {
		if unavailable := cl.gate.Unavailable(); len(unavailable) > 0 {
			return nil, s.refuseUnavailable(cl, unavailable)
		}
		slot, refusal := cl.gate.Acquire(ctx, gate.Request{Worth: cl.worth, Deadline: cl.deadline, Affinity: cl.affinity})
		if refusal != nil {
			return nil, refusal
		}
		ticket, d := s.opt.Throttle.Admit(ctx, incarnationOf(slot.Endpoint), cl.queueRequest())
		if !d.Closed() {
			cl.limitTicket, cl.counted, cl.answered = ticket, d.Counted, false
			return slot, nil
		}
		cl.gate.Release(slot, 0)
	}
	return nil, protocol.Refuse(http.StatusServiceUnavailable, string(backpressure.Limited), cl.unit+": endpoints take no more requests now, by their own word", retryAfterStart)
}

// queueRequest returns the call's position among the callers that are to retry at an endpoint.
func (cl *call) queueRequest() backpressure.Request {
	return backpressure.Request{Deadline: cl.deadline}
}

// refuseUnavailable refuses a call whose endpoints take no requests now. The refusal names the
// estimated time until the first of them takes the call as the retry-after.
func (s *Server) refuseUnavailable(cl *call, unavailable []bundle.Endpoint) *protocol.Refusal {
	var first bundle.Endpoint
	turnIn := time.Duration(0)
	for i, e := range unavailable {
		if wait := s.opt.Throttle.EstimateWait(incarnationOf(e), cl.queueRequest(), float64(e.Slots)); i == 0 || wait < turnIn {
			first, turnIn = e, wait
		}
	}
	cl.gate.CountUnavailable(cl.worth)
	reason := s.opt.Throttle.Peek(incarnationOf(first), cl.queueRequest()).Reason
	s.opt.Throttle.ReserveRetry(incarnationOf(first), cl.queueRequest(), turnIn)
	detail := fmt.Sprintf("%s: %d endpoints take no more requests now, by their own word: %q the first, in %d ms", cl.unit, len(unavailable), first.Name, turnIn.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, string(reason), detail, max(turnIn, protocol.MinRetryAfter))
}

// observeBackpressure passes the backpressure signals of an answer to the throttle; sent is when
// the call was sent, whole reports whether the absence of a signal counts, too, and rejected that the
// endpoint had no room. That an
// endpoint is leaving goes to OnEndpointLeaving instead, since incarnations are not distinguished
// here: it holds until the coordinator, which asks the endpoint itself, gives credit for it again.
func (s *Server) observeBackpressure(cl *call, e bundle.Endpoint, sent time.Time, signals protocol.Backpressure, whole, rejected bool) {
	if cl.counted && whole {
		cl.answered = true
		s.opt.Throttle.Answered(incarnationOf(e))
	}
	if signals.Leaving {
		signals.Leaving = false
		s.opt.OnEndpointLeaving(e.Name)
	}
	s.opt.Throttle.ObserveAnswer(throttle.Answer{Incarnation: incarnationOf(e), Slots: e.Slots, Request: cl.id, Sent: sent, Signals: signals, Authoritative: whole, Rejected: rejected})
}

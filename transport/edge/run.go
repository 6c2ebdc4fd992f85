package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// loadingPause is the pause before a retry at an endpoint that is still loading the model.
const loadingPause = 100 * time.Millisecond

// attemptState is the state of a request's attempts so far.
type attemptState struct {
	sends       int                 // attempts started
	ran         []fleet.Incarnation // endpoints at which the request may have run
	left        []fleet.Incarnation // endpoints that were left because of their silence, and may have gone on
	returns     bool                // only endpoints in left may be chosen
	broke       bool                // a connection to an endpoint broke under the request
	verdict     protocol.Verdict    // the worst of all attempts
	exclude     []fleet.Incarnation // endpoints that have failed the request
	pauses      int                 // pauses made because all endpoints had refused the request
	last        *failure
	lastEventAt time.Time // when the last event was forwarded; zero before the first
	// estimatedReady is when the model was to be ready, by the estimate made as the present wait
	// began; source is the source of that estimate. estimatedReady is zero outside a wait.
	estimatedReady time.Time
	source         waiting.Source
	// waiter is the request's entry in the queue of the endpoint that it waits for; nil if it waits
	// for none. waitDeadline is the latest time at which the last such wait was to end.
	waiter       *backpressure.Waiter
	waitDeadline time.Time
	// retryReserved: a retry is reserved for the next attempt.
	retryReserved bool
	// budgetEmpty: the retry budget of the service allowed no further attempt.
	budgetEmpty bool
}

// record records a failed attempt.
func (t *attemptState) record(f *failure, endpoint fleet.Incarnation) {
	f.endpoint = endpoint
	t.last = f
	t.verdict = max(t.verdict, f.verdict)
	t.broke = t.broke || f.connBroken
	if f.verdict != protocol.NotRun && !slices.ContainsFunc(t.ran, endpoint.Matches) {
		t.ran = append(t.ran, endpoint)
	}
	if f.silent {
		t.left = append(t.left, endpoint)
		return
	}
	for _, e := range t.left {
		t.exclude = without(t.exclude, e)
	}
}

// mayRetry reports whether the request may go to another endpoint: it has not run, or it may be
// repeated and has attempts left. A begun stream can continue only after an event with an id.
func (t *attemptState) mayRetry(q *request, a *answer) bool {
	if t.verdict == protocol.NotRun {
		return true
	}
	if resumable := !a.headerSent || a.lastEventID != ""; !q.route.Repeatable() || !resumable {
		return false
	}
	if len(t.ran) < q.route.MaxAttempts {
		return true
	}
	t.returns = len(t.left) > 0 // the request runs at no further endpoint
	return t.returns
}

// run tries endpoints until one has answered. It returns nil if the caller has got the answer.
func (s *Server) run(ctx context.Context, q *request, a *answer) *protocol.Refusal {
	s.opt.Retries.Earn(q.service.Name)
	t := &attemptState{}
	a.onTaken = func() { s.releaseRetry(q, t) }
	defer func() {
		s.leaveQueue(t, false)
		s.releaseRetry(q, t)
	}()
	for ; ; t.sends++ {
		if ctx.Err() != nil || q.timeLeft() <= 0 {
			return s.outOfTime(t.verdict)
		}
		if t.sends > 0 && !s.mayAttemptAgain(ctx, q, t, a.headerSent || q.continued()) {
			return s.finalRefusal(q, t)
		}
		e, refusal := s.selectEndpoint(ctx, q, t)
		if refusal != nil && !t.returns && len(t.left) > 0 && ctx.Err() == nil {
			t.returns = true
			e, refusal = s.selectEndpoint(ctx, q, t)
		}
		switch {
		case refusal != nil && t.verdict != protocol.NotRun:
			s.opt.Log.Info(decisions.EventNotResumed, "request", q.call.ID, "reason", refusal.Reason, "detail", refusal.Detail, "ms", time.Since(q.arrived).Milliseconds())
			return s.finalRefusal(q, t)
		case refusal != nil:
			return refusal
		}
		if a.headerSent {
			s.metrics.resumed.Inc(1)
		}
		f := s.attempt(ctx, q, e, a, !t.returns && len(t.ran)+1 < q.route.MaxAttempts)
		if q.counted {
			s.opt.Throttle.Ended(e.Incarnation(), q.answered)
		}
		if f == nil {
			s.opt.Quarantine.ObserveSuccess(q.subject(), quarantine.SoftwareOf(a.software), clock.Now().Add(-time.Since(a.sentAt)))
			return nil
		}
		if counter := s.metrics.withoutEnd[f.reason]; counter != nil {
			counter.Inc(1)
		}
		s.reportToQuarantine(ctx, q, e, a, f)
		t.record(f, e.Incarnation())
		t.lastEventAt = a.lastEventAt
		if f.reason == reasonOutOfTime {
			return s.outOfTime(t.verdict)
		}
		if f.silent {
			s.releaseRetry(q, t) // of an earlier return
			t.retryReserved = true
		}
		if f.final {
			return s.finalRefusal(q, t)
		}
		if s.handleFailure(ctx, q, e, f) {
			t.exclude = append(t.exclude, e.Incarnation())
		}
		mayRetry := t.mayRetry(q, a) && s.bindToOrigin(q, a)
		s.opt.Log.Info(decisions.EventAttemptFailed, "request", q.call.ID, "endpoint", e.ID, "endpoint_revision", e.Version, "software", e.Software, "resumes", q.call.Resumes, "last_event", a.lastEventID, "parts", loggedParts(q), "reason", f.reason, "error", f.err,
			"verdict", f.verdict.String(), "again", mayRetry, "fingerprint", q.fingerprint().String(), "began", f.eventsForwarded, "sent_ms", a.sentAt.Sub(q.arrived).Milliseconds(), "endpoints_age_ms", a.viewAge.Milliseconds(), "ms", time.Since(q.arrived).Milliseconds())
		if !mayRetry && ctx.Err() == nil {
			return s.finalRefusal(q, t)
		}
		if !mayRetry {
			return s.outOfTime(t.verdict)
		}
	}
}

// maxLoggedParts bounds the prompt parts that a log line names.
const maxLoggedParts = 8

// loggedParts returns the first shared parts of the request's prompt.
func loggedParts(q *request) []string {
	return q.call.SharedParts[:min(len(q.call.SharedParts), maxLoggedParts)]
}

// maxSelections bounds the endpoints chosen for one attempt that then turn out to take no requests.
// All requests skip such an endpoint for a while, so that few requests have to choose again.
const maxSelections = 8

// selectEndpoint chooses the endpoint for the next attempt and admits the request there. A
// quarantined request is refused before it waits for a model, and checked again just before it is
// sent: other daemons may have quarantined it during the wait.
func (s *Server) selectEndpoint(ctx context.Context, q *request, t *attemptState) (*fleet.Endpoint, *protocol.Refusal) {
	for range maxSelections {
		if refusal := s.checkOrigin(q); refusal != nil {
			return nil, refusal
		}
		if refusal := s.checkHeld(q, t); refusal != nil {
			return nil, refusal
		}
		e, refusal := s.locate(ctx, q, t)
		s.observeWait(t, refusal == nil)
		if refusal != nil {
			return nil, refusal
		}
		admitted, refusal := s.admit(ctx, q, t, e)
		if refusal != nil {
			return nil, refusal
		}
		if admitted {
			t.left = slices.DeleteFunc(t.left, e.Incarnation().Matches)
			return e, nil
		}
	}
	return nil, s.refuseUnavailable(q, t, s.unavailable(q, t, s.candidates(q)))
}

// checkHeld refuses a request that the quarantine keeps away from all endpoints.
func (s *Server) checkHeld(q *request, t *attemptState) *protocol.Refusal {
	if t.returnsUnharmed() {
		return nil
	}
	return s.opt.Quarantine.CheckHeld(q.subject(), func() []quarantiner.Target { return s.targets(q) })
}

// returnsUnharmed reports whether the request returns to endpoints that were silent, and none has broken off under it. The quarantine has
// no say then: the request has run there already, and what is held back since may be a part that it only shares.
func (t *attemptState) returnsUnharmed() bool { return t.returns && !t.broke }

// admit is the last check before a request is sent to an endpoint, however the endpoint was chosen.
// It sets q.probe and q.limitTicket to what the request takes. It returns false without a refusal
// if the endpoint takes no requests now.
func (s *Server) admit(ctx context.Context, q *request, t *attemptState, e *fleet.Endpoint) (admitted bool, refusal *protocol.Refusal) {
	// A daemon that has just started waits here for the state of its peers. Requests without a
	// suitable endpoint were refused before that.
	s.opt.Quarantine.WaitSynced(ctx)
	s.opt.Throttle.WaitSynced(ctx)
	q.probe = nil
	if !t.returnsUnharmed() {
		if q.probe, refusal = s.opt.Quarantine.Admit(ctx, q.subject(), s.target(q, e)); refusal != nil {
			return false, refusal
		}
	}
	ticket, d := s.opt.Throttle.Admit(ctx, e.Incarnation(), t.queueRequest(q))
	if d.Closed() {
		s.opt.Quarantine.ReturnProbe(q.probe)
		return false, nil
	}
	if refusal = s.recheckKey(q, t); refusal == nil && q.timeLeft() <= 0 { // as when the host was suspended during the wait
		refusal = s.outOfTime(t.verdict)
	}
	if paid := refusal == nil && s.payRetry(q, t); !paid {
		if d.Counted {
			s.opt.Throttle.Ended(e.Incarnation(), false)
		}
		s.opt.Throttle.Refund(ticket)
		s.opt.Quarantine.ReturnProbe(q.probe)
		if refusal == nil {
			refusal = s.refuseUnpaid(ctx, q, t)
		}
		return false, refusal
	}
	q.limitTicket, q.counted, q.answered = ticket, d.Counted, false
	s.leaveQueue(t, true)
	return true, nil
}

// reportToQuarantine reports a failed attempt to the quarantine, which tracks failures that may be
// crashes of the endpoint. It returns the probe if the request has not run, and refunds the rate
// limit if the request has not reached the endpoint.
func (s *Server) reportToQuarantine(ctx context.Context, q *request, e *fleet.Endpoint, a *answer, f *failure) {
	if f.verdict == protocol.NotRun {
		s.opt.Quarantine.ReturnProbe(q.probe)
	}
	if f.unreachable {
		s.opt.Throttle.Refund(q.limitTicket)
	}
	switch {
	case f.unreachable:
		s.opt.Quarantine.ObserveDialError(e.Incarnation(), f.err)
	case f.connBroken:
		on := s.target(q, e)
		s.opt.Quarantine.ObserveBroken(ctx, quarantiner.BrokenAttempt{
			Request: q.call.ID, Fingerprint: q.fingerprint(), Incarnation: e.Incarnation(), Address: e.Address, Sent: clock.Now().Add(-time.Since(a.sentAt)), AnswerBegan: f.eventsForwarded, Software: on.Request, Parts: q.parts(), Endpoint: on.Endpoint,
		})
	}
}

// reasonOutOfTime is the reason of a refusal because the time of the request is over.
const reasonOutOfTime = "out-of-time"

// outOfTime returns the refusal of a request whose time is over.
func (s *Server) outOfTime(verdict protocol.Verdict) *protocol.Refusal {
	if verdict == protocol.NotRun {
		return protocol.Refuse(http.StatusServiceUnavailable, reasonOutOfTime, "the request's time is over", retryBusy)
	}
	return protocol.RefuseMayHaveRun(http.StatusGatewayTimeout, reasonOutOfTime, "the request's time is over")
}

// finalRefusal turns the last failure into the final refusal.
func (s *Server) finalRefusal(q *request, t *attemptState) *protocol.Refusal {
	if t.verdict == protocol.NotRun {
		if unavailable := s.unavailable(q, t, s.candidates(q)); t.last.paused && unavailable.all {
			return s.refuseUnavailable(q, t, unavailable)
		}
		return protocol.Refuse(http.StatusServiceUnavailable, t.last.reason, "no endpoint took the request"+t.budgetDetail(), retryBusy)
	}
	r := protocol.RefuseMayHaveRun(http.StatusBadGateway, t.last.reason, "the endpoint's answer did not arrive"+t.budgetDetail())
	r.Verdict = t.verdict
	return r
}

// budgetDetail returns what the detail of a final refusal says of the retry budget.
func (t *attemptState) budgetDetail() string {
	if !t.budgetEmpty {
		return ""
	}
	return ", and the retry budget of its service is empty"
}

// absentAt returns the endpoint of the last attempt if it reported that it does not hold the model;
// otherwise the zero value.
func (t *attemptState) absentAt() fleet.Incarnation {
	if t.last == nil || !t.last.absent {
		return fleet.Incarnation{}
	}
	return t.last.endpoint
}

// handleFailure updates the balancer after a failure, and reports whether the request should
// exclude the endpoint.
func (s *Server) handleFailure(ctx context.Context, q *request, e *fleet.Endpoint, f *failure) (exclude bool) {
	now := clock.Now()
	switch {
	case ctx.Err() != nil:
		return false
	case f.absent:
		s.opt.Balancer.MarkAbsent(now, e.Incarnation(), q.unit())
		return q.call.Model == ""
	case f.loading:
		pause.For(ctx, loadingPause)
		return false
	case f.paused:
		return false // the endpoint's own backpressure signal keeps all requests away
	}
	if f.noPath {
		return true // Balancer.Pick leaves out endpoints without a path
	}
	if f.relayEnded || f.connBroken && s.opt.Paths.Lost(e.Address) {
		return false // the path broke, not the endpoint, which can be reached through another daemon
	}
	if errors.Is(f.err, bodies.ErrEndNotKnown) {
		return true // this request tries another endpoint; others need not keep away
	}
	if f.connRefused {
		s.opt.Balancer.MarkUnreachable(now, e.Incarnation())
	}
	var d time.Duration
	if f.silent {
		d = s.opt.Balancer.MarkSilent(now, e.Incarnation())
	} else {
		d = s.opt.Balancer.Failed(now, e.Incarnation())
	}
	s.opt.Log.Info(decisions.EventEndpointAvoided, "request", q.call.ID, "endpoint", e.ID, "reason", f.reason, "for_ms", d.Milliseconds())
	return true
}

package edge

import (
	"context"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// maxSends bounds the attempts of a request before its answer begins; most of them end in
	// refusals that cost little. Attempts to continue a begun answer are bounded by the route's
	// MaxWait.
	maxSends = 5
	// refusedPause is the pause before the endpoints are tried again that have all refused to
	// continue a begun answer. It is some steps of an engine's batch, and doubles up to
	// maxRefusedPause, a fifth of the shortest time that callers wait.
	refusedPause    = 100 * time.Millisecond
	maxRefusedPause = 400 * time.Millisecond
	// budgetPause is the interval of checking an empty retry budget.
	budgetPause = 100 * time.Millisecond
)

// mayAttemptAgain reports whether the request may have a further attempt, and reserves its retry, which payRetry
// spends when it is sent. begun reports whether the caller has a part of the answer, from this attempt or an earlier one: then
// mayAttemptAgain waits for an endpoint and for the budget as long as the caller waits, because the answer would break
// off otherwise. Other requests fail at once, and their callers can retry themselves.
func (s *Server) mayAttemptAgain(ctx context.Context, q *request, t *attemptState, begun bool) bool {
	if !begun && t.sends >= maxSends {
		return false
	}
	if begun && !s.awaitEndpoint(ctx, q, t) {
		return false
	}
	if t.retryIsPaid() || s.reserveRetry(q, t) {
		return true
	}
	s.noteBudgetEmpty(q, t)
	return begun && s.awaitBudget(ctx, q, t)
}

// retryIsPaid reports whether the next attempt takes nothing out of the budget: a request for which no connection
// was opened has reached no endpoint, so that its next attempt is no retry.
func (t *attemptState) retryIsPaid() bool { return t.last.retryPaid || t.last.unreachable }

// reserveRetry reserves the retry of the next attempt, unless it has one.
func (s *Server) reserveRetry(q *request, t *attemptState) bool {
	t.retryReserved = t.retryReserved || s.opt.Retries.Reserve(q.service.Name)
	return t.retryReserved
}

// releaseRetry ends the reservation of an attempt that is not sent.
func (s *Server) releaseRetry(q *request, t *attemptState) {
	if t.retryReserved {
		t.retryReserved = false
		s.opt.Retries.Release(q.service.Name)
	}
}

// payRetry takes an attempt that is about to be sent out of the budget, unless it is the request's first one, and
// reports whether it may be sent.
func (s *Server) payRetry(q *request, t *attemptState) bool {
	if t.last == nil {
		return true
	}
	if !t.retryIsPaid() {
		t.retryReserved = false
		if !s.opt.Retries.SpendReserved(q.service.Name) {
			return false
		}
	}
	s.metrics.retried.Inc(1)
	s.opt.Retries.Count(q.service.Name, t.last.reason)
	return true
}

// refuseUnpaid refuses a request whose reserved retry has been cut. It returns nil if an endpoint can be chosen
// again, once the budget allows a retry of an answer that has begun.
func (s *Server) refuseUnpaid(ctx context.Context, q *request, t *attemptState) *protocol.Refusal {
	s.noteBudgetEmpty(q, t)
	if begun := !t.lastEventAt.IsZero() || q.continued(); begun && s.awaitBudget(ctx, q, t) {
		return nil
	}
	return s.finalRefusal(q, t)
}

// noteBudgetEmpty records that the budget allows no further attempt of the request now.
func (s *Server) noteBudgetEmpty(q *request, t *attemptState) {
	t.budgetEmpty = true
	s.opt.Retries.NoteRefused(q.service.Name)
}

// awaitEndpoint pauses if all endpoints that could continue an answer have refused it. It reports
// whether the caller still waits after the pause.
func (s *Server) awaitEndpoint(ctx context.Context, q *request, t *attemptState) bool {
	if t.last.verdict != protocol.NotRun || s.hasUntried(q, t) {
		return true
	}
	d := min(refusedPause<<t.pauses, maxRefusedPause)
	t.pauses++
	if !t.callerWaits(q, d) {
		return false
	}
	pause.For(ctx, d)
	return ctx.Err() == nil
}

// awaitBudget waits until it can reserve a retry. It reports false if the caller does not wait that long.
func (s *Server) awaitBudget(ctx context.Context, q *request, t *attemptState) bool {
	for ctx.Err() == nil && t.callerWaits(q, budgetPause) {
		pause.For(ctx, budgetPause)
		if s.reserveRetry(q, t) {
			t.budgetEmpty = false
			return true
		}
	}
	return false
}

// hasUntried reports whether an endpoint that can serve the request has not failed it yet.
func (s *Server) hasUntried(q *request, t *attemptState) bool {
	return s.untriedAmong(q, t, s.candidates(q))
}

// untriedAmong is hasUntried for the given candidates.
func (s *Server) untriedAmong(q *request, t *attemptState, candidates []*fleet.Endpoint) bool {
	return slices.ContainsFunc(candidates, func(e *fleet.Endpoint) bool {
		return s.accepts(q, t, e) && !slices.ContainsFunc(t.exclude, e.Incarnation().Matches)
	})
}

// callerWaits reports whether the caller is likely to wait for an answer that continues after d.
func (t *attemptState) callerWaits(q *request, d time.Duration) bool {
	return waiting.Decide(waiting.Input{
		ReadyIn: d, Elapsed: t.callerSilence(q), TimeLeft: q.timeLeft(), MaxWait: q.route.MaxWait, Started: true,
	}).Wait
}

// callerSilence returns the time since the caller got an event, or since the request's arrival if
// it has got none.
func (t *attemptState) callerSilence(q *request) time.Duration {
	if t.lastEventAt.IsZero() {
		return time.Since(q.arrived)
	}
	return time.Since(t.lastEventAt)
}

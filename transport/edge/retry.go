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
	// maxSends bounds the times that a request is offered to endpoints before its
	// answer begins; most of them are refusals that cost little. A begun answer is
	// bounded by its caller's patience.
	maxSends = 5
	// refusedPause is the pause before the endpoints that have all refused to go on
	// with a begun answer are asked again, some steps of an engine's batch; it
	// doubles up to refusedMost, a fifth of the shortest patience of a caller.
	refusedPause = 100 * time.Millisecond
	refusedMost  = 400 * time.Millisecond
	// budgetPause is the pause between two looks at an empty retry budget, which
	// each request of this daemon fills by a part of a retry.
	budgetPause = 100 * time.Millisecond
)

// payRetry takes a further attempt out of the budget, and reports whether there is
// one. begun says that the caller has a part of the answer: then it waits, while its
// caller does, for a place and for credit, since the answer can only break off. All
// others are told at once, and can try again themselves.
func (s *Server) payRetry(ctx context.Context, q *request, t *tries, begun bool) bool {
	if !begun && t.sends >= maxSends {
		return false
	}
	if begun && !s.awaitPlace(ctx, q, t) {
		return false
	}
	// What was refused with the connection has reached nobody: another endpoint is its
	// first, and no retry.
	paid := t.last.paid || t.last.refused || s.opt.Budget.Spend()
	if !paid && begun {
		paid = s.awaitBudget(ctx, q, t)
	}
	if paid {
		s.metrics.retried.Inc(1)
	}
	return paid
}

// awaitPlace pauses where all endpoints that can go on with an answer have refused
// it, and reports whether its caller is still there afterwards.
func (s *Server) awaitPlace(ctx context.Context, q *request, t *tries) bool {
	if t.last.verdict != protocol.NotRun || s.hasUntried(q, t) {
		return true
	}
	d := min(refusedPause<<t.pauses, refusedMost)
	t.pauses++
	if !t.outlasts(q, d) {
		return false
	}
	pause.For(ctx, d)
	return ctx.Err() == nil
}

// awaitBudget takes a retry out of the budget as soon as other requests have earned
// one, if the caller is still there then.
func (s *Server) awaitBudget(ctx context.Context, q *request, t *tries) bool {
	for ctx.Err() == nil && t.outlasts(q, budgetPause) {
		pause.For(ctx, budgetPause)
		if s.opt.Budget.Spend() {
			return true
		}
	}
	return false
}

// hasUntried reports whether an endpoint that can serve a request has not been asked
// yet.
func (s *Server) hasUntried(q *request, t *tries) bool {
	return s.untriedAmong(q, t, s.candidates(q))
}

// untriedAmong is hasUntried for some endpoints.
func (s *Server) untriedAmong(q *request, t *tries, candidates []*fleet.Endpoint) bool {
	return slices.ContainsFunc(candidates, func(e *fleet.Endpoint) bool {
		return s.takes(q, t, e) && !slices.ContainsFunc(t.exclude, e.Incarnation().Matches)
	})
}

// outlasts reports whether the caller is still there when an answer goes on after a
// pause.
func (t *tries) outlasts(q *request, d time.Duration) bool {
	return waiting.Decide(waiting.Input{
		ReadyIn: d, Elapsed: t.silentFor(q), TimeLeft: q.timeLeft(), MaxWait: q.route.MaxWait, Started: true,
	}).Wait
}

// silentFor returns for how long the caller has heard nothing.
func (t *tries) silentFor(q *request) time.Duration {
	if t.heard.IsZero() {
		return time.Since(q.arrived)
	}
	return time.Since(t.heard)
}

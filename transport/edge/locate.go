package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

const (
	// drainWaitReserve is the time that a draining daemon reserves after a wait, for the answer of
	// the request that waited.
	drainWaitReserve = 2500 * time.Millisecond
	// maxAskPause bounds the pause between two questions to the coordinator.
	maxAskPause = time.Second
)

// locate finds the endpoint for a request. It waits for the model if the request is likely to be
// served after that.
func (s *Server) locate(ctx context.Context, q *request, t *attemptState) (*fleet.Endpoint, *protocol.Refusal) {
	if t.returns {
		return s.locateLeft(ctx, q, t)
	}
	exclude, absent, unreachable := t.exclude, t.absentAt(), t.last != nil && t.last.unreachable && !t.last.noPath
	if q.service.Engine == nil || q.call.Model == "" {
		return s.locatePlain(ctx, q, t)
	}
	var avoid fleet.Incarnation
	if len(exclude) > 0 {
		avoid = exclude[len(exclude)-1]
	}
	for {
		if s.hasNoPath(q) {
			return nil, refuseNoPath()
		}
		q.assigned = false
		if e := s.locateLocally(q, t, exclude); e != nil {
			return e, nil
		}
		unavailable := s.unavailable(q, t, s.holders(q))
		if !q.constraint().Incarnation().IsZero() { // no load elsewhere could help
			return s.locateOnly(ctx, q, t, exclude)
		}
		answer := s.opt.Locator.Want(ctx, q.service.Name, s.wantOf(q, t, residency.Want{Avoid: avoid, Unreachable: unreachable, MissingAt: absent, Full: unavailable.incarnations}))
		absent, unreachable = fleet.Incarnation{}, false // reported to the coordinator only once
		if ctx.Err() != nil {
			return nil, s.outOfTime(protocol.NotRun)
		}
		if answer.Refused != "" {
			if e := s.locateAnyHolder(q, t, exclude); e != nil {
				return e, nil
			}
			if answer.Refused == residency.RefusedNoModel {
				return nil, protocol.Refuse(http.StatusServiceUnavailable, answer.Refused, "the service has no such model", retryBusy)
			}
		}
		if answer.Refused == "" && answer.ReadyIn <= 0 {
			if e := s.opt.View().Find(answer.Endpoint); e != nil && q.constraint().Allows(e) && s.beginning(q).Allows(e) && s.accepts(q, t, e) {
				s.opt.Balancer.ClearAbsent(e.Incarnation(), q.unit())
				q.assigned = true
				return e, s.checkQueueWait(q, t, answer)
			}
			answer.ReadyIn = loadingPause // the endpoint is not in this daemon's view, or takes no requests now
		}
		if e := s.pickLeaving(q, t); e != nil {
			return e, nil
		}
		if answer.Refused == residency.RefusedNoEngines {
			return nil, refuseVersionGone()
		}
		if len(t.left) > 0 { // one of them is expected to go on sooner
			return nil, refuseNotTaken()
		}
		refusal := s.waitForEarliest(ctx, q, t, answer, unavailable)
		if refusal != nil {
			return nil, refusal
		}
		if !avoid.IsZero() { // the endpoint that failed may be tried again after the wait
			exclude, avoid = without(exclude, avoid), fleet.Incarnation{}
		}
	}
}

// locateLeft picks an endpoint that the request has left because of its silence, once each. It waits for one that only takes
// no requests now, by its own word, as long as the caller waits.
func (s *Server) locateLeft(ctx context.Context, q *request, t *attemptState) (*fleet.Endpoint, *protocol.Refusal) {
	for {
		left := slices.DeleteFunc(slices.Clone(s.returnTargets(q, t)), func(e *fleet.Endpoint) bool { return !slices.ContainsFunc(t.left, e.Incarnation().Matches) })
		query := balanceQuery(q, nil)
		query.Request = t.queueRequest(q)
		if e := s.opt.Balancer.Pick(clock.Now(), left, query); e != nil {
			return e, nil
		}
		if e := s.opt.Balancer.PickLeaving(clock.Now(), left, query); e != nil {
			return e, nil
		}
		if len(s.opt.Balancer.Unavailable(clock.Now(), left, query.Request)) == 0 || !t.callerWaits(q, turnRecheck) {
			return nil, refuseNotTaken()
		}
		pause.For(ctx, turnRecheck)
		if ctx.Err() != nil {
			return nil, s.outOfTime(t.verdict)
		}
	}
}

// returnTargets returns the endpoints to which a request may return that has left them. The quarantine does not keep it away from
// them unless an endpoint has broken off under it: it has run there already.
func (s *Server) returnTargets(q *request, t *attemptState) []*fleet.Endpoint {
	list := s.originEndpoints(q)
	if t.broke {
		list = s.endpoints(q)
	}
	return servable(list, q)
}

// refuseNotTaken refuses a request that has left a silent endpoint and is taken by no other one.
func refuseNotTaken() *protocol.Refusal {
	return protocol.Refuse(http.StatusServiceUnavailable, "not-taken-over", "no endpoint has taken the request from a silent one", retryBusy)
}

// hasNoPath reports whether no connection to any endpoint of the request's service can be opened now.
func (s *Server) hasNoPath(q *request) bool {
	list := s.endpoints(q)
	return len(list) > 0 && !slices.ContainsFunc(list, func(e *fleet.Endpoint) bool { return s.opt.Paths.Path(e.Address) != reach.None })
}

// refuseNoPath refuses a request because no daemon that could be asked has a path to the endpoints.
func refuseNoPath() *protocol.Refusal {
	return protocol.Refuse(http.StatusServiceUnavailable, "no-path", "neither this daemon nor those that it has asked reach an endpoint of the service", retryNoPath)
}

// wantOf completes the description of a request for the coordinator. One that has begun must go on before its caller leaves; the
// objective of its first event does not count any more.
func (s *Server) wantOf(q *request, t *attemptState, w residency.Want) residency.Want {
	w.Model, w.Adapter, w.Rank = q.call.Model, q.call.Adapter, q.rank
	w.FailureDomain = s.opt.FailureDomain
	w.TimeLeft, w.Returning = q.timeLeft(), q.returned() || t.begun(q)
	query := balanceQuery(q, nil)
	w.Work, w.Parts = query.Work, query.Parts
	w.Only = s.softwareFilter(q)
	w.PromptTime = s.opt.Balancer.PromptTime(clock.Now(), q.service.Name, query)
	w.Slack = q.route.LatencyTarget - time.Since(q.arrived) - q.age() - w.PromptTime
	if t.begun(q) {
		w.Slack = min(q.timeLeft(), q.route.MaxWait-t.callerSilence(q)) - w.PromptTime
	}
	return w
}

// accepts reports whether an endpoint takes a request now: it is not leaving, not known to be
// unreachable, and open by its backpressure signals.
func (s *Server) accepts(q *request, t *attemptState, e *fleet.Endpoint) bool {
	return !e.Leaving && !s.opt.Balancer.Unreachable(clock.Now(), e) && s.opt.Throttle.Peek(e.Incarnation(), t.queueRequest(q)).Open
}

// waitForEarliest waits for an unavailable endpoint that holds the model, or for the model to be
// loaded at another endpoint, whichever is expected to be ready sooner.
func (s *Server) waitForEarliest(ctx context.Context, q *request, t *attemptState, answer residency.Answer, unavailable unavailableEndpoints) *protocol.Refusal {
	if len(unavailable.incarnations) > 0 && (answer.Refused != "" || unavailable.turnIn < answer.ReadyIn) {
		return s.awaitTurn(ctx, q, t, unavailable)
	}
	return s.waitForModel(ctx, q, t, answer)
}

// checkQueueWait refuses a request that would wait too long for a slot at the endpoint that the
// coordinator has assigned. It lets requests pass that may have run at an endpoint already, streams that
// are taken up if their callers wait that long, and new requests more urgent than the service's least urgent
// rank, as endpoints admit them first.
func (s *Server) checkQueueWait(q *request, t *attemptState, answer residency.Answer) *protocol.Refusal {
	switch {
	case t.verdict != protocol.NotRun:
		return nil
	case q.continued():
		if t.worthWaiting(q, answer.StartsIn/2) { // the estimate counts the new requests that it passes
			return nil
		}
	case q.rank < q.service.LeastUrgentRank:
		return nil
	}
	d := waiting.Join(waiting.QueueInput{StartsIn: answer.StartsIn, Elapsed: time.Since(q.arrived), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget, Work: q.ownWork()})
	if d.Wait {
		return nil
	}
	detail := fmt.Sprintf("all endpoints that hold the model are full: a slot at %q in %d ms, objective %d ms", answer.Endpoint.ID, answer.StartsIn.Milliseconds(), q.route.LatencyTarget.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, "endpoints-full", detail, d.RetryAfter)
}

// waitForModel waits for the request's model, or refuses the request if the wait is not worthwhile.
func (s *Server) waitForModel(ctx context.Context, q *request, t *attemptState, answer residency.Answer) *protocol.Refusal {
	elapsed := time.Since(q.arrived)
	if t.verdict == protocol.NotRun && s.stopsBefore(answer.ReadyIn) {
		return protocol.Refuse(http.StatusServiceUnavailable, reasonStopping, "this daemon stops before the model is loaded", retryDraining)
	}
	source := sourceOf(answer)
	margin := s.margins.Of(source)
	d := waiting.Decide(waiting.Input{
		ReadyIn: answer.ReadyIn, Margin: margin, Elapsed: t.callerSilence(q), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget,
		MaxWait: q.route.MaxWait, Work: q.ownWork(), Started: t.verdict != protocol.NotRun, Continued: q.continued(), Committed: q.returned() || !t.estimatedReady.IsZero(),
	})
	if d.InVain && answer.Refused == "" && len(s.holders(q)) == 0 {
		return refuseInVain(answer)
	}
	if !d.Wait {
		reason := answer.Refused
		if reason == "" {
			reason = "model-loading"
		}
		detail := fmt.Sprintf("the model is not ready: endpoint %q, copy %s, in %d ms, margin %d ms", answer.Endpoint.ID, answer.Level, answer.ReadyIn.Milliseconds(), margin.Milliseconds())
		return protocol.Refuse(http.StatusServiceUnavailable, reason, detail, d.RetryAfter)
	}
	if t.estimatedReady.IsZero() {
		t.estimatedReady, t.source = time.Now().Add(answer.ReadyIn), source
	}
	s.opt.Log.Info(decisions.EventRequestWaiting, "request", q.call.ID, "model", q.unit(), "endpoint", answer.Endpoint.ID, "level", answer.Level.String(), "ready_in_ms", answer.ReadyIn.Milliseconds(), "margin_ms", margin.Milliseconds(), "elapsed_ms", elapsed.Milliseconds())
	pause.For(ctx, min(max(answer.ReadyIn, time.Millisecond), maxAskPause))
	q.waited = time.Since(q.arrived)
	s.metrics.waited.RecordDuration(time.Since(q.arrived) - elapsed)
	if ctx.Err() != nil {
		return s.outOfTime(protocol.NotRun)
	}
	return nil
}

// reasonModelTooLate is the reason of a refusal because the model of a stream that is taken up is ready too late at the engines of its
// version.
const reasonModelTooLate = "stream-model-too-late"

// refuseInVain refuses a stream that is taken up and that no engine of its version can serve before its caller's time is over. The
// status is one after which callers do not repeat the request as it is: as a new request, it may be served at another version.
func refuseInVain(answer residency.Answer) *protocol.Refusal {
	detail := fmt.Sprintf("the model is ready at an engine of this stream's version after the caller's time is over, in %d ms, copy %s: it cannot be taken up, begin it anew", answer.ReadyIn.Milliseconds(), answer.Level)
	return protocol.Refuse(http.StatusBadRequest, reasonModelTooLate, detail, 0)
}

// stopsBefore reports whether this daemon stops before it could answer a request that starts after
// the given wait.
func (s *Server) stopsBefore(wait time.Duration) bool {
	deadline := s.opt.DrainDeadline()
	return !deadline.IsZero() && time.Until(deadline) < wait+drainWaitReserve
}

// sourceOf returns the source of an answer's estimate: where the model's weights come from.
func sourceOf(answer residency.Answer) waiting.Source {
	switch {
	case answer.Refused != "" || answer.Endpoint.IsZero():
		return waiting.Unscheduled
	case answer.Level == residency.Resident:
		return waiting.Loaded
	case answer.Level == residency.Store:
		return waiting.WeightStore
	}
	return waiting.Nearby
}

// observeWait updates the margins with the error of the estimate made when the wait began. found
// reports whether the model was found. A wait that ended without the model counts only if the model
// is overdue by more than the present margin.
func (s *Server) observeWait(t *attemptState, found bool) {
	if t.estimatedReady.IsZero() {
		return
	}
	late := time.Since(t.estimatedReady)
	t.estimatedReady = time.Time{}
	if !found && late <= s.margins.Of(t.source) {
		return
	}
	s.margins.Observe(t.source, late)
	s.metrics.waitError.RecordDuration(max(0, late))
}

// without returns a copy of a list without one entry.
func without(list []fleet.Incarnation, entry fleet.Incarnation) []fleet.Incarnation {
	return slices.DeleteFunc(slices.Clone(list), func(e fleet.Incarnation) bool { return e == entry })
}

// locatePlain is locate for requests that need no model.
func (s *Server) locatePlain(ctx context.Context, q *request, t *attemptState) (*fleet.Endpoint, *protocol.Refusal) {
	for {
		list := s.endpoints(q)
		if e := s.opt.Balancer.Pick(clock.Now(), list, balance.Query{Exclude: t.exclude, Request: t.queueRequest(q)}); e != nil {
			return e, nil
		}
		if e := s.pickLeaving(q, t); e != nil {
			return e, nil
		}
		unavailable := s.unavailable(q, t, list)
		switch {
		case len(unavailable.incarnations) > 0:
		case s.hasNoPath(q):
			return nil, refuseNoPath()
		default:
			return nil, protocol.Refuse(http.StatusServiceUnavailable, "no-endpoint", "no endpoint of the service takes requests", retryBusy)
		}
		if refusal := s.awaitTurn(ctx, q, t, unavailable); refusal != nil {
			return nil, refusal
		}
	}
}

// holders returns the endpoints that hold the request's model and adapter, according to the
// daemon's view, and are not leaving.
func (s *Server) holders(q *request) []*fleet.Endpoint {
	held := withModel(s.endpoints(q), q)
	return slices.DeleteFunc(held, func(e *fleet.Endpoint) bool { return e.Leaving })
}

// servable returns the endpoints of a list that hold what the request needs: all of them, if it needs no model.
func servable(list []*fleet.Endpoint, q *request) []*fleet.Endpoint {
	if q.service.Engine == nil || q.call.Model == "" {
		return list
	}
	return withModel(list, q)
}

// withModel returns the endpoints of a list that hold the request's model and adapter.
func withModel(list []*fleet.Endpoint, q *request) []*fleet.Endpoint {
	return slices.DeleteFunc(slices.Clone(list), func(e *fleet.Endpoint) bool { return !e.Has(q.call.Model, q.call.Adapter) })
}

// locateLocally picks an endpoint without asking the coordinator, where several endpoints hold the
// model or the one picked has recently served it for this daemon. It returns nil if the coordinator
// must be asked.
func (s *Server) locateLocally(q *request, t *attemptState, exclude []fleet.Incarnation) *fleet.Endpoint {
	if q.call.Adapter != "" {
		return nil
	}
	holders := s.holders(q)
	query := balanceQuery(q, exclude)
	query.Request = t.queueRequest(q)
	e := s.opt.Balancer.Pick(clock.Now(), holders, query)
	if e == nil {
		return nil
	}
	if s.opt.Balancer.NearCapacity(clock.Now(), holders, query) || s.opt.Balancer.CoordinatorDirects(clock.Now(), q.service.Name, query, len(holders)) {
		return nil // the coordinator counts all requests that it has assigned, so it can tell who has room
	}
	if len(holders) >= minSteadyHolders || s.opt.Balancer.RecentlyServed(clock.Now(), e.Incarnation(), q.unit()) {
		return e
	}
	return nil
}

// minSteadyHolders is the number of holders from which a model counts as in steady use: if one of
// them evicts it, a request gets a refusal and goes to another holder, and needs no load.
const minSteadyHolders = 2

// locateAnyHolder picks any endpoint that holds the model by this daemon's view, where the
// coordinator has named none.
func (s *Server) locateAnyHolder(q *request, t *attemptState, exclude []fleet.Incarnation) *fleet.Endpoint {
	query := balanceQuery(q, exclude)
	query.Request = t.queueRequest(q)
	return s.opt.Balancer.Pick(clock.Now(), s.holders(q), query)
}

// balanceQuery describes a request to the balancer. Its work counts only at engines.
func balanceQuery(q *request, exclude []fleet.Incarnation) balance.Query {
	query := balance.Query{Unit: q.unit(), Affinity: affinity(q), Exclude: exclude}
	if q.service.Engine == nil || q.call.Model == "" || !q.call.TokensKnown {
		return query
	}
	query.Work = workcost.WorkOf(q.call.PromptTokens, q.call.OutputTokens, true)
	query.Parts = q.call.Parts
	query.CacheTokens = q.service.Engine.CacheTokens
	if q.route.Kind == routing.Streaming {
		query.GapTarget = q.route.GapTarget
	}
	return query
}

// affinity returns the prefix by which requests of a sticky route share an endpoint; empty for other
// routes.
func affinity(q *request) string {
	if !q.route.Sticky {
		return ""
	}
	return q.call.Prefix
}

package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// lastWait is the time that a draining daemon reserves after a wait, for the answer of the
	// request that waited.
	lastWait = 2500 * time.Millisecond
	// askPause bounds the pause between two questions to the coordinator.
	askPause = time.Second
)

// locate finds the endpoint for a request. It waits for the model if the request is likely to be
// served after that.
func (s *Server) locate(ctx context.Context, q *request, t *tries) (*fleet.Endpoint, *protocol.Refusal) {
	exclude, absent, unreachable := t.exclude, t.absentAt(), t.last != nil && t.last.unreachable
	if q.service.Engine == nil || q.call.Model == "" {
		return s.locatePlain(ctx, q, t)
	}
	var avoid fleet.Incarnation
	if len(exclude) > 0 {
		avoid = exclude[len(exclude)-1]
	}
	for {
		q.named = false
		if e := s.locateKnown(q, t, exclude); e != nil {
			return e, nil
		}
		shut := s.shut(q, t, s.holders(q))
		ans := s.opt.Locator.Want(ctx, q.service.Name, residency.Want{Model: q.call.Model, Adapter: q.call.Adapter, Rank: q.rank, Avoid: avoid, Unreachable: unreachable, MissingAt: absent, Full: shut.lives})
		absent, unreachable = fleet.Incarnation{}, false // reported to the coordinator only once
		if ctx.Err() != nil {
			return nil, s.outOfTime(protocol.NotRun)
		}
		if ans.Refused != "" {
			if e := s.locateAny(q, t, exclude); e != nil {
				return e, nil
			}
			if ans.Refused == residency.RefusedNoModel {
				return nil, protocol.Refuse(http.StatusServiceUnavailable, ans.Refused, "the service has no such model", retryBusy)
			}
		}
		if ans.Refused == "" && ans.ReadyIn <= 0 {
			if e := s.opt.View().Find(ans.Endpoint); e != nil && s.takes(q, t, e) {
				s.opt.Balancer.ClearAbsent(e.Incarnation(), q.unit())
				q.named = true
				return e, s.join(q, t, ans)
			}
			ans.ReadyIn = loadingPause // the endpoint is not in this daemon's view, or takes no requests now
		}
		if e := s.leavingThatServes(q, t); e != nil {
			return e, nil
		}
		refusal := s.waitSooner(ctx, q, t, ans, shut)
		if refusal != nil {
			return nil, refusal
		}
		if !avoid.IsZero() { // the endpoint that failed may be tried again after the wait
			exclude, avoid = without(exclude, avoid), fleet.Incarnation{}
		}
	}
}

// takes reports whether an endpoint takes a request now: it is not leaving, not known to be
// unreachable, and open by its backpressure signals.
func (s *Server) takes(q *request, t *tries, e *fleet.Endpoint) bool {
	return !e.Leaving && !s.opt.Balancer.Unreachable(clock.Now(), e.Incarnation()) && s.opt.Throttle.Peek(e.Incarnation(), t.ask(q)).Open
}

// waitSooner waits for an unavailable endpoint that holds the model, or for the model to be loaded
// at another endpoint, whichever is expected to be ready sooner.
func (s *Server) waitSooner(ctx context.Context, q *request, t *tries, ans residency.Answer, shut shutEndpoints) *protocol.Refusal {
	if len(shut.lives) > 0 && (ans.Refused != "" || shut.turn < ans.ReadyIn) {
		return s.awaitTurn(ctx, q, t, shut)
	}
	return s.wait(ctx, q, t, ans)
}

// join refuses a request that would wait too long for a slot at the endpoint that the coordinator
// has assigned. It lets requests pass that may have run at an endpoint already, and those more
// urgent than the service's least urgent rank, as endpoints admit them first.
func (s *Server) join(q *request, t *tries, ans residency.Answer) *protocol.Refusal {
	if t.verdict != protocol.NotRun || q.rank < q.service.LeastUrgentRank {
		return nil
	}
	d := waiting.Join(waiting.QueueInput{StartsIn: ans.StartsIn, Elapsed: time.Since(q.arrived), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget})
	if d.Wait {
		return nil
	}
	detail := fmt.Sprintf("all endpoints that hold the model are full: a slot at %q in %d ms, objective %d ms", ans.Endpoint.ID, ans.StartsIn.Milliseconds(), q.route.LatencyTarget.Milliseconds())
	return protocol.Refuse(http.StatusServiceUnavailable, "endpoints-full", detail, d.RetryAfter)
}

// wait waits for the request's model, or refuses the request if the wait is not worthwhile.
func (s *Server) wait(ctx context.Context, q *request, t *tries, ans residency.Answer) *protocol.Refusal {
	elapsed := time.Since(q.arrived)
	if s.stopsBefore(ans.ReadyIn) {
		return protocol.Refuse(http.StatusServiceUnavailable, "stopping", "this daemon stops before the model is loaded", retryDraining)
	}
	source := sourceOf(ans)
	margin := s.margins.Of(source)
	d := waiting.Decide(waiting.Input{
		ReadyIn: ans.ReadyIn, Margin: margin, Elapsed: t.silentFor(q), TimeLeft: q.timeLeft(), Target: q.route.LatencyTarget,
		MaxWait: q.route.MaxWait, Started: t.verdict != protocol.NotRun,
	})
	if !d.Wait {
		reason := ans.Refused
		if reason == "" {
			reason = "model-loading"
		}
		detail := fmt.Sprintf("the model is not ready: endpoint %q, copy %s, in %d ms, margin %d ms", ans.Endpoint.ID, ans.Level, ans.ReadyIn.Milliseconds(), margin.Milliseconds())
		return protocol.Refuse(http.StatusServiceUnavailable, reason, detail, d.RetryAfter)
	}
	if t.estimated.IsZero() {
		t.estimated, t.source = time.Now().Add(ans.ReadyIn), source
	}
	s.opt.Log.Info(decisions.EventRequestWaiting, "request", q.call.ID, "model", q.unit(), "endpoint", ans.Endpoint.ID, "level", ans.Level.String(), "ready_in_ms", ans.ReadyIn.Milliseconds(), "margin_ms", margin.Milliseconds(), "elapsed_ms", elapsed.Milliseconds())
	pause.For(ctx, min(max(ans.ReadyIn, time.Millisecond), askPause))
	q.waited = time.Since(q.arrived)
	s.metrics.waited.RecordDuration(time.Since(q.arrived) - elapsed)
	if ctx.Err() != nil {
		return s.outOfTime(protocol.NotRun)
	}
	return nil
}

// stopsBefore reports whether this daemon stops before it could answer a request that starts after
// the given wait.
func (s *Server) stopsBefore(wait time.Duration) bool {
	ends := s.opt.DrainDeadline()
	return !ends.IsZero() && time.Until(ends) < wait+lastWait
}

// sourceOf returns the source of an answer's estimate: where the model's weights come from.
func sourceOf(ans residency.Answer) waiting.Source {
	switch {
	case ans.Refused != "" || ans.Endpoint.IsZero():
		return waiting.Unscheduled
	case ans.Level == residency.Resident:
		return waiting.Loaded
	case ans.Level == residency.Store:
		return waiting.WeightStore
	}
	return waiting.Nearby
}

// observeWait updates the margins with the error of the estimate made when the wait began. there
// reports whether the model was found. A wait that ended without the model counts only if the model
// is overdue by more than the present margin.
func (s *Server) observeWait(t *tries, there bool) {
	if t.estimated.IsZero() {
		return
	}
	late := time.Since(t.estimated)
	t.estimated = time.Time{}
	if !there && late <= s.margins.Of(t.source) {
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
func (s *Server) locatePlain(ctx context.Context, q *request, t *tries) (*fleet.Endpoint, *protocol.Refusal) {
	for {
		list := s.opt.View().ByService[q.service.Name]
		if e := s.opt.Balancer.Pick(clock.Now(), list, balance.Query{Exclude: t.exclude, Request: t.ask(q)}); e != nil {
			return e, nil
		}
		if e := s.leavingThatServes(q, t); e != nil {
			return e, nil
		}
		shut := s.shut(q, t, list)
		if len(shut.lives) == 0 {
			return nil, protocol.Refuse(http.StatusServiceUnavailable, "no-endpoint", "no endpoint of the service takes requests", retryBusy)
		}
		if refusal := s.awaitTurn(ctx, q, t, shut); refusal != nil {
			return nil, refusal
		}
	}
}

// holders returns the endpoints that hold the request's model and adapter, according to the
// daemon's view, and are not leaving.
func (s *Server) holders(q *request) []*fleet.Endpoint {
	held := holding(s.opt.View().ByService[q.service.Name], q)
	return slices.DeleteFunc(held, func(e *fleet.Endpoint) bool { return e.Leaving })
}

// holding returns the endpoints of a list that hold the request's model and adapter.
func holding(list []*fleet.Endpoint, q *request) []*fleet.Endpoint {
	return slices.DeleteFunc(slices.Clone(list), func(e *fleet.Endpoint) bool { return !e.Has(q.call.Model, q.call.Adapter) })
}

// locateKnown picks an endpoint without asking the coordinator, where several endpoints hold the
// model or the one picked has recently served it for this daemon. It returns nil if the coordinator
// must be asked.
func (s *Server) locateKnown(q *request, t *tries, exclude []fleet.Incarnation) *fleet.Endpoint {
	if q.call.Adapter != "" {
		return nil
	}
	holders := s.holders(q)
	e := s.opt.Balancer.Pick(clock.Now(), holders, balance.Query{Unit: q.unit(), Affinity: affinity(q), Exclude: exclude, Request: t.ask(q)})
	if e == nil {
		return nil
	}
	if s.opt.Balancer.NearCapacity(clock.Now(), holders, balance.Query{Unit: q.unit(), Exclude: exclude, Request: t.ask(q)}) {
		return nil // the coordinator counts all requests that it has assigned, so it can tell who has room
	}
	if len(holders) >= severalHolders || s.opt.Balancer.RecentlyServed(clock.Now(), e.Incarnation(), q.unit()) {
		return e
	}
	return nil
}

// severalHolders is the number of holders from which a model counts as in steady use: if one of
// them evicts it, a request gets a refusal and goes to another holder, and needs no load.
const severalHolders = 2

// locateAny picks any endpoint that holds the model by this daemon's view, where the coordinator
// has named none.
func (s *Server) locateAny(q *request, t *tries, exclude []fleet.Incarnation) *fleet.Endpoint {
	return s.opt.Balancer.Pick(clock.Now(), s.holders(q), balance.Query{Unit: q.unit(), Affinity: affinity(q), Exclude: exclude, Request: t.ask(q)})
}

// affinity returns the prefix by which requests of a sticky route share an endpoint; empty for other
// routes.
func affinity(q *request) string {
	if !q.route.Sticky {
		return ""
	}
	return q.call.Prefix
}

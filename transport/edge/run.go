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
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// maxSends bounds the times that one request is offered to endpoints, most
	// of which are refusals that cost little.
	maxSends = 5
	// loadingPause is the wait before an endpoint that is still loading is
	// tried again.
	loadingPause = 100 * time.Millisecond
	// lastWait is the time that a draining daemon must have left for the answer
	// of a request that waits for its model.
	lastWait = 2500 * time.Millisecond
	// askPause bounds the wait between two questions to the coordinator.
	askPause = time.Second
)

// tries is what has become of a request's attempts so far.
type tries struct {
	sends   int              // attempts begun
	ran     int              // endpoints that the request may have run at
	verdict protocol.Verdict // the worst of all attempts
	exclude []string         // endpoints that have failed it
	last    *failure
	heard   time.Time // when the caller got the last event; zero before the first
	// estimated is when the model was first said to be there, on what source;
	// zero while nothing was said.
	estimated time.Time
	source    waiting.Source
}

// note records a failed attempt.
func (t *tries) note(f *failure, endpoint string) {
	f.endpoint = endpoint
	t.last = f
	t.verdict = max(t.verdict, f.verdict)
	if f.verdict != protocol.NotRun {
		t.ran++
	}
}

// again reports whether the request may go to another endpoint: it has not
// run, or it may be repeated. A stream goes on only after an event whose id is
// known.
func (t *tries) again(q *request, a *answer) bool {
	if t.verdict == protocol.NotRun {
		return true
	}
	resumable := !a.begun || a.lastID != ""
	return q.route.Repeatable() && t.ran < q.route.Attempts && resumable
}

// run tries endpoints until one has answered. It returns nil when the caller
// has its answer.
func (s *Server) run(ctx context.Context, q *request, a *answer) *protocol.Refusal {
	s.opt.Budget.Earn()
	t := &tries{}
	for ; ; t.sends++ {
		if ctx.Err() != nil {
			return s.outOfTime(t.verdict)
		}
		if t.sends > 0 && !s.payRetry(t) {
			return giveUp(t)
		}
		e, refusal := s.locate(ctx, q, t)
		s.observeWait(t, refusal == nil)
		switch {
		case refusal != nil && t.verdict != protocol.NotRun:
			s.opt.Log.Info(decisions.EventNotResumed, "request", q.call.ID, "reason", refusal.Reason, "detail", refusal.Detail, "ms", time.Since(q.arrived).Milliseconds())
			return giveUp(t)
		case refusal != nil:
			return refusal
		}
		if a.begun {
			s.metrics.resumed.Inc(1)
		}
		f := s.attempt(ctx, q, e, a, t.ran+1 < q.route.Attempts)
		if f == nil {
			return nil
		}
		t.note(f, e.ID)
		t.heard = a.last
		if s.learn(ctx, q, e, f) {
			t.exclude = append(t.exclude, e.ID)
		}
		again := t.again(q, a)
		s.opt.Log.Info(decisions.EventAttemptFailed, "request", q.call.ID, "endpoint", e.ID, "endpoint_revision", e.Revision, "reason", f.reason, "error", f.err,
			"verdict", f.verdict.String(), "again", again, "ms", time.Since(q.arrived).Milliseconds())
		if !again && ctx.Err() == nil {
			return giveUp(t)
		}
		if !again {
			return s.outOfTime(t.verdict)
		}
	}
}

// payRetry takes a further attempt out of the budget.
func (s *Server) payRetry(t *tries) bool {
	if t.sends >= maxSends || !t.last.paid && !s.opt.Budget.Spend() {
		return false
	}
	s.metrics.retried.Inc(1)
	return true
}

func (s *Server) outOfTime(verdict protocol.Verdict) *protocol.Refusal {
	if verdict == protocol.NotRun {
		return protocol.Refuse(http.StatusServiceUnavailable, "out-of-time", "the request's time is over", retryBusy)
	}
	return protocol.Unsure(http.StatusGatewayTimeout, "out-of-time", "the request's time is over")
}

// giveUp turns the last failure into the final answer.
func giveUp(t *tries) *protocol.Refusal {
	if t.verdict == protocol.NotRun {
		return protocol.Refuse(http.StatusServiceUnavailable, t.last.reason, "no endpoint took the request", retryBusy)
	}
	r := protocol.Unsure(http.StatusBadGateway, t.last.reason, "the endpoint's answer did not arrive")
	r.Verdict = t.verdict
	return r
}

// absentAt returns the endpoint that has just said that it does not hold the
// model, empty if none did.
func (t *tries) absentAt() string {
	if t.last == nil || !t.last.absent {
		return ""
	}
	return t.last.endpoint
}

// learn takes what a failure tells of the endpoint, and reports whether this
// request should keep away from it.
func (s *Server) learn(ctx context.Context, q *request, e *fleet.Endpoint, f *failure) (exclude bool) {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return false
	case f.absent:
		s.opt.Balancer.Absent(now, e.ID, q.unit())
		return q.call.Model == ""
	case f.loading:
		pause.For(ctx, loadingPause)
		return false
	case f.leaving:
		s.opt.EndpointLeaving(e.ID)
		return true
	}
	d := s.opt.Balancer.Failed(now, e.ID)
	s.opt.Log.Info(decisions.EventAvoided, "request", q.call.ID, "endpoint", e.ID, "reason", f.reason, "for_ms", d.Milliseconds())
	return true
}

// locate finds the endpoint for a request, waiting for its model if that is
// worth it.
func (s *Server) locate(ctx context.Context, q *request, t *tries) (*fleet.Endpoint, *protocol.Refusal) {
	exclude, absent, unreachable := t.exclude, t.absentAt(), t.last != nil && t.last.unreachable
	if q.service.Engine == nil || q.call.Model == "" {
		return s.locatePlain(q, exclude)
	}
	avoid := ""
	if len(exclude) > 0 {
		avoid = exclude[len(exclude)-1]
	}
	for {
		if e := s.locateKnown(q, exclude); e != nil {
			return e, nil
		}
		ans := s.opt.Locator.Want(ctx, q.service.Name, residency.Want{Model: q.call.Model, Adapter: q.call.Adapter, Rank: q.route.Rank, Avoid: avoid, Unreachable: unreachable, Absent: absent})
		absent, unreachable = "", false // told once
		if ctx.Err() != nil {
			return nil, s.outOfTime(protocol.NotRun)
		}
		if ans.Refused != "" {
			if e := s.locateAny(q, exclude); e != nil {
				return e, nil
			}
			if ans.Refused == residency.RefusedNoModel {
				return nil, protocol.Refuse(http.StatusServiceUnavailable, ans.Refused, "the service has no such model", retryBusy)
			}
		}
		if ans.Refused == "" && ans.ReadyIn <= 0 {
			if e := s.opt.View().ByID[ans.EndpointID]; e != nil && !e.Leaving {
				s.opt.Balancer.Present(e.ID, q.unit())
				return e, nil
			}
			ans.ReadyIn = loadingPause // the list does not name it yet, or not any more
		}
		if refusal := s.wait(ctx, q, t, ans); refusal != nil {
			return nil, refusal
		}
		if avoid != "" { // it has had its pause
			exclude, avoid = without(exclude, avoid), ""
		}
	}
}

// wait waits for a model, or refuses the request.
func (s *Server) wait(ctx context.Context, q *request, t *tries, ans residency.Answer) *protocol.Refusal {
	elapsed := time.Since(q.arrived)
	if ends := s.opt.Ends(); !ends.IsZero() && time.Until(ends) < ans.ReadyIn+lastWait {
		return protocol.Refuse(http.StatusServiceUnavailable, "stopping", "this daemon stops before the model is loaded", retryDraining)
	}
	silent := elapsed // as the caller sees it
	if !t.heard.IsZero() {
		silent = time.Since(t.heard)
	}
	source := sourceOf(ans)
	margin := s.margins.Of(source)
	d := waiting.Decide(waiting.Input{
		ReadyIn: ans.ReadyIn, Margin: margin, Elapsed: silent, TimeLeft: time.Until(q.deadline), Target: q.route.Target,
		Patience: q.route.Patience, Begun: t.verdict != protocol.NotRun,
	})
	if !d.Wait {
		reason := ans.Refused
		if reason == "" {
			reason = "model-loading"
		}
		detail := fmt.Sprintf("the model is not ready: endpoint %q, copy %s, in %d ms, margin %d ms", ans.EndpointID, ans.Level, ans.ReadyIn.Milliseconds(), margin.Milliseconds())
		return protocol.Refuse(http.StatusServiceUnavailable, reason, detail, d.RetryAfter)
	}
	if t.estimated.IsZero() {
		t.estimated, t.source = time.Now().Add(ans.ReadyIn), source
	}
	s.opt.Log.Info(decisions.EventWaiting, "request", q.call.ID, "model", q.unit(), "endpoint", ans.EndpointID, "level", ans.Level.String(), "ready_in_ms", ans.ReadyIn.Milliseconds(), "margin_ms", margin.Milliseconds(), "elapsed_ms", elapsed.Milliseconds())
	pause.For(ctx, min(max(ans.ReadyIn, time.Millisecond), askPause))
	q.waited = time.Since(q.arrived)
	s.metrics.waited.RecordDuration(time.Since(q.arrived) - elapsed)
	if ctx.Err() != nil {
		return s.outOfTime(protocol.NotRun)
	}
	return nil
}

// sourceOf says what an answer's estimate rests on.
func sourceOf(ans residency.Answer) waiting.Source {
	switch {
	case ans.Refused != "" || ans.EndpointID == "":
		return waiting.Vacancy
	case ans.Level == residency.Resident:
		return waiting.Loaded
	case ans.Level == residency.Store:
		return waiting.Far
	}
	return waiting.Near
}

// observeWait compares the end of a wait with what was said at its begin. A wait
// that was given up tells something only where the model is overdue.
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
func without(list []string, entry string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(e string) bool { return e == entry })
}

func (s *Server) locatePlain(q *request, exclude []string) (*fleet.Endpoint, *protocol.Refusal) {
	list := s.opt.View().ByService[q.service.Name]
	e := s.opt.Balancer.Pick(time.Now(), list, balance.Query{Exclude: exclude})
	if e == nil {
		return nil, protocol.Refuse(http.StatusServiceUnavailable, "no-endpoint", "no endpoint of the service takes requests", retryBusy)
	}
	return e, nil
}

// holders returns the endpoints that are listed with the request's model and
// adapter.
func (s *Server) holders(q *request) []*fleet.Endpoint {
	list := s.opt.View().ByService[q.service.Name]
	return slices.DeleteFunc(slices.Clone(list), func(e *fleet.Endpoint) bool { return e.Leaving || !e.Has(q.call.Model, q.call.Adapter) })
}

// locateKnown picks an endpoint without a question to the coordinator, where
// several hold the model or one has just served it here.
func (s *Server) locateKnown(q *request, exclude []string) *fleet.Endpoint {
	if q.call.Adapter != "" {
		return nil
	}
	holders := s.holders(q)
	e := s.opt.Balancer.Pick(time.Now(), holders, balance.Query{Unit: q.unit(), Affinity: affinity(q), Exclude: exclude})
	if e == nil {
		return nil
	}
	if len(holders) >= severalHolders || s.opt.Balancer.Vouched(time.Now(), e.ID, q.unit()) {
		return e
	}
	return nil
}

// severalHolders is the number of holders from which a model counts as in
// steady use: one of them going costs a refusal, not a load.
const severalHolders = 2

// locateAny picks any listed holder, when the coordinator cannot be asked.
func (s *Server) locateAny(q *request, exclude []string) *fleet.Endpoint {
	return s.opt.Balancer.Pick(time.Now(), s.holders(q), balance.Query{Unit: q.unit(), Affinity: affinity(q), Exclude: exclude})
}

func affinity(q *request) string {
	if !q.route.Sticky {
		return ""
	}
	return q.call.Prefix
}

package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/access"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

// retryUnproven is the retry-after of a refusal because the daemon can't verify a key with its
// present view: it asks other daemons for the store's state about once a second.
const retryUnproven = time.Second

// receiveSteps lists the checks of a new request, in order; each one may refuse it. The body is read
// after them, so that a refusal costs no more than reading the header.
var receiveSteps = []func(s *Server, ctx context.Context, q *request) *protocol.Refusal{
	(*Server).checkTarget,
	(*Server).matchRoute,
	(*Server).identify,
	(*Server).checkCapacity,
	(*Server).chooseService,
	(*Server).findOrigin,
	(*Server).takeQuota,
}

// receive reads a request and runs the checks of receiveSteps on it. It returns the request also
// with a refusal, except where the head is too large or the daemon has no desired state yet.
func (s *Server) receive(ctx context.Context, c *caller, r *http.Request, work *inbound.Work, arrived time.Time, active int64) (*request, *protocol.Refusal) {
	if inbound.ExceedsHead(r) {
		return nil, inbound.RefuseHead()
	}
	s.awaitTable(ctx)
	// The age is read before the table, so that the table is at most that old.
	stateAge := s.opt.StateAge()
	table := s.opt.Table()
	if table == nil {
		return nil, protocol.Refuse(http.StatusServiceUnavailable, "no-desired-state", "this daemon has no desired state yet", retryNoState)
	}
	call, err := s.opt.Dialect.ReadCall(r.Header)
	q := &request{
		call: call, arrived: arrived, deadline: arrived.Add(defaultTimeLeft), suspendedBefore: clock.Suspended(), active: active, work: work,
		method: r.Method, uri: r.RequestURI, path: r.URL.EscapedPath(), host: r.Host, header: r.Header, table: table, stateAge: stateAge,
	}
	if err != nil {
		return q, protocol.Refuse(http.StatusBadRequest, "bad-request", err.Error(), 0)
	}
	for _, step := range receiveSteps {
		if refusal := step(s, ctx, q); refusal != nil {
			return q, refusal
		}
	}
	return q, s.readBody(c, r, q, table.Limits)
}

// checkTarget refuses request targets that endpoints might parse differently.
func (s *Server) checkTarget(_ context.Context, q *request) *protocol.Refusal {
	if q.path == "" || q.path[0] != '/' || len(q.uri) > 1 && q.uri[1] == '/' || q.uri[0] != '/' {
		return protocol.Refuse(http.StatusBadRequest, "bad-request", "the path must begin with one slash", 0)
	}
	return nil
}

// matchRoute finds the request's route and sets its deadline.
func (s *Server) matchRoute(_ context.Context, q *request) *protocol.Refusal {
	q.route = q.table.Match(q.host, q.path)
	if q.route == nil {
		return protocol.Refuse(http.StatusNotFound, "no-route", "no route matches", 0)
	}
	s.setDeadline(q)
	q.work.SetUnsafe(q.route.Kind == routing.Unsafe)
	return nil
}

// identify finds the workspace of the request, and decides whether its key is accepted.
func (s *Server) identify(_ context.Context, q *request) *protocol.Refusal {
	a := s.access.Load().Decide(access.Request{Directory: q.table.Workspaces, Public: q.route.Public, Credential: q.call.Credential, Age: q.stateAge})
	q.owner = a.Workspace
	q.rank = q.route.RankOf(q.owner)
	switch a.Outcome {
	case access.Denied:
		return protocol.Refuse(http.StatusUnauthorized, a.Reason, "no workspace has the key of this request", 0)
	case access.Unproven:
		return protocol.Refuse(http.StatusServiceUnavailable, a.Reason, "this daemon cannot tell now whether the key is good: what it knows may be too old", retryUnproven)
	}
	return nil
}

// checkCapacity refuses streams that would outlast a draining daemon, and requests beyond the bound
// on requests in progress.
func (s *Server) checkCapacity(_ context.Context, q *request) *protocol.Refusal {
	if s.opt.Draining() && q.route.Kind == routing.Streaming && time.Until(s.opt.DrainDeadline()) < drainStreamReserve {
		return protocol.Refuse(http.StatusServiceUnavailable, reasonStopping, "this daemon stops before the stream would end", retryDraining)
	}
	if q.active > s.opt.Connections {
		return protocol.Refuse(http.StatusServiceUnavailable, "too-many-requests", "this daemon serves as many requests as it may", retryBusy)
	}
	return nil
}

// chooseService picks the request's service among those of its route.
func (s *Server) chooseService(_ context.Context, q *request) *protocol.Refusal {
	q.service = q.table.Services[q.route.Service(q.originID())]
	if q.service == nil {
		return protocol.Refuse(http.StatusServiceUnavailable, "no-service", "the route's service is not declared", retryBusy)
	}
	return nil
}

// takeQuota takes the request out of its workspace's quota.
func (s *Server) takeQuota(ctx context.Context, q *request) *protocol.Refusal {
	if q.owner == nil {
		return nil
	}
	cost := q.owner.Quota.Cost(q.call.PromptTokens+q.call.OutputTokens, q.call.TokensKnown)
	var refusal *protocol.Refusal
	q.ticket, refusal = s.opt.Quotas.AdmitRequest(ctx, q.owner, quotas.Request{
		Cost: cost, Rank: q.rank, Late: q.missedTarget(), Age: q.age(), TimeLeft: q.call.TimeLeft,
	})
	return refusal
}

// age returns the time since the caller's first attempt: by how much the time left that it names is
// shorter than the route's timeout; zero if it names none.
func (q *request) age() time.Duration {
	if q.call.TimeLeft <= 0 {
		return 0
	}
	return max(0, q.route.Timeout-q.call.TimeLeft)
}

// returned reports whether the caller was refused before: its first attempt was at least the
// shortest retry time ago.
func (q *request) returned() bool { return q.age() >= protocol.MinRetryAfter }

// missedTarget reports whether the request missed its latency objective before it arrived: the time
// left that its caller names is shorter than the route's timeout by more than the objective, as it
// is when a caller retries after a refusal. It is false where the caller names no time or the route
// has no timeout.
func (q *request) missedTarget() bool { return q.age() > q.route.LatencyTarget }

// recheckKey refuses a request whose key was revoked while it waited. One that an endpoint may have run goes on: it was admitted while
// its key was in force, and its next attempt continues the same work. A begun answer would be cut otherwise, though the first
// endpoint may only have paused.
func (s *Server) recheckKey(q *request, t *attemptState) *protocol.Refusal {
	newest := s.opt.Table()
	if t.verdict != protocol.NotRun || newest == q.table || access.StillValid(newest.Workspaces, q.call.Credential, q.route.Public, q.owner) {
		return nil
	}
	return protocol.Refuse(http.StatusUnauthorized, access.ReasonUnknownKey, "the key of this request was taken away while it waited", 0)
}

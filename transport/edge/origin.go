package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/driver/streams"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// retryVersionGone is the retry delay of a stream whose version no endpoint runs any more: endpoints
// that have crashed are back after some seconds.
const retryVersionGone = 2 * time.Second

// resumes reports whether the request continues a stream that an earlier attempt of its caller began.
func (q *request) resumes() bool {
	return q.route.Kind == routing.Streaming && q.call.LastEventID != ""
}

// continued reports whether the request continues a stream that an earlier attempt of its caller began, and whose version is
// known.
func (q *request) continued() bool { return q.resumes() && q.constraint().Bound() }

// endpointRank returns the rank of the request at an endpoint.
func (q *request) endpointRank() int {
	return continuation.Rank(q.rank, q.continued())
}

// originID returns the id of the attempt that began the request's stream, as far as its caller names
// it: its own id for a request that continues none. All attempts then choose the same service.
func (q *request) originID() string {
	if q.resumes() && q.call.Resumes != "" {
		return q.call.Resumes
	}
	return q.call.ID
}

// constraint limits the endpoints of the request's stream, if it continues one.
func (q *request) constraint() continuation.Constraint {
	if c := q.origin.Load(); c != nil {
		return *c
	}
	return continuation.Constraint{}
}

// continuationRequest identifies the stream that the request or its answer continues.
func (q *request) continuationRequest(id string) continuation.Request {
	return continuation.Request{Key: continuation.KeyOf(id), Named: id != "", Service: q.service.Name, Workspace: q.workspace(), Unit: q.unit()}
}

// firstTableWait is the time after the daemon's start for which requests wait for the first desired state. It takes
// two calls to the store, some 10 to 100 ms; callers whose connections broke with the last daemon on this host come back at once. A store
// that is away for longer must not hold requests.
const firstTableWait = 300 * time.Millisecond

// awaitTable waits for the first desired state, in the time after the daemon's start only.
func (s *Server) awaitTable(ctx context.Context) {
	for s.opt.Table() == nil && time.Since(s.started) < firstTableWait && ctx.Err() == nil && !s.opt.Draining() {
		pause.For(ctx, firstTableWait/60)
	}
}

// findOrigin finds out which software began the stream that a caller resumes. A stream that begins waits until a
// version may begin it.
func (s *Server) findOrigin(ctx context.Context, q *request) *protocol.Refusal {
	if !q.resumes() {
		if s.beginning(q).Limited() {
			return s.opt.Streams.AwaitInService(ctx, q.service.Name)
		}
		return nil
	}
	found, finding, refusal := s.opt.Streams.Resume(ctx, q.call.ID, q.continuationRequest(q.call.Resumes))
	q.finding = finding
	if refusal != nil {
		return refusal
	}
	q.origin.Store(&found)
	return s.checkOrigin(q)
}

// checkOrigin refuses at once a stream whose version no endpoint runs any more.
func (s *Server) checkOrigin(q *request) *protocol.Refusal {
	if q.constraint().Bound() && len(s.originEndpoints(q)) == 0 {
		return refuseVersionGone()
	}
	return nil
}

func refuseVersionGone() *protocol.Refusal {
	return protocol.Refuse(http.StatusServiceUnavailable, streams.ReasonVersionGone, "no endpoint runs the version of the software that began this stream, and no other can continue it", retryVersionGone)
}

// recordOrigin records which endpoint begins the request's stream, if callers may take it up again, before its first event is
// forwarded. It fails if callers may take the stream up and no record has the endpoint's version.
func (a *answer) recordOrigin(ctx context.Context) *failure {
	if a.headerSent || a.q.constraint().Bound() || !a.q.route.Resumable {
		return nil // nobody may continue it, or it is known
	}
	if !a.server.opt.Streams.AwaitRecorded(ctx, a.q.service.Name, a.software) {
		return &failure{verdict: protocol.MayHaveRun, reason: streams.ReasonNotInService, err: errNotRecorded}
	}
	a.server.opt.Streams.Begin(ctx, a.q.call.ID, continuation.Origin{
		Service: a.q.service.Name, Software: a.software, Incarnation: a.endpoint, Workspace: a.q.workspace(), Unit: a.q.unit(),
	}, a.q.takeUpTime())
	return nil
}

// takeUpTime returns for how long from now the caller may come to take up the request's stream; zero if it names no time.
func (q *request) takeUpTime() time.Duration {
	if q.call.TimeLeft <= 0 {
		return 0
	}
	return max(0, q.call.TimeLeft-time.Since(q.arrived)) + takeUpSlack
}

// takeUpSlack is how long after the time that it has named a caller may come to take up its stream: clocks and messages differ by less.
const takeUpSlack = 2 * time.Second

var errNotRecorded = errors.New("the endpoint's version is not recorded")

// bindToOrigin binds a request to the software that began its answer. It reports false if no endpoint
// may continue the answer because that software is not known for certain.
func (s *Server) bindToOrigin(q *request, a *answer) bool {
	if !a.headerSent || q.constraint().Bound() || q.route.Kind != routing.Streaming {
		return true
	}
	found, decided := s.opt.Streams.Continue(q.continuationRequest(q.call.ID))
	q.origin.Store(&found)
	return decided
}

// locateOnly picks the only endpoint that may continue a stream.
func (s *Server) locateOnly(ctx context.Context, q *request, t *attemptState, exclude []fleet.Incarnation) (*fleet.Endpoint, *protocol.Refusal) {
	for {
		if e := s.locateAnyHolder(q, t, exclude); e != nil {
			return e, nil
		}
		if e := s.pickLeaving(q, t); e != nil {
			return e, nil
		}
		unavailable := s.unavailable(q, t, s.holders(q))
		if len(unavailable.incarnations) == 0 {
			return nil, refuseVersionGone()
		}
		if refusal := s.awaitTurn(ctx, q, t, unavailable); refusal != nil {
			return nil, refusal
		}
	}
}

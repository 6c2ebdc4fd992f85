package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/connections"
	"github.com/doorvalve/doorvalve/coordination/stall"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

const (
	// idleTimeout is how long an unused connection to an endpoint is kept.
	idleTimeout = 4 * time.Second
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
)

// client holds the transports for requests to endpoints.
type client struct {
	// pooled reuses connections. It serves requests that may be repeated. The transport with index i keeps at most
	// i+1 unused connections to an endpoint: net/http fixes that number for all endpoints of a transport.
	pooled [connections.MaxUnused]*paths.Transport
	// perRequest opens a connection for each request. It serves requests that may run only once: on a
	// reused connection that the endpoint has just closed, it would be unknown whether the
	// request has run.
	perRequest *paths.Transport
}

func newClient(p *paths.Controller) *client {
	c := &client{perRequest: p.Transport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes})}
	for i := range c.pooled {
		c.pooled[i] = p.Transport(&http.Transport{MaxIdleConnsPerHost: i + 1, IdleConnTimeout: idleTimeout, DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes})
	}
	return c
}

// transport returns the transport for a request to an endpoint, to which so many unused connections may be kept.
func (c *client) transport(repeatable bool, unused int) *paths.Transport {
	if !repeatable || unused == 0 {
		return c.perRequest
	}
	return c.pooled[min(unused, len(c.pooled))-1]
}

// closeUnused closes the unused connections of the own paths.
func (c *client) closeUnused() {
	for _, t := range c.pooled {
		t.CloseIdleConnections()
	}
}

// bufferBytes is the size of a connection's buffers, enough for some events of a stream.
const bufferBytes = 4 << 10

// failure describes an attempt that brought no complete answer for the caller.
type failure struct {
	verdict protocol.Verdict
	reason  string
	err     error
	absent  bool // the address belongs to another process, or the endpoint does not hold the model
	// unreachable: no connection could be opened.
	unreachable bool
	// connRefused: nothing listens at the endpoint's address.
	connRefused bool
	// noPath: no connection could be opened, which shows nothing about the endpoint.
	noPath          bool
	loading         bool              // the endpoint is still loading the model
	paused          bool              // the endpoint asked for a pause
	eventsForwarded bool              // events of the answer had been forwarded
	connBroken      bool              // the connection to the endpoint broke
	relayEnded      bool              // the daemon that relayed the connection ended it; see dial.ErrRelayEnded
	endpoint        fleet.Incarnation // the endpoint of the attempt
	retryPaid       bool              // the retry was already taken out of the budget
	// silent: the endpoint was left because it was silent. It may go on, and another retry is reserved for a return.
	silent bool
	// final: the endpoint has no part in the failure, and no other endpoint is tried.
	final bool
}

// reasonRelayEnded is the reason of a failure because the daemon that relayed the connection ended it.
const reasonRelayEnded = "relay-ended"

// noteRelayEnd sets relayEnded in place of connBroken where the relay ended, not the endpoint.
func (f *failure) noteRelayEnd() {
	if f.connBroken && errors.Is(f.err, dial.ErrRelayEnded) {
		f.reason, f.connBroken, f.relayEnded = reasonRelayEnded, false, true
	}
}

// body hides the type of the content, so that the transport can't rewind it and resend a request
// by itself.
type body struct{ io.Reader }

// send sends a request to an endpoint and reads the answer's header. The stream continues after
// lastEventID, if that is not empty.
func (s *Server) send(ctx context.Context, q *request, e *fleet.Endpoint, lastEventID string) (*http.Response, *failure) {
	req := &http.Request{
		Method: q.method, Host: q.host, ContentLength: int64(len(q.body)), Body: io.NopCloser(body{bytes.NewReader(q.body)}),
		URL:   &url.URL{Scheme: "http", Host: e.Address, Opaque: q.uri},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: s.opt.Dialect.Outbound(q.header, protocol.Attempt{
			EndpointID: e.ID, TimeLeft: q.timeLeft(), Rank: q.endpointRank(), LastEventID: lastEventID,
			KeyRequired: q.table.Workspaces.RequiresKey(), Workspace: q.workspace(),
		}),
	}
	sent := clock.Now()
	unused := connections.Unused(q.service.ConnectionLimit, e.Slots, s.opt.Daemons())
	resp, err := s.client.transport(q.route.Repeatable(), unused).RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, classify(ctx, err)
	}
	meta := s.opt.Dialect.ReadAnswer(resp.StatusCode, resp.Header)
	s.noteUnknownHeaders(q, e, s.opt.Dialect.UnknownHeaders(resp.Header))
	s.observeBackpressure(q, e, sent, resp.StatusCode, meta)
	if f := refusedByEndpoint(resp, meta, q); f != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, bufferBytes) // so that the connection can be reused
		_ = resp.Body.Close()
		return nil, f
	}
	if q.counted {
		q.answered = true
		s.opt.Throttle.Answered(e.Incarnation())
	}
	s.opt.Balancer.Heard(clock.Now(), e.Incarnation())
	if f := mismatchedAnswer(resp, meta, q); f != nil {
		_ = resp.Body.Close()
		return nil, f
	}
	return resp, nil
}

// observeBackpressure passes the backpressure signals of an answer to the throttle. It ignores
// answers to other requests and those that another process may have sent. A refusal may come from a
// proxy in front of the endpoint: the signals that it carries count, but the absence of a signal
// does not.
func (s *Server) observeBackpressure(q *request, e *fleet.Endpoint, sent time.Time, status int, meta protocol.AnswerMetadata) {
	ours := meta.RequestID == q.call.ID
	authentic := meta.Sealed && (ours || meta.RequestID == "")
	refused := meta.NotRun && (ours || meta.RequestID == "")
	failed := ours && status >= http.StatusInternalServerError
	otherEndpoint := meta.EndpointID != "" && meta.EndpointID != e.ID
	misdirected := meta.WrongEndpoint && meta.EndpointID != e.ID
	if otherEndpoint || misdirected || !authentic && !refused && !failed {
		return
	}
	s.opt.Throttle.ObserveAnswer(throttle.Answer{
		Incarnation: e.Incarnation(), Slots: e.Slots, Request: q.call.ID, Sent: sent, Signals: meta.Backpressure, Authoritative: authentic && !meta.NotRun, Rejected: refused && !meta.WrongEndpoint,
	})
}

// classify turns an error before the answer's header into a failure, which says whether the
// request may have run.
func classify(ctx context.Context, err error) *failure {
	if dial.IsDialError(err) {
		return &failure{verdict: protocol.NotRun, reason: "endpoint-unreachable", err: err, unreachable: true, connRefused: dial.IsRefused(err), noPath: errors.Is(err, paths.ErrNoPath)}
	}
	if ctx.Err() != nil {
		return &failure{verdict: protocol.MayHaveRun, reason: "no-answer-in-time", err: ctx.Err()}
	}
	if reason := protocol.EndlessReason(err); reason != "" {
		return &failure{verdict: protocol.MayHaveRun, reason: reason, err: err}
	}
	return &failure{verdict: protocol.MayHaveRun, reason: "endpoint-failed", err: err, connBroken: true}
}

// refusedByEndpoint returns the failure of an answer that reports that the request has not run;
// nil for other answers.
func refusedByEndpoint(resp *http.Response, meta protocol.AnswerMetadata, q *request) *failure {
	if !meta.NotRun || meta.RequestID != "" && meta.RequestID != q.call.ID {
		return nil
	}
	f := &failure{verdict: protocol.NotRun, reason: "endpoint-refused", err: fmt.Errorf("status %d", resp.StatusCode)}
	switch {
	case meta.WrongEndpoint:
		f.absent, f.reason = true, "not-held-there"
	case meta.Backpressure.Pause.For > 0:
		f.paused, f.reason = true, "endpoint-paused"
	case resp.StatusCode == http.StatusServiceUnavailable && q.call.Model != "" && q.waited > 0:
		f.loading = true
	}
	return f
}

// mismatchedAnswer returns the failure of an answer to another request, or of a success that the
// endpoint did not mark as its own; nil for other answers. Such an answer came in place of the
// endpoint's, so the request may have run.
func mismatchedAnswer(resp *http.Response, meta protocol.AnswerMetadata, q *request) *failure {
	switch {
	case meta.RequestID != q.call.ID:
		return &failure{verdict: protocol.MayHaveRun, reason: "crossed-answer", err: fmt.Errorf("answer to %q", meta.RequestID)}
	case resp.StatusCode < http.StatusMultipleChoices && !meta.Sealed:
		return &failure{verdict: protocol.MayHaveRun, reason: "unsealed-answer"}
	}
	return nil
}

// attempt sends a request to one endpoint and forwards the answer. more reports whether another
// endpoint may be tried afterwards.
func (s *Server) attempt(ctx context.Context, q *request, e *fleet.Endpoint, a *answer, more bool) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.ticket = s.opt.Balancer.Started(clock.Now(), e, balanceQuery(q, nil))
	startedAt := time.Now()
	s.countRunning(q, e.Incarnation(), 1)
	defer s.countRunning(q, e.Incarnation(), -1)
	ok := false
	defer func() { s.opt.Balancer.Ended(clock.Now(), &a.ticket, time.Since(startedAt), ok) }()
	w := s.watch(q, e, more, cancel)
	defer w.stop()
	ctx = paths.WithObserver(ctx, func(h paths.Hop) {
		w.setRelayed()
		s.opt.Log.InfoSampled(decisions.EventSentRelayed, "request", q.call.ID, "endpoint", e.ID, "relay", h.Relay, "tunnel", h.Tunnel)
	})
	a.sentAt, a.viewAge = time.Now(), s.opt.ViewAge()
	lastEventBefore := a.lastEventAt
	q.work.SetSent(true)
	resp, f := s.send(ctx, q, e, a.lastEventID)
	if f == nil {
		a.onTaken()
		a.endpoint, a.software, a.address = e.Incarnation(), e.Software, e.Address
		f = s.deliver(ctx, q, a, resp, w, more)
		_ = resp.Body.Close()
	}
	if f != nil {
		q.work.SetSent(f.verdict != protocol.NotRun)
		f.eventsForwarded = a.lastEventAt != lastEventBefore
		f.connBroken = f.connBroken && ctx.Err() == nil // otherwise this daemon closed the connection
		f.noteRelayEnd()
	}
	if f = w.result(f); f != nil && w.abandoned() {
		s.client.closeUnused() // they may be as unresponsive as the attempt's own
	}
	if f != nil && !f.final && f.verdict != protocol.NotRun && a.firstEventAt.IsZero() {
		s.countFirstEvent(q, e.Incarnation(), time.Since(a.sentAt))
	}
	ok = f == nil
	return f
}

// deliver forwards an answer whose header has been received.
func (s *Server) deliver(ctx context.Context, q *request, a *answer, resp *http.Response, w *silenceWatch, more bool) *failure {
	if q.route.Kind == routing.Streaming && resp.StatusCode == http.StatusOK {
		return a.forwardStream(ctx, resp, w)
	}
	return a.forwardWhole(ctx, resp, w, more && q.route.Repeatable())
}

// hasOther reports whether another endpoint can serve a request now, whose answer has begun at the
// present one or not. Endpoints that have just failed don't count: they would refuse this request
// too, and a stream taken from an engine that is merely slow would break off.
func (s *Server) hasOther(q *request, present *fleet.Endpoint, begun bool) bool {
	return s.hasOtherThat(q, present, begun, func(*fleet.Endpoint) bool { return true })
}

// hasOtherThat is hasOther for endpoints that suit.
func (s *Server) hasOtherThat(q *request, present *fleet.Endpoint, begun bool, suits func(*fleet.Endpoint) bool) bool {
	now := clock.Now()
	return slices.ContainsFunc(s.candidates(q), func(e *fleet.Endpoint) bool {
		return e.ID != present.ID && !e.Leaving && !s.opt.Balancer.Avoided(now, e.Incarnation()) && (!begun || e.Software == present.Software) && suits(e)
	})
}

// takesOver reports whether another endpoint can serve a request now that is silent for the given time, and is not silent
// itself.
func (s *Server) takesOver(q *request, present *fleet.Endpoint, begun bool, silence time.Duration) bool {
	now := clock.Now()
	return s.hasOtherThat(q, present, begun, func(e *fleet.Endpoint) bool {
		return stall.TakesOver(silence, s.opt.Balancer.QuietFor(now, e.Incarnation()), silenceBounds(q), q.route.MaxWait)
	})
}

// candidates returns the endpoints that can serve a request now, according to the daemon's view.
func (s *Server) candidates(q *request) []*fleet.Endpoint {
	if q.service.Engine != nil && q.call.Model != "" {
		return s.holders(q)
	}
	return s.endpoints(q)
}

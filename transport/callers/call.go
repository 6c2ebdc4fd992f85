package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/doorvalve/doorvalve/coordination/access"
	"github.com/doorvalve/doorvalve/coordination/claims"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/transport/bodies"
	"github.com/doorvalve/doorvalve/transport/proxy"
)

// call is one caller's request on its way.
type call struct {
	id       string
	unit     string
	uri      string // at the endpoint
	method   string
	header   http.Header
	body     []byte
	worth    int64
	deadline time.Time
	affinity uint64
	stream   bool
	engine   bool // the endpoint echoes attempt ids
	// key is set for a request that may run at most once.
	key     *claims.Key
	gate    *gate.Gate
	print   protocol.Fingerprint
	trial   quarantiner.Probe // that this attempt is
	ticket  quotas.Ticket     // that it was let through with
	pass    quotas.Ticket     // for the endpoint of this attempt, if that names a limit
	version string            // of the model; empty for services
	// For the log: what became of the request.
	class      string
	generation uint64
	attempts   int
	endpoint   string        // of the last attempt
	queued     time.Duration // for slots, over all attempts
}

// prefixBytes is how much of a body counts as its prefix for affinity.
const prefixBytes = 1024

func (s *Server) completion(c echo.Context, conf *snapshot.Snapshot) *protocol.Refusal {
	r := c.Request()
	cl, ident, refusal := s.newCall(c, conf)
	if refusal != nil {
		return refusal
	}
	head, err := parseHead(cl.body)
	if err != nil {
		return protocol.Refuse(http.StatusBadRequest, "bad-request", err.Error(), 0)
	}
	unit, ok := conf.Units[head.Model]
	if !ok {
		return protocol.Refuse(http.StatusNotFound, "unknown-model", "no model or adapter "+strconv.Quote(head.Model)+" in the configuration", 0)
	}
	cl.unit, cl.uri, cl.stream, cl.engine = unit.Name, r.URL.Path, head.Stream, true
	cl.version = unit.Version
	cl.worth += unit.Worth
	cl.affinity = xxhash.Sum64(cl.body[:min(len(cl.body), prefixBytes)])
	if refusal := cl.setKey(r, ident, unit.Service, false); refusal != nil {
		return refusal
	}
	return s.run(c, cl)
}

func (s *Server) service(c echo.Context, conf *snapshot.Snapshot) *protocol.Refusal {
	r := c.Request()
	name := c.Param("service")
	svc := conf.Bundle.Service(name)
	if svc == nil || svc.Kind != bundle.KindPlain {
		return protocol.Refuse(http.StatusNotFound, "unknown-service", "no plain service "+strconv.Quote(name)+" in the configuration", 0)
	}
	cl, ident, refusal := s.newCall(c, conf)
	if refusal != nil {
		return refusal
	}
	cl.unit = name
	path := strings.TrimPrefix(r.URL.Path, servicesPrefix+name)
	if path == "" {
		path = "/"
	}
	cl.uri = path
	if r.URL.RawQuery != "" {
		cl.uri += "?" + r.URL.RawQuery
	}
	if refusal := cl.setKey(r, ident, name, snapshot.NonRepeatable(svc, r.Method, path)); refusal != nil {
		return refusal
	}
	return s.run(c, cl)
}

// newCall reads what all calls have in common.
func (s *Server) newCall(c echo.Context, conf *snapshot.Snapshot) (*call, snapshot.Identity, *protocol.Refusal) {
	r, now, id := c.Request(), time.Now(), s.requestID()
	c.Response().Header().Set(protocol.HeaderRequestID, id)
	ident, refusal := identify(r.Header["Authorization"], conf)
	if refusal != nil {
		return nil, ident, refusal
	}
	timeout := ident.Class.Timeout.D()
	if text := r.Header.Get(protocol.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, ident, protocol.Refuse(http.StatusBadRequest, "bad-timeout", protocol.HeaderTimeout+" must be whole milliseconds above 0", 0)
		}
		timeout = min(time.Duration(ms)*time.Millisecond, conf.Bundle.Claims.Retention.D())
	}
	ticket, refusal := s.opt.Quotas.Admit(r.Context(), ident.Workspace, requestCost, false)
	if refusal != nil {
		return nil, ident, refusal
	}
	body, err := bodies.Read(r, s.opt.Limits.BodyBytes)
	if err != nil {
		s.opt.Quotas.Refund(ticket)
	}
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		bodies.Drain(c.Response(), r)
		return nil, ident, protocol.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("a body may have %d bytes", s.opt.Limits.BodyBytes), 0)
	case err != nil:
		return nil, ident, protocol.Refuse(http.StatusBadRequest, "body-cut", "the body did not arrive whole", 0)
	}
	cl := &call{
		id: id, method: r.Method, header: r.Header, body: body, worth: ident.Class.Worth, deadline: now.Add(timeout),
		class: ident.Class.Name, generation: conf.Generation, ticket: ticket,
		print: protocol.FingerprintOf(r.Method, r.URL.Path, r.URL.RawQuery, ident.Caller, body),
	}
	c.Set(callKey, cl)
	return cl, ident, nil
}

// requestCost is what a request takes of a quota, which counts requests here.
const requestCost = 1

// identify finds out who sends a request: a caller of the bundle or a workspace.
func identify(authorization []string, conf *snapshot.Snapshot) (snapshot.Identity, *protocol.Refusal) {
	first := ""
	if len(authorization) > 0 {
		first = authorization[0]
	}
	if ident, ok := conf.Identify(first); ok && len(authorization) <= 1 {
		return ident, nil
	}
	a := access.Bounds{}.Decide(access.Request{Directory: conf.Workspaces, Credential: protocol.ReadCredential(authorization)})
	switch {
	case a.Workspace != nil:
		return conf.IdentityOf(a.Workspace), nil
	case a.Outcome == access.Denied:
		return snapshot.Identity{}, protocol.Refuse(http.StatusUnauthorized, a.Reason, "no caller or workspace has the key of this request", 0)
	}
	return snapshot.Identity{}, protocol.Refuse(http.StatusUnauthorized, "unknown-caller", "a known bearer token is needed", 0)
}

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// setKey reads the idempotency key; required calls are refused without one.
func (cl *call) setKey(r *http.Request, ident snapshot.Identity, service string, required bool) *protocol.Refusal {
	text := r.Header.Get(protocol.HeaderIdempotencyKey)
	switch {
	case text == "" && required:
		return protocol.Refuse(http.StatusBadRequest, "key-needed", "this call may not be repeated and needs an "+protocol.HeaderIdempotencyKey, 0)
	case len(text) > maxKeyBytes:
		return protocol.Refuse(http.StatusBadRequest, "key-too-long", fmt.Sprintf("an %s may have %d bytes", protocol.HeaderIdempotencyKey, maxKeyBytes), 0)
	case text != "":
		key := claims.MakeKey(ident.Caller, service, text)
		cl.key = &key
	}
	return nil
}

// Bounds of the attempts of one request.
const (
	maxAttempts     = 6
	avoidAfterError = 500 * time.Millisecond
	avoidAfterFull  = 20 * time.Millisecond
	releaseTimeout  = 2 * time.Second
)

// run serves a call and gives its final answer, or returns the refusal.
func (s *Server) run(c echo.Context, cl *call) *protocol.Refusal {
	s.budget.Earn()
	cl.gate = s.opt.Gate(cl.unit)
	if cl.gate == nil {
		return protocol.Refuse(http.StatusServiceUnavailable, "not-ready", cl.unit+" is not known here yet", retryAfterStart)
	}
	ctx := c.Request().Context()
	if cl.key != nil {
		// The caller's leaving must not cut off a request that may not be repeated.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, cl.deadline)
	defer cancel()
	out := newAnswer(c.Response())
	refusal := s.attempts(ctx, cl, out)
	if refusal != nil && out.started() {
		out.fail(refusal)
	}
	return refusal
}

// attempts tries endpoints until one has answered.
func (s *Server) attempts(ctx context.Context, cl *call, out *answer) *protocol.Refusal {
	claimed := false
	verdict := protocol.NotRun // the worst of all attempts
	for n := 1; ; n++ {
		asked := time.Now()
		slot, refusal := s.acquire(ctx, cl)
		cl.queued += time.Since(asked)
		if refusal == nil && cl.key != nil && !claimed {
			if refusal = s.claim(ctx, cl); refusal != nil {
				cl.gate.Release(slot, 0)
				return refusal
			}
			claimed = true
		}
		if refusal != nil {
			s.unclaim(cl, claimed && verdict == protocol.NotRun)
			refusal.Verdict = max(refusal.Verdict, verdict)
			return refusal
		}
		cl.attempts, cl.endpoint = n, slot.Endpoint.Name
		f := s.attempt(ctx, cl, slot, n, out)
		if f == nil {
			return nil
		}
		verdict = max(verdict, f.Verdict)
		again := s.mayRetry(ctx, cl, f, n, out)
		s.opt.Log.Info(decisions.EventAttemptFailed, "request", cl.id, "attempt", n, "model", cl.unit, "endpoint", slot.Endpoint.Name,
			"reason", f.Reason, "error", f.Err, "verdict", f.Verdict.String(), "again", again, "fingerprint", cl.print.String(), "queued_ms", cl.queued.Milliseconds(), "generation", cl.generation)
		if !again {
			s.unclaim(cl, claimed && verdict == protocol.NotRun)
			return finalRefusal(f, verdict)
		}
		s.metrics.retries.Inc(1)
	}
}

// acquire takes a slot at an endpoint for a call that may be sent. One that is held back is
// refused before it waits, and once more at the last moment.
func (s *Server) acquire(ctx context.Context, cl *call) (*gate.Slot, *protocol.Refusal) {
	if refusal := s.opt.Quarantine.CheckHeld(cl.fingerprint, cl.software); refusal != nil {
		return nil, refusal
	}
	slot, refusal := s.acquireOpen(ctx, cl)
	if refusal != nil {
		return nil, refusal
	}
	if cl.trial, refusal = s.opt.Quarantine.Admit(ctx, cl.fingerprint, cl.software); refusal != nil {
		s.opt.Throttle.Refund(cl.pass)
		cl.gate.Release(slot, 0)
		return nil, refusal
	}
	return slot, nil
}

func (cl *call) fingerprint() protocol.Fingerprint { return cl.print }

// software names what a call runs on, by the configuration that it is served by.
func (cl *call) software() quarantine.Software { return quarantine.SoftwareOf(cl.unit, cl.version) }

// tellQuarantine tells how an attempt ended that was sent at some time.
func (s *Server) tellQuarantine(ctx context.Context, cl *call, e bundle.Endpoint, sent time.Time, began bool, f *proxy.Failure) {
	life := lifeOf(e)
	if f != nil && f.Verdict == protocol.NotRun {
		s.opt.Quarantine.ReturnProbe(cl.trial)
	}
	switch {
	case f == nil:
		s.opt.Quarantine.ObserveSuccess(cl.fingerprint, sent)
	case f.Reason == proxy.ReasonUnreachable:
		s.opt.Quarantine.ObserveDialError(life, f.Err)
	case f.Broken && ctx.Err() == nil:
		s.opt.Quarantine.ObserveBroken(ctx, quarantiner.BrokenAttempt{Request: cl.id, Fingerprint: cl.print, Incarnation: life, Address: e.Address, Sent: sent, AnswerBegan: began, Software: cl.software()})
	}
}

// lifeOf names an endpoint; lives of these endpoints are not told apart.
func lifeOf(e bundle.Endpoint) fleet.Incarnation { return fleet.Incarnation{ID: e.Name} }

// attempt makes one attempt at one endpoint.
func (s *Server) attempt(ctx context.Context, cl *call, slot *gate.Slot, n int, out *answer) *proxy.Failure {
	start, sent, heard := time.Now(), clock.Now(), out.progress.Offset
	req := &proxy.Request{
		Method: cl.method, URI: cl.uri, Header: cl.header, Body: cl.body, RequestID: cl.id,
		AttemptID: cl.id + "." + strconv.Itoa(n), Worth: cl.worth, Repeatable: cl.key == nil, MustEcho: cl.engine,
		ObserveBackpressure: func(says protocol.Backpressure, whole bool) { s.heard(cl, slot.Endpoint, sent, says, whole) },
	}
	var f *proxy.Failure
	var whole *proxy.Answer
	if cl.stream {
		f = s.opt.Proxy.Stream(ctx, slot.Endpoint.Address, req, &out.progress, out)
	} else {
		whole, f = s.opt.Proxy.Do(ctx, slot.Endpoint.Address, req)
	}
	if f != nil && f.Reason == proxy.ReasonUnreachable {
		s.opt.Throttle.Refund(cl.pass)
	}
	took := time.Since(start)
	s.tellQuarantine(ctx, cl, slot.Endpoint, sent, out.progress.Offset > heard, f)
	if f != nil {
		took = 0
		s.avoid(cl, slot, f)
	}
	cl.gate.Release(slot, took)
	if whole != nil {
		out.whole(whole) // a slow caller holds no slot
	}
	return f
}

// avoid keeps new requests away from an endpoint that failed.
func (s *Server) avoid(cl *call, slot *gate.Slot, f *proxy.Failure) {
	avoid := avoidAfterError
	switch {
	case f.Leaving, f.Paused:
		return // what it has said itself keeps requests away
	case f.Full:
		avoid = avoidAfterFull
	case f.Err == nil || f.Reason == "caller-gone" || f.Reason == "deadline-passed":
		return
	}
	cl.gate.Avoid(slot, avoid)
	s.opt.Log.Info(decisions.EventEndpointAvoided, "request", cl.id, "endpoint", slot.Endpoint.Name, "reason", f.Reason, "for_ms", avoid.Milliseconds())
}

// mayRetry allows a retry of what has not run, of a stream that can go on, and
// of what may be repeated while the caller has seen nothing of it.
func (s *Server) mayRetry(ctx context.Context, cl *call, f *proxy.Failure, n int, out *answer) bool {
	if ctx.Err() != nil || n >= maxAttempts || f.Err == proxy.ErrCallerGone {
		return false
	}
	if f.Verdict == protocol.MayHaveRun && cl.key != nil {
		return false
	}
	if f.Full {
		return true
	}
	return s.budget.Spend()
}

func (s *Server) claim(ctx context.Context, cl *call) *protocol.Refusal {
	switch s.opt.Claimer.Claim(ctx, *cl.key, cl.id) {
	case claims.Granted:
		if ctx.Err() == nil {
			return nil
		}
		s.unclaim(cl, true)
		return protocol.Refuse(http.StatusServiceUnavailable, "deadline-passed", "the key was claimed too late", retryAfterStart)
	case claims.Duplicate:
		return protocol.RefuseMayHaveRun(http.StatusConflict, "duplicate-key", "a request with this key was accepted before")
	default:
		// Nothing is dispatched under this claim, so "not run" is true even
		// if the claim was written; it is released in the background.
		go s.unclaim(cl, true)
		return protocol.Refuse(http.StatusServiceUnavailable, "claims-unavailable", "the key cannot be recorded now", retryAfterStart)
	}
}

// unclaim gives the key of a request back that has certainly not run, so that
// the caller can send it again.
func (s *Server) unclaim(cl *call, claimed bool) {
	if !claimed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.opt.Claimer.Release(ctx, *cl.key, cl.id)
}

// finalRefusal turns the last attempt's failure into the answer. verdict is the
// worst of all attempts.
func finalRefusal(f *proxy.Failure, verdict protocol.Verdict) *protocol.Refusal {
	r := &protocol.Refusal{Status: http.StatusBadGateway, Reason: f.Reason, Detail: f.Error(), Verdict: verdict}
	switch {
	case f.Reason == "deadline-passed":
		r.Status = http.StatusGatewayTimeout
	case verdict == protocol.NotRun:
		r.Status, r.RetryAfter = http.StatusServiceUnavailable, retryAfterStart
	}
	return r
}

// answer is the way to the caller.
type answer struct {
	w        http.ResponseWriter
	progress proxy.Progress
	begun    bool
}

func newAnswer(w http.ResponseWriter) *answer { return &answer{w: w} }

// started reports whether the caller has seen a part of the answer.
func (a *answer) started() bool { return a.begun }

// Event implements proxy.Sink.
func (a *answer) WriteEvent(data []byte) error {
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
	}
	var b bytes.Buffer
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	if _, err := a.w.Write(b.Bytes()); err != nil {
		return err
	}
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// fail ends a stream that cannot be finished with an error event in place of
// the end mark.
func (a *answer) fail(r *protocol.Refusal) {
	body, err := json.Marshal(r)
	if err == nil {
		_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", body)
	}
}

// answerHeaders are passed on to the caller.
var answerHeaders = []string{"Content-Type", "Location", "ETag", "Cache-Control", "Last-Modified", "Content-Disposition"}

func (a *answer) whole(w *proxy.Answer) {
	a.begun = true
	h := a.w.Header()
	for _, name := range answerHeaders {
		if v := w.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(w.Body)))
	a.w.WriteHeader(w.Status)
	_, _ = a.w.Write(w.Body)
}

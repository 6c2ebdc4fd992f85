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
	"github.com/doorvalve/doorvalve/coordination/ending"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/transport/bodies"
	"github.com/doorvalve/doorvalve/transport/inbound"
	"github.com/doorvalve/doorvalve/transport/proxy"
)

// call is the state of a caller's request.
type call struct {
	id       string
	service  string
	unit     string
	uri      string // path and query at the endpoint
	method   string
	header   http.Header
	body     []byte
	worth    int64
	deadline time.Time
	affinity uint64
	stream   bool
	mustEcho bool // the endpoint echoes attempt ids
	// key is the idempotency key of a request that may run at most once; nil for other requests.
	key         *claims.Key
	gate        *gate.Gate
	print       protocol.Fingerprint
	probe       quarantiner.Probe // the probe that this attempt is; nil for none
	ticket      quotas.Ticket     // what the request took of its workspace's quota
	limitTicket quotas.Ticket     // what this attempt took of its endpoint's rate limit
	counted     bool              // the throttle counts this attempt until it ends
	answered    bool              // the endpoint has not rejected this attempt
	// retryReserved: a retry is reserved for the next attempt.
	retryReserved bool
	work          *inbound.Work
	version       string // version of the model; empty for plain services
	// The following fields are for the log.
	class      string
	generation uint64
	attempts   int
	endpoint   string        // name of the endpoint of the last attempt
	queued     time.Duration // time waited for slots, over all attempts
}

// affinityBytes is the length of the prefix of a body that determines the affinity of a request.
const affinityBytes = 1024

// completion serves a call to a model.
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
	cl.service, cl.unit, cl.uri, cl.stream, cl.mustEcho = unit.Service, unit.Name, r.URL.Path, head.Stream, true
	cl.version = unit.Version
	cl.worth += unit.Worth
	cl.affinity = xxhash.Sum64(cl.body[:min(len(cl.body), affinityBytes)])
	if refusal := cl.setKey(r, ident, unit.Service, false); refusal != nil {
		return refusal
	}
	return s.run(c, cl)
}

// service serves a call to a plain service.
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
	cl.service, cl.unit = name, name
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

// newCall identifies the caller, charges its workspace's quota and reads the body, as all calls
// need.
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
	c.Set(deadlineKey, now.Add(timeout))
	if r.ContentLength != 0 { // without a body, a deadline would end net/http's wait for the end of the caller's bytes
		conn := http.NewResponseController(c.Response().Writer)
		_ = conn.SetReadDeadline(now.Add(timeout)) // not all writers support deadlines
		defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	}
	body, err := bodies.Read(r, s.opt.Limits.BodyBytes)
	if err != nil {
		s.opt.Quotas.Refund(ticket)
	}
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		return nil, ident, protocol.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("a body may have %d bytes", s.opt.Limits.BodyBytes), 0)
	case err != nil:
		return nil, ident, protocol.Refuse(http.StatusBadRequest, "body-cut", "the body did not arrive whole", 0)
	}
	c.Get(restKey).(*inbound.Rest).Whole()
	cl := &call{
		id: id, method: r.Method, header: r.Header, body: body, worth: ident.Class.Worth, deadline: now.Add(timeout),
		class: ident.Class.Name, generation: conf.Generation, ticket: ticket, work: workOf(c),
		print: protocol.FingerprintOf(r.Method, r.URL.Path, r.URL.RawQuery, ident.Caller, body),
	}
	c.Set(callKey, cl)
	return cl, ident, nil
}

// requestCost is the cost of a request in its workspace's quota, which counts requests here.
const requestCost = 1

// identify finds the sender of a request by its Authorization headers: a caller of the bundle or a
// workspace.
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

// setKey reads the idempotency key. It refuses the call if required is true and there is no key.
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

// Limits of the attempts of one request.
const (
	maxAttempts     = 6
	avoidAfterError = 500 * time.Millisecond
	avoidAfterFull  = 20 * time.Millisecond
	releaseTimeout  = 2 * time.Second
)

// run serves a call up to its final answer, or returns the refusal.
func (s *Server) run(c echo.Context, cl *call) *protocol.Refusal {
	s.opt.Retries.Earn(cl.service)
	cl.gate = s.opt.Gate(cl.unit)
	if cl.gate == nil {
		return protocol.Refuse(http.StatusServiceUnavailable, "not-ready", cl.unit+" is not known here yet", retryAfterStart)
	}
	ctx := c.Request().Context()
	if cl.key != nil {
		// A request that may not be repeated must run to its end even if its caller disconnects.
		ctx = context.WithoutCancel(ctx)
		if !cl.work.Begin() {
			return protocol.Refuse(http.StatusServiceUnavailable, reasonSendingClosed, inbound.ErrSendingClosed.Error(), retryAfterStart)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, cl.deadline)
	defer cancel()
	out := newAnswer(c.Response(), cl.work)
	refusal := explainGivenUp(s.attempts(ctx, cl, out), ctx)
	if refusal != nil && out.started() {
		out.fail(refusal)
	}
	return refusal
}

// reasonSendingClosed is the reason of a refusal because the caller has closed its sending side and its answer has not
// begun soon after (coordination/hangup).
const reasonSendingClosed = "sending-side-closed"

// explainGivenUp returns the refusal of a call that was given up because its caller has closed its sending side; others as
// they are, nil for none.
func explainGivenUp(refusal *protocol.Refusal, ctx context.Context) *protocol.Refusal {
	cause := context.Cause(ctx)
	if refusal == nil || !errors.Is(cause, inbound.ErrSendingClosed) {
		return refusal
	}
	explained := *refusal
	explained.Reason, explained.Detail = reasonSendingClosed, cause.Error()
	return &explained
}

// attempts tries endpoints until one has answered.
func (s *Server) attempts(ctx context.Context, cl *call, out *answer) *protocol.Refusal {
	claimed := false
	verdict := protocol.NotRun // the worst verdict of all attempts
	var last *proxy.Failure    // of the attempt before; nil for the first one
	defer s.releaseRetry(cl)
	for n := 1; ; n++ {
		acquireStart := time.Now()
		slot, refusal := s.acquire(ctx, cl)
		cl.queued += time.Since(acquireStart)
		if refusal == nil && cl.key != nil && !claimed {
			if refusal = s.claim(ctx, cl); refusal != nil {
				s.endCounted(cl, slot)
				cl.gate.Release(slot, 0)
				return refusal
			}
			claimed = true
		}
		if refusal == nil && last != nil && !s.payRetry(cl, last) {
			s.opt.Quarantine.ReturnProbe(cl.probe)
			s.returnSlot(cl, slot)
			s.releaseClaim(cl, claimed && verdict == protocol.NotRun)
			return finalRefusal(last, verdict)
		}
		if refusal != nil {
			s.releaseClaim(cl, claimed && verdict == protocol.NotRun)
			refusal.Verdict = max(refusal.Verdict, verdict)
			return refusal
		}
		cl.attempts, cl.endpoint = n, slot.Endpoint.Name
		f := s.attempt(ctx, cl, slot, n, out)
		if f == nil {
			return nil
		}
		if counter := s.metrics.withoutEnd[f.Reason]; counter != nil {
			counter.Inc(1)
		}
		verdict = max(verdict, f.Verdict)
		mayRetry := s.mayRetry(ctx, cl, f, n, out)
		s.opt.Log.Info(decisions.EventAttemptFailed, "request", cl.id, "attempt", n, "model", cl.unit, "endpoint", slot.Endpoint.Name,
			"reason", f.Reason, "error", f.Err, "verdict", f.Verdict.String(), "again", mayRetry, "fingerprint", cl.print.String(), "queued_ms", cl.queued.Milliseconds(), "generation", cl.generation)
		if !mayRetry {
			s.releaseClaim(cl, claimed && verdict == protocol.NotRun)
			return finalRefusal(f, verdict)
		}
		last = f
	}
}

// payRetry takes an attempt that is about to be sent, after failure last, out of the retry budget and reports
// whether it may be sent. A call that has reached no endpoint is not sent once more.
func (s *Server) payRetry(cl *call, last *proxy.Failure) bool {
	if last.Reason != proxy.ReasonUnreachable {
		cl.retryReserved = false
		if !s.opt.Retries.SpendReserved(cl.service) {
			s.opt.Retries.NoteRefused(cl.service)
			return false
		}
	}
	s.metrics.retries.Inc(1)
	s.opt.Retries.Count(cl.service, last.Reason)
	return true
}

// releaseRetry ends the reservation of an attempt that is not sent.
func (s *Server) releaseRetry(cl *call) {
	if cl.retryReserved {
		cl.retryReserved = false
		s.opt.Retries.Release(cl.service)
	}
}

// acquire takes a slot at an endpoint for a call. A quarantined call is refused before it waits for
// a slot, and checked again just before it is sent.
func (s *Server) acquire(ctx context.Context, cl *call) (*gate.Slot, *protocol.Refusal) {
	if refusal := s.opt.Quarantine.CheckHeld(cl.subject(), func() []quarantiner.Target { return []quarantiner.Target{cl.target()} }); refusal != nil {
		return nil, refusal
	}
	slot, refusal := s.acquireAvailable(ctx, cl)
	if refusal != nil {
		return nil, refusal
	}
	if cl.probe, refusal = s.opt.Quarantine.Admit(ctx, cl.subject(), cl.target()); refusal != nil {
		s.returnSlot(cl, slot)
		return nil, refusal
	}
	return slot, nil
}

// returnSlot returns what an attempt that is not sent has taken of its endpoint.
func (s *Server) returnSlot(cl *call, slot *gate.Slot) {
	s.opt.Throttle.Refund(cl.limitTicket)
	s.endCounted(cl, slot)
	cl.gate.Release(slot, 0)
}

// subject returns what may be held back of the call.
func (cl *call) subject() quarantiner.Subject {
	return quarantiner.Subject{Print: func() protocol.Fingerprint { return cl.print }}
}

// target returns the software of all endpoints of the call.
func (cl *call) target() quarantiner.Target { return quarantiner.Target{Request: cl.software()} }

// software identifies the software that the call runs on, by the configuration that serves it.
func (cl *call) software() quarantine.Software { return quarantine.SoftwareOf(cl.unit, cl.version) }

// reportToQuarantine reports the outcome of an attempt, sent at the given time, to the quarantine.
// began reports whether events of the answer were forwarded.
func (s *Server) reportToQuarantine(ctx context.Context, cl *call, e bundle.Endpoint, sent time.Time, began bool, f *proxy.Failure) {
	incarnation := incarnationOf(e)
	if f != nil && f.Verdict == protocol.NotRun {
		s.opt.Quarantine.ReturnProbe(cl.probe)
	}
	switch {
	case f == nil:
		s.opt.Quarantine.ObserveSuccess(cl.subject(), cl.target().Endpoint, sent)
	case f.Reason == proxy.ReasonUnreachable:
		s.opt.Quarantine.ObserveDialError(incarnation, f.Err)
	case f.Broken && ctx.Err() == nil:
		s.opt.Quarantine.ObserveBroken(ctx, quarantiner.BrokenAttempt{Request: cl.id, Fingerprint: cl.print, Incarnation: incarnation, Address: e.Address, Sent: sent, AnswerBegan: began, Software: cl.software()})
	}
}

// incarnationOf returns the incarnation of an endpoint by its name only: bundles don't distinguish
// incarnations.
func incarnationOf(e bundle.Endpoint) fleet.Incarnation { return fleet.Incarnation{ID: e.Name} }

// attempt makes attempt number n, at the endpoint of slot, and releases the slot.
func (s *Server) attempt(ctx context.Context, cl *call, slot *gate.Slot, n int, out *answer) *proxy.Failure {
	start, sent, offsetBefore := time.Now(), clock.Now(), out.progress.Offset
	req := &proxy.Request{
		Method: cl.method, URI: cl.uri, Header: cl.header, Body: cl.body, RequestID: cl.id,
		AttemptID: cl.id + "." + strconv.Itoa(n), Worth: cl.worth, Repeatable: cl.key == nil, MustEcho: cl.mustEcho,
		EndOf: func(ctx context.Context) ending.End {
			return s.opt.Quarantine.EndOf(ctx, quarantiner.UnframedAnswer{Request: cl.id, Incarnation: incarnationOf(slot.Endpoint), Address: slot.Endpoint.Address})
		},
		ObserveBackpressure: func(signals protocol.Backpressure, whole, rejected bool) {
			s.observeBackpressure(cl, slot.Endpoint, sent, signals, whole, rejected)
		},
	}
	cl.work.SetSent(true)
	whole, f := s.send(ctx, cl, slot.Endpoint.Address, req, out)
	cl.work.SetSent(f == nil || f.Verdict != protocol.NotRun)
	if f != nil && f.Reason == proxy.ReasonUnreachable {
		s.opt.Throttle.Refund(cl.limitTicket)
	}
	duration := time.Since(start)
	s.reportToQuarantine(ctx, cl, slot.Endpoint, sent, out.progress.Offset > offsetBefore, f)
	if f != nil {
		duration = 0
		s.avoid(cl, slot, f)
	}
	s.endCounted(cl, slot)
	cl.gate.Release(slot, duration)
	if whole != nil && !cl.work.Begin() {
		return &proxy.Failure{Verdict: protocol.MayHaveRun, Reason: reasonSendingClosed, Err: inbound.ErrSendingClosed}
	}
	if whole != nil {
		out.writeWhole(whole) // after the release, so that a slow caller occupies no slot
	}
	return f
}

// send sends an attempt, and returns the answer if it is no stream.
func (s *Server) send(ctx context.Context, cl *call, address string, req *proxy.Request, out *answer) (whole *proxy.Answer, f *proxy.Failure) {
	if req.Repeatable {
		var stop func()
		ctx, stop = s.opt.ReleaseSilent(ctx, address)
		defer stop()
	}
	if cl.stream {
		f = s.opt.Proxy.Stream(ctx, address, req, &out.progress, out)
	} else {
		whole, f = s.opt.Proxy.Do(ctx, address, req)
	}
	if cause := context.Cause(ctx); f != nil && errors.Is(cause, paths.ErrSilentPath) {
		f.Reason, f.Err, f.Broken = proxy.ReasonSilentPath, cause, false
	}
	return whole, f
}

// endCounted records the end of an attempt that the throttle counts.
func (s *Server) endCounted(cl *call, slot *gate.Slot) {
	if cl.counted {
		cl.counted = false
		s.opt.Throttle.Ended(incarnationOf(slot.Endpoint), cl.answered)
	}
}

// avoid keeps new requests away from an endpoint after a failure.
func (s *Server) avoid(cl *call, slot *gate.Slot, f *proxy.Failure) {
	avoid := avoidAfterError
	switch {
	case f.Reason == proxy.ReasonSilentPath, f.Reason == proxy.ReasonRelayEnded:
		return // the endpoint can be reached through another daemon
	case errors.Is(f.Err, bodies.ErrEndNotKnown):
		return // nothing shows that the endpoint has a part in the failure
	case f.Leaving, f.Paused:
		return // the endpoint's own backpressure signal keeps requests away
	case f.Reason == proxy.ReasonOtherSoftware:
		cl.affinity = 0 // the engine with the cached prompt can't continue the stream
		avoid = avoidAfterFull
	case f.Full:
		avoid = avoidAfterFull
	case f.Err == nil || f.Reason == "caller-gone" || f.Reason == "deadline-passed":
		return
	}
	cl.gate.Avoid(slot, avoid)
	s.opt.Log.Info(decisions.EventEndpointAvoided, "request", cl.id, "endpoint", slot.Endpoint.Name, "reason", f.Reason, "for_ms", avoid.Milliseconds())
}

// mayRetry reports whether the call may have a further attempt after failure f of attempt n: if it
// has not run, or may be repeated. A stream then continues after its last event; of any other
// answer, the caller has got nothing yet. The retry is reserved, and payRetry takes it
// out of the budget when it is sent.
func (s *Server) mayRetry(ctx context.Context, cl *call, f *proxy.Failure, n int, out *answer) bool {
	if ctx.Err() != nil || n >= maxAttempts || f.Err == proxy.ErrCallerGone {
		return false
	}
	if f.Verdict == protocol.MayHaveRun && cl.key != nil {
		return false
	}
	if f.Reason == proxy.ReasonUnreachable {
		return true
	}
	cl.retryReserved = s.opt.Retries.Reserve(cl.service)
	if !cl.retryReserved {
		s.opt.Retries.NoteRefused(cl.service)
	}
	return cl.retryReserved
}

// claim claims the idempotency key of a call, so that no other request with the key runs.
func (s *Server) claim(ctx context.Context, cl *call) *protocol.Refusal {
	switch s.opt.Claimer.Claim(ctx, *cl.key, cl.id) {
	case claims.Granted:
		if ctx.Err() == nil {
			return nil
		}
		s.releaseClaim(cl, true)
		return protocol.Refuse(http.StatusServiceUnavailable, "deadline-passed", "the key was claimed too late", retryAfterStart)
	case claims.Duplicate:
		return protocol.RefuseMayHaveRun(http.StatusConflict, "duplicate-key", "a request with this key was accepted before")
	default:
		// The request is not sent under this claim, so the verdict "not run" is right even if the
		// claim was written. The claim is released in the background.
		go s.releaseClaim(cl, true)
		return protocol.Refuse(http.StatusServiceUnavailable, "claims-unavailable", "the key cannot be recorded now", retryAfterStart)
	}
}

// releaseClaim releases the key of a request that has certainly not run, so that the caller can
// send the request again. It does nothing if claimed is false.
func (s *Server) releaseClaim(cl *call, claimed bool) {
	if !claimed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.opt.Claimer.Release(ctx, *cl.key, cl.id)
}

// finalRefusal turns the failure of the last attempt into the refusal for the caller. verdict is the
// worst verdict of all attempts.
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

// answer writes an endpoint's answer to the caller.
type answer struct {
	w        http.ResponseWriter
	work     *inbound.Work
	progress proxy.Progress
	begun    bool
}

func newAnswer(w http.ResponseWriter, work *inbound.Work) *answer { return &answer{w: w, work: work} }

// started reports whether a part of the answer was sent to the caller.
func (a *answer) started() bool { return a.begun }

// WriteEvent implements proxy.Sink.
func (a *answer) WriteEvent(data []byte) error {
	if !a.begun {
		if a.begun = a.work.Begin(); !a.begun {
			return inbound.ErrSendingClosed
		}
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

// fail ends a stream that can't be completed, with an error event in place of the end mark.
func (a *answer) fail(r *protocol.Refusal) {
	body, err := json.Marshal(r)
	if err == nil {
		_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", body)
	}
}

// answerHeaders are passed on to the caller.
var answerHeaders = []string{"Content-Type", "Location", "ETag", "Cache-Control", "Last-Modified", "Content-Disposition"}

// writeWhole writes an answer that is not a stream.
func (a *answer) writeWhole(w *proxy.Answer) {
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

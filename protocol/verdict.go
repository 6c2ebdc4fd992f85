// Package protocol holds the typed messages, verdicts and header names that
// the processes of doorvalve exchange. It does no I/O.
package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("protocol")

// Verdict states whether a request may have run at an endpoint.
type Verdict int

// The verdicts, from the one that allows a retry to the one that forbids it.
const (
	// NotRun means that no endpoint has run any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun
	// Ran means that an endpoint has run the request.
	Ran
)

var verdictNames = [...]string{NotRun: "not run", MayHaveRun: "may have run", Ran: "ran"}

// String returns the verdict as callers see it in a problem document.
func (v Verdict) String() string {
	if v < NotRun || v > Ran {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return Error.New("unknown verdict %q", text)
}

// Header names on the callers' and endpoints' side.
const (
	// HeaderTimeout is the time limit that the caller sets for the request, in
	// whole milliseconds from its arrival.
	HeaderTimeout = "Doorvalve-Timeout-Ms"
	// HeaderIdempotencyKey marks a request that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies one request across all its attempts.
	HeaderRequestID = "Doorvalve-Request-Id"
	// HeaderAttemptID identifies one attempt; an endpoint echoes it.
	HeaderAttemptID = "Doorvalve-Attempt-Id"
	// HeaderResumeOffset asks an engine to resume the named attempt's
	// stream from this event offset.
	HeaderResumeOffset = "Doorvalve-Resume-Offset"
	// HeaderSoftware names the version of an engine's software in its answers. What two versions
	// write does not fit together.
	HeaderSoftware = "Doorvalve-Software"
	// HeaderExpectSoftware asks an engine that resumes a stream to refuse it if it runs another
	// version than the one that began it.
	HeaderExpectSoftware = "Doorvalve-Expect-Software"
	// HeaderPriority carries the worth of the request to the engine.
	HeaderPriority = "Doorvalve-Priority"
	// HeaderVerdict carries the verdict on refusals.
	HeaderVerdict = "Doorvalve-Verdict"
	// HeaderLeaving is set to "true" by an endpoint that is leaving.
	HeaderLeaving = "Doorvalve-Leaving"
	// HeaderRejectionLimit is set by an endpoint to the number of requests that it can reject in a
	// second for lack of room before it crashes.
	HeaderRejectionLimit = "Doorvalve-Rejection-Limit"
	// HeaderRateLimit is set by an overloaded endpoint in each of its answers: the requests
	// per second, a decimal number, that it accepts from all daemons together.
	HeaderRateLimit = "Doorvalve-Rate-Limit"
	// ContentTypeProblem is the media type of RFC 9457.
	ContentTypeProblem = "application/problem+json"
)

// Refusal is the final answer to a request that was not answered by an
// endpoint: an RFC 9457 problem with a verdict and a retry delay.
type Refusal struct {
	Status     int           // HTTP status code
	Reason     string        // short, stable, machine-readable
	Detail     string        // human-readable
	Verdict    Verdict       // whether the request may have run
	RetryAfter time.Duration // zero when a retry cannot help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Reason, r.Detail, r.Verdict)
}

// problem is the wire form of a Refusal.
type problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Verdict    Verdict `json:"verdict"`
	RetryAfter int64   `json:"retry_after_ms,omitempty"`
}

const problemTypePrefix = "urn:doorvalve:"

// MarshalJSON writes the RFC 9457 form.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(problem{
		Type: problemTypePrefix + r.Reason, Title: http.StatusText(r.Status), Status: r.Status,
		Detail: r.Detail, Verdict: r.Verdict, RetryAfter: r.RetryAfter.Milliseconds(),
	})
}

// UnmarshalJSON reads the RFC 9457 form.
func (r *Refusal) UnmarshalJSON(data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil {
		return Error.Wrap(err)
	}
	reason := p.Type
	if len(reason) > len(problemTypePrefix) && reason[:len(problemTypePrefix)] == problemTypePrefix {
		reason = reason[len(problemTypePrefix):]
	}
	*r = Refusal{
		Status: p.Status, Reason: reason, Detail: p.Detail, Verdict: p.Verdict,
		RetryAfter: time.Duration(p.RetryAfter) * time.Millisecond,
	}
	return nil
}

// WriteTo writes the refusal as an HTTP answer.
func (r *Refusal) WriteTo(w http.ResponseWriter) {
	body := r.fill(w.Header())
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// WriteLast writes the refusal as the last answer on a connection, whose request was not read.
func (r *Refusal) WriteLast(w io.Writer) error {
	resp := &http.Response{StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true}
	body := r.fill(resp.Header)
	resp.Header.Del("Content-Length") // written by resp
	resp.ContentLength, resp.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	return resp.Write(w)
}

// fill sets the header of the refusal's HTTP answer, and returns its body.
func (r *Refusal) fill(h http.Header) (body []byte) {
	h.Set("Content-Type", ContentTypeProblem)
	h.Set(HeaderVerdict, r.Verdict.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", RetryAfterSeconds(r.RetryAfter))
	}
	body, err := json.Marshal(r)
	if err != nil { // a refusal holds numbers and strings only
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	return body
}

// RetryAfterSeconds renders d as a Retry-After value: whole seconds, rounded
// up, at least one.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(max(1, int64(math.Ceil(d.Seconds()))), 10)
}

// MinRetryAfter keeps refused callers from retrying immediately.
const MinRetryAfter = 100 * time.Millisecond

// Refuse returns a refusal whose verdict is NotRun.
func Refuse(status int, reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: status, Reason: reason, Detail: detail, Verdict: NotRun, RetryAfter: retryAfter}
}

// RefuseMayHaveRun returns a refusal whose verdict is MayHaveRun.
func RefuseMayHaveRun(status int, reason, detail string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Detail: detail, Verdict: MayHaveRun}
}

// Package proxy sends one attempt of a caller's request to one endpoint. Each failure reports
// whether the request may have run there.
package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/doorvalve/doorvalve/coordination/ending"
	"github.com/doorvalve/doorvalve/driver/largeanswers"
	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// Request describes one attempt.
type Request struct {
	Method     string
	URI        string // path and query at the endpoint
	Header     http.Header
	Body       []byte
	RequestID  string
	AttemptID  string
	Worth      int64
	Repeatable bool
	// ResumeFrom is the offset of the last stream event that was forwarded; 0 for a new stream.
	// Stream sets it.
	ResumeFrom int
	// ExpectSoftware is the version of the software that began the stream; empty if unknown. Stream
	// sets it.
	ExpectSoftware string
	// MustEcho: the endpoint echoes AttemptID in its answers, so that an answer without it is a
	// failure.
	MustEcho bool
	// EndOf finds out how an answer without a length or chunks has ended, whose endpoint has just closed
	// the connection. nil: all are whole.
	EndOf func(ctx context.Context) ending.End
	// ObserveBackpressure receives the backpressure signals of an answer, if there is one. whole
	// reports whether the absence of a signal counts, too, and rejected that the endpoint had no room.
	// It may be nil.
	ObserveBackpressure func(says protocol.Backpressure, whole, rejected bool)
}

// Failure describes an attempt that brought no complete answer.
type Failure struct {
	Verdict protocol.Verdict
	Reason  string
	Err     error
	Leaving bool // the endpoint is leaving and takes no new work
	Paused  bool // the endpoint asked for a pause
	Full    bool // all slots of the endpoint are taken
	Broken  bool // the connection to the endpoint broke
}

// ReasonUnreachable is the reason of a failure to open the connection.
const ReasonUnreachable = "endpoint-unreachable"

// ReasonSilentPath is the reason of a failure because the path to the endpoint has become silent. The
// endpoint has no part in it.
const ReasonSilentPath = "silent-path"

// ReasonRelayEnded is the reason of a failure because the daemon that relayed the connection ended it. The
// endpoint has no part in it.
const ReasonRelayEnded = "relay-ended"

// ReasonOtherSoftware is the reason of a failure because the endpoint runs another version of the
// software than the one that began the stream.
const ReasonOtherSoftware = "other-software"

// Error implements error.
func (f *Failure) Error() string {
	if f.Err != nil {
		return f.Reason + ": " + f.Err.Error()
	}
	return f.Reason
}

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	pooled *http.Client
	// perRequest opens a connection for each request. It serves requests that may run only once: a
	// reused connection may break under a request, and the transport would send it again.
	perRequest   *http.Client
	answerBytes  int64
	largeAnswers largeanswers.Turns
}

// New returns a client. answerBytes bounds the body of an answer that is not a stream.
func New(answerBytes int64, transports dial.Transports) *Client {
	return &Client{
		pooled:      &http.Client{Transport: transports.RoundTripper(&http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}, nil)},
		perRequest:  &http.Client{Transport: transports.RoundTripper(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, nil)},
		answerBytes: answerBytes,
	}
}

// bodyReader hides the type of the body, so that the transport can't rewind it and resend a request
// by itself.
type bodyReader struct{ io.Reader }

// hopHeaders are the request headers that are not forwarded to the endpoint. Those of resumed streams are the daemon's to
// set: an engine would begin a caller's stream in its middle.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", protocol.HeaderTimeout, "Content-Length", "Accept-Encoding",
	protocol.HeaderResumeOffset, protocol.HeaderExpectSoftware,
}

// send sends the request and reads the answer's header. Its failures say whether the request may
// have run.
func (c *Client) send(ctx context.Context, address string, r *Request) (*http.Response, *Failure) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URI, bodyReader{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, &Failure{Verdict: protocol.NotRun, Reason: "bad-request", Err: err}
	}
	req.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.Header.Set(protocol.HeaderRequestID, r.RequestID)
	req.Header.Set(protocol.HeaderAttemptID, r.AttemptID)
	req.Header.Set(protocol.HeaderPriority, strconv.FormatInt(r.Worth, 10))
	if r.ResumeFrom > 0 {
		req.Header.Set(protocol.HeaderResumeOffset, strconv.Itoa(r.ResumeFrom))
		req.Header.Set(protocol.HeaderExpectSoftware, r.ExpectSoftware)
	}
	client := c.perRequest
	if r.Repeatable {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	signals := readBackpressure(resp)
	if f := refusedNotRun(resp); f != nil {
		_ = resp.Body.Close()
		signals.Leaving, f.Paused = f.Leaving, signals.Pause.For > 0
		r.observe(signals, false, f.Full) // the refusal may come from a proxy in front of the endpoint
		return nil, f
	}
	if got := resp.Header.Get(protocol.HeaderAttemptID); got != r.AttemptID && (got != "" || r.MustEcho) {
		_ = resp.Body.Close()
		return nil, &Failure{Verdict: protocol.MayHaveRun, Reason: "crossed-answer"}
	}
	r.observe(signals, true, false)
	return resp, nil
}

func (r *Request) observe(signals protocol.Backpressure, whole, rejected bool) {
	if r.ObserveBackpressure != nil {
		r.ObserveBackpressure(signals, whole, rejected)
	}
}

// readBackpressure reads the backpressure signals of an answer.
func readBackpressure(resp *http.Response) protocol.Backpressure {
	signals := protocol.Backpressure{
		Leaving: protocol.ReadLeaving(resp.Header[protocol.HeaderLeaving]),
		Limit:   protocol.ReadRateLimit(resp.Header[protocol.HeaderRateLimit]),

		Rejections: protocol.ReadRejectionLimit(resp.Header[protocol.HeaderRejectionLimit]),
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		signals.Pause = protocol.ReadPause(resp.Header["Retry-After"], resp.Header.Get("Date"), time.Now())
	}
	return signals
}

func classify(err error) *Failure {
	if dial.IsDialError(err) {
		return &Failure{Verdict: protocol.NotRun, Reason: ReasonUnreachable, Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &Failure{Verdict: protocol.MayHaveRun, Reason: "deadline-passed", Err: err}
	}
	if reason := protocol.EndlessReason(err); reason != "" {
		return &Failure{Verdict: protocol.MayHaveRun, Reason: reason, Err: err}
	}
	return brokenBy("endpoint-failed", err)
}

// brokenBy returns the failure of an attempt whose connection broke. Where a relay has ended it, the
// endpoint has no part in that.
func brokenBy(reason string, err error) *Failure {
	if errors.Is(err, dial.ErrRelayEnded) {
		return &Failure{Verdict: protocol.MayHaveRun, Reason: ReasonRelayEnded, Err: err}
	}
	return &Failure{Verdict: protocol.MayHaveRun, Reason: reason, Err: err, Broken: true}
}

// refusedNotRun returns the failure of an answer that reports that the request has not run; nil for
// other answers, which are for the caller whatever their status.
func refusedNotRun(resp *http.Response) *Failure {
	if resp.Header.Get(protocol.HeaderVerdict) != protocol.NotRun.String() {
		return nil
	}
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return nil
	}
	var refusal protocol.Refusal
	_ = json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&refusal) // only the reason is used, so errors don't matter
	return &Failure{
		Verdict: protocol.NotRun, Reason: "endpoint-refused", Err: errors.New(refusal.Reason),
		Leaving: refusal.Reason == "leaving" || protocol.ReadLeaving(resp.Header[protocol.HeaderLeaving]),
		Full:    resp.StatusCode == http.StatusTooManyRequests,
	}
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do returns the complete answer of an endpoint, or a failure.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, *Failure) {
	resp, f := c.send(ctx, address, r)
	if f != nil {
		return nil, f
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.readBody(ctx, address, resp, r.Repeatable)
	switch {
	case errors.Is(err, bounded.ErrBodyTooLarge):
		return nil, &Failure{Verdict: protocol.MayHaveRun, Reason: protocol.ReasonAnswerTooLarge, Err: err}
	case errors.Is(err, largeanswers.ErrWithoutEnd):
		return nil, &Failure{Verdict: protocol.MayHaveRun, Reason: protocol.ReasonWithoutEnd, Err: err}
	case err != nil:
		return nil, brokenBy("answer-cut", err)
	}
	if bodies.Unframed(resp) && r.EndOf != nil {
		if err := bodies.EndError(r.EndOf(ctx)); err != nil {
			return nil, brokenBy("answer-cut", err)
		}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readBody reads the body of an answer that is not a stream. It fails with bounded.ErrBodyTooLarge beyond answerBytes.
func (c *Client) readBody(ctx context.Context, address string, resp *http.Response, mayLeave bool) (body []byte, err error) {
	if bodies.AnnouncesMore(resp, c.answerBytes) {
		return nil, bounded.ErrBodyTooLarge
	}
	limited := io.LimitReader(resp.Body, c.answerBytes+1)
	body, err = io.ReadAll(io.LimitReader(limited, largeanswers.Threshold))
	if err == nil && len(body) == largeanswers.Threshold {
		var end func(whole bool)
		if end, err = c.largeAnswers.Begin(ctx, address, mayLeave); err != nil {
			return nil, err
		}
		defer func() { end(err == nil && int64(len(body)) <= c.answerBytes) }()
		var rest []byte
		rest, err = io.ReadAll(limited)
		body = append(body, rest...)
	}
	if int64(len(body)) > c.answerBytes {
		c.largeAnswers.NoteWithoutEnd(address)
		return nil, bounded.ErrBodyTooLarge
	}
	return body, err
}

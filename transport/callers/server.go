// Package callers serves callers of doorvalve's own interface: model calls in the format of the
// completions API, plain services under a path prefix, and the addresses of the daemons.
package callers

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/claims"
	"github.com/doorvalve/doorvalve/coordination/drain"
	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/retries"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/transport/inbound"
	"github.com/doorvalve/doorvalve/transport/proxy"
)

// Claimer claims and releases the idempotency keys of requests that may not be repeated.
type Claimer interface {
	Claim(ctx context.Context, key claims.Key, claimID string) claims.Outcome
	Release(ctx context.Context, key claims.Key, claimID string) claims.Outcome
}

// Options configure a Server. All functions must be safe for concurrent use and cheap.
type Options struct {
	Self    string // id of this daemon
	Limits  settings.Limits
	Config  func() *snapshot.Snapshot    // nil if the daemon has no configuration yet
	Gate    func(unit string) *gate.Gate // nil for an unknown unit
	Members func() []membership.Member
	Phase   func() drain.Phase
	Claimer Claimer
	Proxy   *proxy.Client
	// Quarantine holds back requests under which endpoints crash.
	Quarantine *quarantiner.Controller
	// Quotas enforces the quotas of workspaces.
	Quotas *quotas.Controller
	// Retries bounds the retries at each service.
	Retries *retries.Controller
	// Throttle enforces the backpressure signals of endpoints.
	Throttle *throttle.Controller
	// ReleaseSilent returns a context for an attempt that may be repeated at an address. It ends when
	// the path there has become silent. The caller must call stop. nil: it does not end.
	ReleaseSilent func(ctx context.Context, address string) (_ context.Context, stop func())
	Log           *decisions.Log
	Metrics       tally.Scope
	// OnEndpointLeaving is called with the name of an endpoint that reports that it is leaving.
	OnEndpointLeaving func(endpoint string)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opt      Options
	active   atomic.Int64
	sequence atomic.Uint64
	metrics  metrics
	accounts *inbound.Accounts
}

type metrics struct {
	answered, refusedNotRun, failedMayHaveRun, retries tally.Counter
	duration                                           tally.Histogram
	withoutEnd                                         map[string]tally.Counter // answers, by reason
}

// New returns a server.
func New(opt Options) *Server {
	m := opt.Metrics.SubScope("caller")
	if opt.ReleaseSilent == nil {
		opt.ReleaseSilent = func(ctx context.Context, _ string) (context.Context, func()) { return ctx, func() {} }
	}
	return &Server{opt: opt, accounts: inbound.NewAccounts(opt.Log, m), metrics: metrics{
		answered: m.Counter("requests_answered_total"), refusedNotRun: m.Counter("requests_refused_not_run_total"),
		failedMayHaveRun: m.Counter("requests_failed_may_have_run_total"), retries: m.Counter("attempts_retried_total"),
		withoutEnd: protocol.CountersOfEndless(m),
		duration:   m.Histogram("request_duration_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)),
	}}
}

// InProgress returns the number of requests without a final answer.
func (s *Server) InProgress() int { return int(s.active.Load()) }

// servicesPrefix is the path prefix of plain services.
const servicesPrefix = "/services/"

// Handler returns the handler of callers' requests.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			rest := inbound.RestOf(c.Response().Writer, c.Request())
			defer s.discard(c, rest)
			account := s.accounts.Begin(c.Request())
			defer account.Close(func() bool { return answerUnaccounted(c.Response(), rest) })
			account.End(writeOutcome(c.Response(), rest, protocol.Refuse(http.StatusNotFound, "no-such-path", err.Error(), 0)))
		}
	}
	e.GET("/v1/addresses", s.accounted(s.addresses))
	e.GET("/v1/models", s.accounted(s.models))
	e.POST("/v1/chat/completions", s.counted(s.completion))
	e.POST("/v1/completions", s.counted(s.completion))
	e.Any(servicesPrefix+":service", s.counted(s.service))
	e.Any(servicesPrefix+":service/*", s.counted(s.service))
	return e
}

// retryAfterStart is the retry-after of refusals without an estimate, as by a daemon that has no
// configuration yet or is about to stop.
const retryAfterStart = time.Second

// ObserveRefusedHead counts and logs the refusal of a request whose head was beyond the limits of callers.
func (s *Server) ObserveRefusedHead(refusal *protocol.Refusal) {
	s.accounts.RefuseUnread()
	s.metrics.refusedNotRun.Inc(1)
	s.opt.Log.Info(decisions.EventRefused, "outcome", inbound.Refused.String(), "status", refusal.Status, "reason", refusal.Reason, "detail", refusal.Detail, "verdict", refusal.Verdict.String())
}

// ObserveOwn counts and logs an answer of net/http's own to what is no request.
func (s *Server) ObserveOwn(status int) {
	s.ObserveRefusedHead(protocol.Refuse(status, inbound.ReasonNoRequest, "what arrived is no request", 0))
}

// ObserveEndLost counts an answer of which the last bytes could not be written.
func (s *Server) ObserveEndLost() { s.accounts.LoseEnd() }

// accounted wraps the handler of a path that is no call: its requests are in the accounts, too.
func (s *Server) accounted(handle echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		rest := inbound.RestOf(c.Response().Writer, c.Request())
		account := s.accounts.Begin(c.Request())
		defer account.Close(func() bool { return answerUnaccounted(c.Response(), rest) })
		err := handle(c)
		switch {
		case err != nil && !c.Response().Committed:
			account.End(writeOutcome(c.Response(), rest, protocol.RefuseMayHaveRun(http.StatusInternalServerError, "internal-error", err.Error())))
		case err != nil:
			account.End(inbound.CallerGone)
		case c.Response().Status >= http.StatusBadRequest:
			account.End(inbound.Refused)
		default:
			account.End(inbound.Answered)
		}
		return nil
	}
}

// counted wraps serve: it counts the requests in progress, records metrics and the log line, and
// writes the refusal of a request that was refused.
func (s *Server) counted(serve func(echo.Context, *snapshot.Snapshot) *protocol.Refusal) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := time.Now()
		rest := inbound.RestOf(c.Response().Writer, c.Request())
		c.Set(restKey, rest)
		defer s.discard(c, rest) // deferred first: the request has its final answer then, and does not count as in progress
		active := s.active.Add(1)
		defer s.active.Add(-1)
		account := s.accounts.Begin(c.Request())
		defer account.Close(func() bool { return answerUnaccounted(c.Response(), rest) })
		ctx, work := inbound.Follow(c.Request())
		defer work.Stop()
		c.SetRequest(c.Request().WithContext(ctx))
		c.Set(workKey, work)
		refusal := s.admit(c, active, serve)
		s.metrics.duration.RecordDuration(time.Since(start))
		switch {
		case refusal == nil:
			s.metrics.answered.Inc(1)
		case refusal.Verdict == protocol.NotRun:
			s.metrics.refusedNotRun.Inc(1)
			if cl, ok := c.Get(callKey).(*call); ok {
				s.opt.Quotas.Refund(cl.ticket)
			}
		default:
			s.metrics.failedMayHaveRun.Inc(1)
		}
		outcome := writeOutcome(c.Response(), rest, refusal)
		if refusal != nil && errors.Is(context.Cause(ctx), inbound.ErrCallerGone) {
			outcome = inbound.CallerGone
		}
		account.End(outcome)
		s.logOutcome(c, start, refusal, outcome)
		return nil
	}
}

// discard discards the rest of the body of a request that was refused.
func (s *Server) discard(c echo.Context, rest *inbound.Rest) {
	left := unknownTimeLeft
	if deadline, ok := c.Get(deadlineKey).(time.Time); ok {
		left = time.Until(deadline)
	}
	rest.Discard(intake.DiscardTime(s.opt.Phase() != drain.Serving, left))
}

// unknownTimeLeft is taken for the time of a request that was refused before its own time was known.
const unknownTimeLeft = 30 * time.Second

// Keys of the echo context of a request.
const (
	workKey     = "work" // of the work on it
	restKey     = "rest" // of the rest of its body
	deadlineKey = "deadline"
)

// workOf returns the work on a request.
func workOf(c echo.Context) *inbound.Work { return c.Get(workKey).(*inbound.Work) }

// writeOutcome writes the refusal of a request whose answer has not begun, nil for none, and returns how the request
// ended.
func writeOutcome(w *echo.Response, rest *inbound.Rest, refusal *protocol.Refusal) inbound.Outcome {
	begun := w.Committed
	if refusal != nil && !begun {
		rest.BeforeRefusal()
		refusal.WriteTo(w)
	}
	err := http.NewResponseController(w.Writer).Flush() // echo's own writer hides the errors of flushes
	switch {
	case err != nil && !errors.Is(err, http.ErrNotSupported):
		return inbound.CallerGone
	case refusal == nil:
		return inbound.Answered
	case begun:
		return inbound.BrokenOff
	}
	return inbound.Refused
}

// answerUnaccounted answers a request whose handler has ended without an outcome. It returns false if an answer has
// begun already.
func answerUnaccounted(w *echo.Response, rest *inbound.Rest) bool {
	if w.Committed {
		return false
	}
	writeOutcome(w, rest, protocol.RefuseMayHaveRun(http.StatusInternalServerError, "internal-error", "this daemon failed while it served the request"))
	return true
}

// admit serves a request unless the daemon can't take it; active is the number of requests in
// progress, including this one.
func (s *Server) admit(c echo.Context, active int64, serve func(echo.Context, *snapshot.Snapshot) *protocol.Refusal) *protocol.Refusal {
	config := s.opt.Config()
	switch {
	case inbound.ExceedsHead(c.Request()):
		return inbound.RefuseHead()
	case active > int64(s.opt.Limits.Connections):
		return protocol.Refuse(http.StatusTooManyRequests, "too-many-requests", "this daemon serves as many requests as it may", retryAfterStart)
	case config == nil:
		return protocol.Refuse(http.StatusServiceUnavailable, "no-configuration", "this daemon has no configuration yet", retryAfterStart)
	case s.opt.Phase() == drain.Finishing || s.opt.Phase() == drain.Done:
		return protocol.Refuse(http.StatusServiceUnavailable, "stopping", "this daemon stops; ask for addresses anew", retryAfterStart)
	}
	return serve(c, config)
}

// requestID returns a new request id. It is unique, as the daemon's id is unique to its process.
func (s *Server) requestID() string {
	return s.opt.Self + "-" + strconv.FormatUint(s.sequence.Add(1), 36)
}

// Package edge serves callers by the routes of the desired state: it matches a request to a route,
// finds an endpoint, forwards the request to it and the answer to the caller. Answers are forwarded
// whole or as streams; a stream that breaks off can continue at another endpoint.
package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/access"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/buffering"
	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/largeanswers"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/retries"
	"github.com/doorvalve/doorvalve/driver/streams"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/workspace"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

// Locator finds the engine that holds a model or will hold it.
type Locator interface {
	// Want asks the service's coordinator for an endpoint with the model.
	Want(ctx context.Context, service string, w residency.Want) residency.Answer
}

// Options configure a Server. Functions must be safe for concurrent use and cheap.
type Options struct {
	// Table returns the routes of the desired state; nil if the daemon has none yet.
	Table func() *routing.Table
	// View returns the daemon's view of the endpoints.
	View func() *fleet.View
	// ViewAge returns a bound on the age of the view.
	ViewAge func() time.Duration
	// Draining reports whether the daemon is stopping; nil: never.
	Draining func() bool
	// DrainDeadline returns when a draining daemon aborts the requests in progress; zero while the
	// daemon is not draining.
	DrainDeadline func() time.Time
	// FailureDomain is that of the daemon's host.
	FailureDomain string
	Dialect       protocol.Dialect
	Locator       Locator
	Balancer      *balance.Balancer
	// Retries bounds the retries at each service.
	Retries *retries.Controller
	// StateAge returns a bound on the age of the desired state that a later call of Table returns.
	StateAge func() time.Duration
	// Access decides which keys are accepted, given the age of the desired state, until SetAccess is called.
	Access access.Bounds
	// Quotas enforces the quotas of workspaces.
	Quotas *quotas.Controller
	// Throttle enforces the backpressure signals of endpoints.
	Throttle *throttle.Controller
	// Quarantine holds back requests under which endpoints crash; nil: none.
	Quarantine *quarantiner.Controller
	// Streams decides where streams that have begun may continue; nil: by this daemon's records only.
	Streams *streams.Controller
	Log     *decisions.Log
	Metrics tally.Scope
	// Paths opens connections to endpoints; nil: over TCP, without other daemons.
	Paths *paths.Controller
	// FlushEvery is how long the events of a stream may be buffered before they are written. The
	// first event is written at once.
	FlushEvery time.Duration
	// Daemons returns how many daemons share the connections that an endpoint accepts; nil: this one only.
	Daemons func() int
	// Connections bounds the requests in progress.
	Connections int64
	// HeldBytes bounds the bytes of request bodies and answers that are held; zero: unlimited.
	HeldBytes int64
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	started time.Time
	opt     Options
	client  *client
	access  atomic.Pointer[access.Bounds]
	active  atomic.Int64
	held    *heldBytes
	metrics metrics
	// stopping ends when GiveUp is called.
	stopping context.Context
	giveUp   context.CancelFunc
	// accounts count the requests and how they end.
	accounts *inbound.Accounts
	// largeAnswers are the turns of large answers.
	largeAnswers largeanswers.Turns

	mu             sync.Mutex
	demand         map[string]residency.Demand // by service
	demandChanged  chan struct{}               // see DemandChanged
	placeFreed     chan struct{}               // see PlaceFreed
	margins        *waiting.Margins
	unknownHeaders decisions.Once // names of unknown headers that have been logged
}

type metrics struct {
	answered, refused, failed, retried, resumed, disconnected, unknownHeaders tally.Counter
	duration, firstEvent, waited, waitError                                   tally.Histogram
	slowCallers                                                               map[string]tally.Counter // by why they were closed
	refusals                                                                  *reasonCounters
	takenUp                                                                   *reasonCounters          // attempts to take up a stream, by how they ended
	withoutEnd                                                                map[string]tally.Counter // answers, by reason
}

// New returns a server.
func New(opt Options) *Server {
	if opt.Paths == nil {
		opt.Paths = paths.New(paths.Options{Dial: dial.TCP, Log: opt.Log, Metrics: opt.Metrics})
	}
	if opt.Draining == nil {
		opt.Draining = func() bool { return false }
	}
	if opt.Daemons == nil {
		opt.Daemons = func() int { return 1 }
	}
	if opt.Quarantine == nil {
		opt.Quarantine = quarantiner.New(quarantiner.Options{Members: func() []membership.Member { return nil }, Log: opt.Log, Metrics: opt.Metrics})
	}
	if opt.Streams == nil {
		opt.Streams = streams.New(streams.Options{Members: func() []membership.Member { return nil }, ViewAge: func() time.Duration { return 0 }, Log: opt.Log, Metrics: opt.Metrics})
	}
	m := opt.Metrics.SubScope("caller")
	slow := func(why string) tally.Counter {
		return m.Tagged(map[string]string{"reason": why}).Counter("slow_readers_closed_total")
	}
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	stopping, giveUp := context.WithCancel(context.Background())
	s := &Server{opt: opt, started: time.Now(), stopping: stopping, giveUp: giveUp, client: newClient(opt.Paths), accounts: inbound.NewAccounts(opt.Log, m), held: newHeldBytes(opt.HeldBytes), demand: map[string]residency.Demand{}, demandChanged: make(chan struct{}, 1), placeFreed: make(chan struct{}, 1), margins: waiting.NewMargins(), metrics: metrics{
		answered: m.Counter("requests_answered_total"), refused: m.Counter("requests_refused_total"),
		failed: m.Counter("requests_failed_total"), retried: m.Counter("attempts_retried_total"),
		resumed: m.Counter("streams_resumed_total"), disconnected: m.Counter("callers_gone_total"), unknownHeaders: m.Counter("answer_headers_unknown_total"),
		duration: m.Histogram("request_duration_seconds", buckets), firstEvent: m.Histogram("first_event_seconds", buckets),
		waited: m.Histogram("model_wait_seconds", buckets), waitError: m.Histogram("model_wait_beyond_estimate_seconds", buckets),
		refusals:    newRefusals(m),
		takenUp:     newReasonCounters(m, "streams_taken_up_total"),
		withoutEnd:  protocol.CountersOfEndless(m),
		slowCallers: map[string]tally.Counter{closedUnread: slow(closedUnread), closedMemory: slow(closedMemory), closedDeadline: slow(closedDeadline)},
	}}
	s.SetAccess(opt.Access)
	return s
}

// SetAccess changes the bounds by which keys are accepted.
func (s *Server) SetAccess(bounds access.Bounds) { s.access.Store(&bounds) }

// InProgress returns the number of requests without a final answer.
func (s *Server) InProgress() int { return int(s.active.Load()) }

// HeldBytes returns the bytes of request bodies and answers that are held.
func (s *Server) HeldBytes() int64 { return s.held.held() }

// Handler returns the handler of callers' requests.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			s.serve(c.Response().Writer, c.Request()) // echo's own writer hides the errors of flushes
			return nil
		}
	})
	return e
}

// request is the state of a caller's request.
type request struct {
	call            protocol.Call
	route           *routing.Route
	service         *routing.Service
	method          string
	uri             string // path and query as the caller sent them
	path            string // escaped
	host            string
	header          http.Header
	body            []byte
	print           lazy[protocol.Fingerprint]
	promptParts     lazy[[]quarantine.Part]
	probe           quarantiner.Probe    // the probe that this attempt is; nil for none
	table           *routing.Table       // the desired state in force on arrival
	stateAge        time.Duration        // bound on the age of table on arrival
	owner           *workspace.Workspace // the workspace charged for the request; nil for none
	ticket          quotas.Ticket        // what the request took of its workspace's quota
	limitTicket     quotas.Ticket        // what this attempt took of its endpoint's rate limit
	counted         bool                 // the throttle counts this attempt until it ends
	answered        bool                 // the endpoint has not rejected this attempt
	rank            int                  // priority; 0 is served first
	active          int64                // requests in progress on arrival, including this one
	arrived         time.Time
	deadline        time.Time
	suspendedBefore time.Duration // total time of the host's suspension on arrival
	waited          time.Duration // since arrival, as of the end of the last wait for the model; zero if none
	assigned        bool          // the coordinator assigned the endpoint
	// origin limits the endpoints of a stream that continues; unbound for a stream that has not
	// begun, and for other requests. The watch of an attempt may still read it when the next one is
	// chosen.
	origin atomic.Pointer[continuation.Constraint]
	// finding says what decided about a stream that the caller resumes.
	finding streams.Finding
	work    *inbound.Work // how far the request has come
}

// lazy is a value that is computed on first use, by whichever goroutine needs it first.
type lazy[T any] struct {
	once  sync.Once
	value T
}

func (l *lazy[T]) get(compute func() T) T {
	l.once.Do(func() { l.value = compute() })
	return l.value
}

// timeLeft returns how much longer the caller waits. It subtracts the time for which the host was
// suspended since arrival: Go's monotonic clock stands still meanwhile, but callers keep waiting.
func (q *request) timeLeft() time.Duration {
	return time.Until(q.deadline) - (clock.Suspended() - q.suspendedBefore)
}

// discardable returns how much longer the caller of a refused request may send: as long as it would have waited. q is nil
// for a request refused before it was read.
func (q *request) discardable() time.Duration {
	if q == nil {
		return defaultTimeLeft
	}
	return q.timeLeft()
}

// workspace returns the name of the workspace charged for the request; empty if there is none.
func (q *request) workspace() string {
	if q.owner == nil {
		return ""
	}
	return q.owner.Name
}

// version returns the version of the desired state in force when the request arrived; zero for none.
func (q *request) version() uint64 {
	if q.table == nil {
		return 0
	}
	return q.table.Version
}

// unit returns MODEL/ADAPTER, or MODEL for a request without an adapter; empty for a request
// without a model.
func (q *request) unit() string {
	if q.call.Adapter != "" {
		return q.call.Model + "/" + q.call.Adapter
	}
	return q.call.Model
}

// Retry-after values of refusals without an estimate.
const (
	retryNoState  = 500 * time.Millisecond
	retryBusy     = 300 * time.Millisecond
	retryDraining = 100 * time.Millisecond
	// retryNoPath is longer than the interval at which lost paths are tried.
	retryNoPath = 500 * time.Millisecond
)

// drainStreamReserve is the time that a draining daemon must have left to begin a stream. Most
// streams end within it.
const drainStreamReserve = 5 * time.Second

// defaultTimeLeft is the time limit of a request if neither the caller nor the route sets one.
const defaultTimeLeft = 30 * time.Second

// serve serves one request, up to its final answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	rest := inbound.RestOf(w, r)
	var q *request
	// Deferred first: the request has its final answer then, and does not count as in progress.
	defer func() { rest.Discard(intake.DiscardTime(s.opt.Draining(), q.discardable())) }()
	active := s.active.Add(1)
	defer s.active.Add(-1)
	account := s.accounts.Begin(r)
	var a *answer
	defer account.Close(func() bool { return s.answerUnaccounted(w, rest, q, a) })
	c := s.held.open(w)
	defer c.end()
	ctx, work := inbound.Follow(r)
	defer work.Stop()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer context.AfterFunc(s.stopping, func() { giveUp(errStopping) })()
	q, refusal := s.receive(ctx, c, r, work, arrived, active)
	if refusal != nil {
		account.End(s.writeRefusal(w, rest, q, refusal, ""))
		return
	}
	rest.Whole()
	s.countActive(q, 1)
	defer s.countActive(q, -1)
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	c.setTimes(buffering.UnreadTimeout(q.route.MaxWait), q.deadline.Add(writeSlack))
	a = &answer{caller: c, server: s, q: q}
	if r.ProtoAtLeast(1, 1) && r.Method != http.MethodHead {
		a.conn = inbound.Of(r)
	}
	refusal = s.run(ctx, q, a)
	s.metrics.duration.RecordDuration(time.Since(arrived))
	cause := context.Cause(ctx)
	if refusal != nil && !a.headerSent && c.closed == "" && !errors.Is(cause, inbound.ErrCallerGone) {
		account.End(s.writeRefusal(w, rest, q, explainGivenUp(refusal, cause), a.endpoint.ID))
		return
	}
	outcome := outcomeOf(a, refusal, cause)
	account.End(outcome)
	s.logOutcome(r, a, refusal, outcome)
	if outcome != inbound.Answered {
		panic(http.ErrAbortHandler) // a caller that has a part of the answer learns only so that it is not whole
	}
}

// errStopping is the cause of the end of requests that are in progress at the end of the grace period.
var errStopping = errors.New("this daemon stops before the request has ended")

// GiveUp refuses all requests in progress whose answers have not begun, and breaks the others off.
func (s *Server) GiveUp() { s.giveUp() }

// explainGivenUp returns the refusal of a request that was given up because its caller has closed its sending side or
// the daemon stops; other refusals as they are.
func explainGivenUp(refusal *protocol.Refusal, cause error) *protocol.Refusal {
	explained := *refusal
	switch {
	case errors.Is(cause, inbound.ErrSendingClosed):
		explained.Reason = reasonSendingClosed
	case errors.Is(cause, errStopping):
		explained.Reason = reasonStopping
	default:
		return refusal
	}
	explained.Detail = cause.Error()
	return &explained
}

// outcomeOf returns how a request ended that was not refused before its answer began. cause is that of the end of its
// context; nil if it has not ended.
func outcomeOf(a *answer, refusal *protocol.Refusal, cause error) inbound.Outcome {
	switch {
	case refusal == nil:
		return inbound.Answered
	case a.caller.closed != "":
		return inbound.BrokenOff
	case errors.Is(cause, inbound.ErrCallerGone), refusal.Reason == reasonCallerGone:
		return inbound.CallerGone
	}
	return inbound.BrokenOff
}

// logOutcome logs and counts how a request ended that was not refused before its answer began.
func (s *Server) logOutcome(r *http.Request, a *answer, refusal *protocol.Refusal, outcome inbound.Outcome) {
	q, c, ms := a.q, a.caller, time.Since(a.q.arrived).Milliseconds()
	s.countTakenUp(q, outcome.String())
	switch {
	case outcome == inbound.Answered:
		s.metrics.answered.Inc(1)
		log := s.opt.Log.InfoSampled
		if q.resumes() { // few, and each is a stream that had broken off
			log = s.opt.Log.Info
		}
		log(decisions.EventAnswered, "request", q.call.ID, "route", q.route.Name, "model", q.unit(), "status", a.status,
			"ms", ms, "first_event_ms", a.timeToFirstEvent().Milliseconds(), "longest_gap_ms", a.longestGap.Milliseconds(), "waited_ms", q.waited.Milliseconds(), "sent_ms", a.sentAt.Sub(q.arrived).Milliseconds(), "endpoints_age_ms", a.viewAge.Milliseconds(), "endpoint", a.endpoint.ID, "software", a.software, "resumes", q.call.Resumes, "version", q.version(), "workspace", q.workspace())
	case c.closed != "":
		s.metrics.slowCallers[c.closed].Inc(1)
		s.opt.Log.Info(decisions.EventFailed, "request", q.call.ID, "route", q.route.Name, "model", q.unit(), "outcome", outcome.String(), "reason", reasonSlowCaller, "detail", c.closed, "unread_limit_ms", c.unread.Milliseconds(), "held_bytes", s.HeldBytes(), "ms", ms, "endpoint", a.endpoint.ID)
	case outcome == inbound.CallerGone:
		s.metrics.disconnected.Inc(1)
		s.opt.Log.Info(decisions.EventFailed, "request", q.call.ID, "route", q.route.Name, "model", q.unit(), "outcome", outcome.String(), "reason", "caller gone", "connection", inbound.EndOf(r), "begun", a.headerSent, "ms", ms, "endpoint", a.endpoint.ID, "software", a.software, "resumes", q.call.Resumes)
	default:
		s.metrics.failed.Inc(1)
		s.logRefusal(decisions.EventFailed, q, refusal, a.endpoint.ID, outcome)
	}
}

// countTakenUp counts how an attempt to take up a stream ended: its outcome, or the reason of its refusal. q is nil for a request
// refused before it was read.
func (s *Server) countTakenUp(q *request, end string) {
	if q != nil && q.route != nil && q.resumes() {
		s.metrics.takenUp.count(end)
	}
}

// answerUnaccounted answers a request whose handler has ended without an outcome. It returns false if an answer has
// begun already.
func (s *Server) answerUnaccounted(w http.ResponseWriter, rest *inbound.Rest, q *request, a *answer) bool {
	if a != nil && a.headerSent {
		return false
	}
	s.writeRefusal(w, rest, q, protocol.RefuseMayHaveRun(http.StatusInternalServerError, "internal-error", "this daemon failed while it served the request"), "")
	return true
}

// writeSlack is how long after the request's deadline its answer may still be written.
const writeSlack = 2 * time.Second

// logRefusal logs and counts by reason the refusal that ended a request. q is nil for a request
// refused before it was read; endpoint is the last endpoint that answered, empty if none has.
func (s *Server) logRefusal(event string, q *request, refusal *protocol.Refusal, endpoint string, outcome inbound.Outcome) {
	s.metrics.refusals.count(refusal.Reason)
	if q == nil {
		s.opt.Log.Info(event, "outcome", outcome.String(), "reason", refusal.Reason, "detail", refusal.Detail, "status", refusal.Status)
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	fields := []any{"request", q.call.ID, "route", route, "model", q.unit(), "outcome", outcome.String(), "status", refusal.Status, "reason", refusal.Reason, "detail", refusal.Detail,
		"verdict", refusal.Verdict.String(), "retry_after_ms", refusal.RetryAfter.Milliseconds(), "ms", time.Since(q.arrived).Milliseconds(),
		"time_left_ms", time.Until(q.deadline).Milliseconds(), "endpoint", endpoint, "version", q.version(), "state_age_ms", q.stateAge.Milliseconds(), "workspace", q.workspace(),
		"endpoints_revision", s.opt.View().Version}
	if q.call.Resumes != "" {
		fields = append(fields, "resumes", q.call.Resumes, "resumes_after", q.call.LastEventID)
	}
	fields = append(fields, q.finding.Fields()...)
	if refusal.Reason == quarantiner.ReasonHeldBack {
		fields = append(fields, "fingerprint", q.fingerprint().String(), "held_parts", s.opt.Quarantine.Holds(q.subject()).Parts())
	}
	s.opt.Log.Info(event, fields...)
}

// ObserveRefusedHead counts and logs the refusal of a request whose head was beyond the limits of callers.
func (s *Server) ObserveRefusedHead(refusal *protocol.Refusal) {
	s.accounts.RefuseUnread()
	s.metrics.refused.Inc(1)
	s.logRefusal(decisions.EventRefused, nil, refusal, "", inbound.Refused)
}

// ObserveOwn counts and logs an answer of net/http's own to what is no request.
func (s *Server) ObserveOwn(status int) {
	s.ObserveRefusedHead(protocol.Refuse(status, inbound.ReasonNoRequest, "what arrived is no request", 0))
}

// ObserveEndLost counts an answer of which the last bytes could not be written.
func (s *Server) ObserveEndLost() { s.accounts.LoseEnd() }

// writeRefusal writes a refusal as the final answer, counts it and logs it. It returns CallerGone if the refusal could
// not be written.
func (s *Server) writeRefusal(w http.ResponseWriter, rest *inbound.Rest, q *request, refusal *protocol.Refusal, endpoint string) inbound.Outcome {
	event, count := decisions.EventRefused, s.metrics.refused
	if refusal.Verdict != protocol.NotRun {
		event, count = decisions.EventFailed, s.metrics.failed
	} else if q != nil {
		s.opt.Quotas.Refund(q.ticket)
	}
	count.Inc(1)
	s.countTakenUp(q, refusal.Reason)
	h := w.Header()
	if q != nil && q.call.ID != "" {
		h.Set(protocol.HeaderRequestID, q.call.ID)
	}
	rest.BeforeRefusal()
	s.announceEnd(h)
	answer := *refusal
	answer.RetryAfter = 0 // set below with fractions of a second, not by WriteTo
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(time.Now().Add(writeSlack)) // that of the answer may have passed while the host was suspended
	answer.WriteTo(w)
	outcome := inbound.Refused
	if err := conn.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		outcome = inbound.CallerGone
	}
	s.logRefusal(event, q, refusal, endpoint, outcome)
	return outcome
}

// announceEnd announces in the head of an answer that the daemon stops, and closes the connection after the answer.
func (s *Server) announceEnd(h http.Header) {
	if s.opt.Draining() {
		h.Set("Connection", "close")
	}
}

// setDeadline sets the deadline by the shorter of the time limits of the caller and the route.
func (s *Server) setDeadline(q *request) {
	left := q.call.TimeLeft
	if left == 0 {
		left = defaultTimeLeft
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(left)
}

// Package edge serves callers by the routes of the desired state: it matches a
// request to a route, finds an endpoint, forwards the request there and brings
// the answer back, whole or as a stream that goes on at another endpoint when
// the first one breaks off.
package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/access"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/retry"
	"github.com/doorvalve/doorvalve/coordination/waiting"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/workspace"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// Locator finds the engine that holds or will hold a model.
type Locator interface {
	// Want asks the service's coordinator.
	Want(ctx context.Context, service string, w residency.Want) residency.Answer
}

// Options are what the server needs of the rest of the daemon. Functions must
// be safe for concurrent use and cheap.
type Options struct {
	Table func() *routing.Table
	View  func() *fleet.View
	// ViewAge returns how old what the view says may be.
	ViewAge  func() time.Duration
	Draining func() bool
	// Ends returns when a draining daemon ends what is in progress; zero while
	// it serves.
	DrainDeadline func() time.Time
	Dialect       protocol.Dialect
	Locator       Locator
	Balancer      *balance.Balancer
	Budget        *retry.Budget
	// StateAge returns how old the desired state that Table returns afterwards may be.
	StateAge func() time.Duration
	// Access bounds how long keys are taken on a view of some age.
	Access access.Bounds
	// Quotas counts requests for their workspaces.
	Quotas *quotas.Controller
	// Throttle keeps to what endpoints say of themselves.
	Throttle *throttle.Controller
	// Quarantine holds requests back under which endpoints end.
	Quarantine *quarantiner.Controller
	Log        *decisions.Log
	Metrics    tally.Scope
	// FlushEvery is how long events of a stream may be gathered before they
	// are written; the first event is written at once.
	FlushEvery time.Duration
	// Connections bounds the requests in progress.
	Connections int64
}

// Server is safe for concurrent use.
type Server struct {
	opt     Options
	client  *client
	active  atomic.Int64
	metrics metrics

	mu      sync.Mutex
	demand  map[string]residency.Demand // by service
	turned  chan struct{}
	freed   chan struct{}
	margins *waiting.Margins
	unread  decisions.Once // names of headers that nobody reads
}

type metrics struct {
	answered, refused, failed, retried, resumed, gone, unread tally.Counter
	duration, firstEvent, waited, waitError                   tally.Histogram
}

// New returns a server.
func New(opt Options) *Server {
	m := opt.Metrics.SubScope("caller")
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return &Server{opt: opt, client: newClient(), demand: map[string]residency.Demand{}, turned: make(chan struct{}, 1), freed: make(chan struct{}, 1), margins: waiting.NewMargins(), metrics: metrics{
		answered: m.Counter("requests_answered_total"), refused: m.Counter("requests_refused_total"),
		failed: m.Counter("requests_failed_total"), retried: m.Counter("attempts_retried_total"),
		resumed: m.Counter("streams_resumed_total"), gone: m.Counter("callers_gone_total"), unread: m.Counter("answer_headers_unknown_total"),
		duration: m.Histogram("request_duration_seconds", buckets), firstEvent: m.Histogram("first_event_seconds", buckets),
		waited: m.Histogram("model_wait_seconds", buckets), waitError: m.Histogram("model_wait_beyond_estimate_seconds", buckets),
	}}
}

// InProgress returns the number of requests without a final answer.
func (s *Server) InProgress() int { return int(s.active.Load()) }

// Handler returns the callers' handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			s.serve(c.Response(), c.Request())
			return nil
		}
	})
	return e
}

// request is one caller's request on its way.
type request struct {
	call     protocol.Call
	route    *routing.Route
	service  *routing.Service
	method   string
	uri      string // path and query as the caller sent them
	path     string // as it was escaped
	host     string
	header   http.Header
	body     []byte
	print    *protocol.Fingerprint // nil until it is asked for
	trial    quarantiner.Probe     // that this attempt is
	table    *routing.Table        // that it came under
	stateAge time.Duration         // how old that may have been
	who      *workspace.Workspace  // that it is counted for; nil: nobody
	ticket   quotas.Ticket         // that it was let through with
	pass     quotas.Ticket         // for the endpoint of this attempt, if that names a limit
	rank     int                   // 0 is served first
	active   int64                 // requests in progress, this one among them
	arrived  time.Time
	deadline time.Time
	asleep   time.Duration // that the host had been suspended when it arrived
	waited   time.Duration
	named    bool // the coordinator named the endpoint
}

// timeLeft returns how long the caller waits yet. The deadline stands still while the host
// is suspended, its caller does not.
func (q *request) timeLeft() time.Duration {
	return time.Until(q.deadline) - (clock.Suspended() - q.asleep)
}

// fingerprint identifies the request when its caller sends it again.
func (q *request) fingerprint() protocol.Fingerprint {
	if q.print == nil {
		path, query, _ := strings.Cut(q.uri, "?")
		print := protocol.FingerprintOf(q.method, path, query, q.workspace(), q.body)
		q.print = &print
	}
	return *q.print
}

// workspace returns the name of the workspace that the request is counted for, empty if
// that is none.
func (q *request) workspace() string {
	if q.who == nil {
		return ""
	}
	return q.who.Name
}

// version returns the version of the desired state that the request came under.
func (q *request) version() uint64 {
	if q.table == nil {
		return 0
	}
	return q.table.Version
}

func (q *request) unit() string {
	if q.call.Adapter != "" {
		return q.call.Model + "/" + q.call.Adapter
	}
	return q.call.Model
}

// Times to come back when nothing better is known.
const (
	retryNoState  = 500 * time.Millisecond
	retryBusy     = 300 * time.Millisecond
	retryDraining = 100 * time.Millisecond
)

// lastStream is the time that a draining daemon must have left to begin a
// stream: most end within it.
const lastStream = 5 * time.Second

// defaultTimeLeft is the time of a request whose caller and route name none.
const defaultTimeLeft = 30 * time.Second

// serve gives one request its final answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	active := s.active.Add(1)
	defer s.active.Add(-1)
	if s.opt.Draining() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := s.arrive(w, r, arrived, active)
	if refusal != nil {
		s.refuse(w, r, q, refusal, "")
		return
	}
	s.countActive(q, 1)
	defer s.countActive(q, -1)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(writeSlack)) // not all writers have deadlines
	a := &answer{w: w, server: s, q: q}
	refusal = s.run(ctx, q, a)
	s.metrics.duration.RecordDuration(time.Since(arrived))
	switch {
	case refusal == nil:
		s.metrics.answered.Inc(1)
		s.opt.Log.InfoSampled(decisions.EventAnswered, "request", q.call.ID, "route", q.route.Name, "model", q.unit(), "status", a.status,
			"ms", time.Since(arrived).Milliseconds(), "first_event_ms", a.firstAfter().Milliseconds(), "longest_gap_ms", a.gap.Milliseconds(), "waited_ms", q.waited.Milliseconds(), "sent_ms", a.sent.Sub(arrived).Milliseconds(), "endpoints_age_ms", a.viewAge.Milliseconds(), "endpoint", a.endpoint.ID, "version", q.version(), "workspace", q.workspace())
	case r.Context().Err() != nil:
		s.metrics.gone.Inc(1)
		s.opt.Log.Info(decisions.EventFailed, "request", q.call.ID, "route", q.route.Name, "model", q.unit(), "reason", "caller gone", "ms", time.Since(arrived).Milliseconds(), "endpoint", a.endpoint.ID)
		panic(http.ErrAbortHandler)
	case a.begun:
		// A part has been sent; only a broken connection tells the caller.
		s.metrics.failed.Inc(1)
		s.logEnd(decisions.EventFailed, q, refusal, a.endpoint.ID)
		panic(http.ErrAbortHandler)
	default:
		s.refuse(w, r, q, refusal, a.endpoint.ID)
	}
}

// writeSlack is how long after its deadline an answer may still be written.
const writeSlack = 2 * time.Second

func (s *Server) logEnd(event string, q *request, refusal *protocol.Refusal, endpoint string) {
	if q == nil {
		s.opt.Log.Info(event, "reason", refusal.Reason, "detail", refusal.Detail, "status", refusal.Status)
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	fields := []any{"request", q.call.ID, "route", route, "model", q.unit(), "status", refusal.Status, "reason", refusal.Reason, "detail", refusal.Detail,
		"verdict", refusal.Verdict.String(), "retry_after_ms", refusal.RetryAfter.Milliseconds(), "ms", time.Since(q.arrived).Milliseconds(),
		"time_left_ms", time.Until(q.deadline).Milliseconds(), "endpoint", endpoint, "version", q.version(), "state_age_ms", q.stateAge.Milliseconds(), "workspace", q.workspace(),
		"endpoints_revision", s.opt.View().Version}
	if refusal.Reason == quarantiner.ReasonHeldBack {
		fields = append(fields, "fingerprint", q.fingerprint().String())
	}
	s.opt.Log.Info(event, fields...)
}

// refuse writes a refusal as the final answer.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, q *request, refusal *protocol.Refusal, endpoint string) {
	event, count := decisions.EventRefused, s.metrics.refused
	if refusal.Verdict != protocol.NotRun {
		event, count = decisions.EventFailed, s.metrics.failed
	} else if q != nil {
		s.opt.Quotas.Refund(q.ticket)
	}
	count.Inc(1)
	s.logEnd(event, q, refusal, endpoint)
	h := w.Header()
	if q != nil && q.call.ID != "" {
		h.Set(protocol.HeaderRequestID, q.call.ID)
	}
	if refusal.Status == http.StatusRequestEntityTooLarge {
		bodies.Drain(w, r)
	}
	wait := refusal.RetryAfter
	refusal.RetryAfter = 0 // written here, with fractions
	if wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	}
	refusal.WriteTo(w)
}

// setDeadline takes the shorter of the caller's and the route's time.
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

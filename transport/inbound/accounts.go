package inbound

import (
	"net/http"
	"runtime/debug"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/driver/decisions"
)

// ReasonNoRequest is the reason of a refusal of what is no request.
const ReasonNoRequest = "no-request"

// Outcome is how a request has ended for its caller.
type Outcome int

// The outcomes of a request. Each request has exactly one.
const (
	// Unaccounted: the handler ended without an outcome, as by a panic. No request should end so.
	Unaccounted Outcome = iota
	// Answered: the caller has got an endpoint's whole answer.
	Answered
	// Refused: the caller has got a whole answer of this daemon's own.
	Refused
	// BrokenOff: this daemon closed the connection, or ended a stream with an error, without a whole answer.
	BrokenOff
	// CallerGone: the caller has closed the connection.
	CallerGone

	outcomes // their number
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [outcomes]string{"unaccounted", "answered", "refused", "broken_off", "caller_gone"}[o]
}

// Accounts counts requests and their outcomes. Once none is in progress, the requests are as many as the outcomes. It is
// safe for concurrent use.
type Accounts struct {
	log   *decisions.Log
	begun tally.Counter
	ended [outcomes]tally.Counter
	// endsLost counts answers of which the last bytes could not be written after the outcome: they are counted as answered.
	endsLost tally.Counter
}

// NewAccounts returns accounts that log to log and count in scope.
func NewAccounts(log *decisions.Log, scope tally.Scope) *Accounts {
	a := &Accounts{log: log, begun: scope.Counter("requests_begun_total"), endsLost: scope.Counter("answer_ends_lost_total")}
	a.endsLost.Inc(0) // shown before the first one
	for o := range outcomes {
		a.ended[o] = scope.Tagged(map[string]string{"outcome": o.String()}).Counter("requests_ended_total")
		a.ended[o].Inc(0) // shown before the first one
	}
	return a
}

// RefuseUnread counts what was refused before a handler had it: a head beyond the limits, or what is no request.
func (a *Accounts) RefuseUnread() {
	a.begun.Inc(1)
	a.ended[Refused].Inc(1)
}

// LoseEnd counts an answer of which the last bytes could not be written.
func (a *Accounts) LoseEnd() { a.endsLost.Inc(1) }

// Account is the account of one request. It belongs to the goroutine of the request's handler.
type Account struct {
	accounts *Accounts
	request  *http.Request
	outcome  Outcome
}

// Begin counts a request. Close must be deferred.
func (a *Accounts) Begin(r *http.Request) *Account {
	a.begun.Inc(1)
	return &Account{accounts: a, request: r}
}

// End records the outcome of the request.
func (x *Account) End(o Outcome) { x.outcome = o }

// Close counts the outcome; it must be deferred itself. If there is none, it logs what ended the handler and calls
// answer, which writes a final answer or, if one has begun, returns false: the connection is then aborted.
func (x *Account) Close(answer func() bool) {
	cause := recover()
	x.accounts.ended[x.outcome].Inc(1)
	if x.outcome != Unaccounted {
		if cause != nil {
			panic(cause)
		}
		return
	}
	x.accounts.log.Error(decisions.EventUnaccounted, "method", x.request.Method, "host", x.request.Host, "path", x.request.URL.Path,
		"connection", EndOf(x.request), "panic", cause, "stack", string(debug.Stack()))
	if !answer() {
		panic(http.ErrAbortHandler)
	}
}

// EndOf returns the name of how the bytes of a request's caller have ended, for logs.
func EndOf(r *http.Request) string {
	if c := Of(r); c != nil {
		return c.End().String()
	}
	return "not-followed"
}

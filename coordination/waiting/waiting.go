// Package waiting decides whether a request waits for its model or is refused immediately
// with a retry delay.
package waiting

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

// Input describes a request whose model is not ready.
type Input struct {
	ReadyIn  time.Duration // until an endpoint can start the request
	Margin   time.Duration // possible error of ReadyIn
	Elapsed  time.Duration // since the request arrived, or since its caller received the last event
	TimeLeft time.Duration // until the request's deadline
	Target   time.Duration // latency objective of the request
	MaxWait  time.Duration // how long the caller waits before it gives up, counted like Elapsed
	// Started reports that an endpoint has worked on the request. It can no longer be
	// refused: if it ends now, it has failed.
	Started bool
	// WaitedBefore reports that the request has already waited for a model that did not
	// become ready in time. It then waits again only if it can meet its objective.
	WaitedBefore bool
}

// Decision is the outcome for a request.
type Decision struct {
	Wait bool
	// RetryAfter is the delay after which a refused request should be retried.
	RetryAfter time.Duration
}

const (
	// firstEventTime is the time that an endpoint takes until the first event, with room
	// for a long prompt and a full batch.
	firstEventTime = 250 * time.Millisecond
	// retryDivisor determines the longest retry delay that callers respect: the time left
	// divided by it.
	retryDivisor = 3
	// returnMargin is added to the retry delay, so that the model is ready when the caller
	// retries.
	returnMargin = 200 * time.Millisecond
)

// Decide decides whether a request waits; it has no side effects. A request waits if it is
// likely to be served: within its objective, or, including the margin of the estimate,
// before its caller gives up. A request that an endpoint has started continues as long as
// it can still be served. All others are refused immediately, with a retry delay after
// which the model will be ready. The value of a request counts from the caller's first
// attempt, so a refusal gains nothing if waiting would succeed, and a wait that fails costs
// the caller more the longer it lasts.
func Decide(in Input) Decision {
	need := in.ReadyIn + firstEventTime
	if in.Started {
		return Decision{Wait: in.lasts(need), RetryAfter: protocol.MinRetryAfter}
	}
	if in.Elapsed+need <= in.Target && in.lasts(need) || !in.WaitedBefore && in.lasts(need+in.Margin) {
		return Decision{Wait: true}
	}
	delay := min(in.ReadyIn+returnMargin, in.TimeLeft/retryDivisor)
	return Decision{RetryAfter: max(protocol.MinRetryAfter, delay)}
}

// lasts reports whether the caller still waits and the deadline has not passed after t.
func (in Input) lasts(t time.Duration) bool { return t < in.TimeLeft && in.Elapsed+t < in.MaxWait }

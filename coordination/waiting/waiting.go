// Package waiting decides whether a request waits for its model or is refused immediately
// with a retry delay.
package waiting

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
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
	// Work is the estimated course of the request at an endpoint; zero if its size is not known.
	Work workcost.Estimate
	// Started reports that an endpoint has worked on the request. It can no longer be
	// refused: if it ends now, it has failed.
	Started bool
	// Continued reports that an endpoint has begun the answer in an earlier attempt of the caller. Its caller has had the first
	// event, so the objective for that does not count; it can be refused, as it has not run in this attempt.
	Continued bool
	// WaitedBefore reports that the request has already waited for a model that did not
	// become ready in time. It then waits again only if it can meet its objective.
	WaitedBefore bool
	// Committed reports that the caller was refused before, or that the request has begun to wait.
	// It is then refused only if it cannot be in time by the estimate itself: another refusal needs
	// a stricter reason than the first.
	Committed bool
}

// Decision is the outcome for a request.
type Decision struct {
	Wait bool
	// RetryAfter is the delay after which a refused request should be retried.
	RetryAfter time.Duration
	// InVain is set for a refused request that is continued if no retry can succeed: half of the estimate is more than its caller has
	// time left.
	InVain bool
}

const (
	// firstEventTime is the time that an endpoint takes until the first event of a request of
	// unknown size, with room for a long prompt and a full batch.
	firstEventTime = 250 * time.Millisecond
	// retryDivisor determines the longest retry delay that callers respect: the time left
	// divided by it.
	retryDivisor = 3
	// slackShare is the share of the time for which the caller waits that a request may need, by
	// the estimate, to wait whatever the margin: it succeeds even if the estimate is short by as
	// much again. A request that waits holds no endpoint, and one that is refused may not come back.
	slackShare = 0.5
	// returnMargin is added to the retry delay, so that the model is ready when the caller
	// retries.
	returnMargin = 200 * time.Millisecond
)

// Decide decides whether a request waits; it has no side effects. A request waits if it is
// likely to be served: within its objective, or before its caller gives up, either including
// the margin of the estimate or with so much slack that the margin does not matter. A request
// that an endpoint has started, or whose answer a caller takes up again, continues as long as it can still be served. All others are
// refused immediately, with a retry delay after which the model will be ready. The value of a
// request counts from the caller's first attempt, so a refusal gains nothing if waiting would
// succeed, and a wait that fails costs the caller more the longer it lasts.
func Decide(in Input) Decision {
	if in.Started {
		return Decision{Wait: in.lasts(in.ReadyIn), RetryAfter: protocol.MinRetryAfter}
	}
	if in.Continued && in.lasts(in.ReadyIn) {
		return Decision{Wait: true}
	}
	inObjective := in.Elapsed+in.ReadyIn+firstEvent(in.Work) <= in.Target && in.lasts(in.ReadyIn)
	likely := in.Committed && in.lasts(in.ReadyIn) || in.lasts(in.ReadyIn+in.Margin) || in.lasts(time.Duration(float64(in.ReadyIn)/slackShare))
	if !in.Continued && (inObjective || !in.WaitedBefore && likely) {
		return Decision{Wait: true}
	}
	delay := min(in.ReadyIn+returnMargin, in.TimeLeft/retryDivisor)
	return Decision{RetryAfter: max(protocol.MinRetryAfter, delay), InVain: in.Continued && time.Duration(slackShare*float64(in.ReadyIn)) > in.TimeLeft}
}

// lasts reports whether a request that is started after t gets its first event while the caller
// still waits, and ends before the deadline. Of a request that an endpoint has worked on, the rest
// is not known.
func (in Input) lasts(t time.Duration) bool {
	first, end := firstEvent(in.Work), in.Work.End
	if in.Started || in.Continued {
		end = 0
	}
	return t+max(first, end) < in.TimeLeft && in.Elapsed+t+first < in.MaxWait
}

// firstEvent returns the time until the first event of a request.
func firstEvent(work workcost.Estimate) time.Duration {
	if work.FirstEvent <= 0 {
		return firstEventTime
	}
	return work.FirstEvent
}

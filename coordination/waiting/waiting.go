// Package waiting decides whether a request waits for its model, or is refused
// at once with the time to come back.
package waiting

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

// Input is what the decision hangs on.
type Input struct {
	ReadyIn  time.Duration // until an endpoint can start the request
	Margin   time.Duration // by which ReadyIn may err
	Elapsed  time.Duration // since the request arrived, or its caller got the last event
	TimeLeft time.Duration // until its deadline
	Target   time.Duration // its latency objective
	MaxWait  time.Duration // until its caller leaves, from the same moment as Elapsed
	// Begun says that an endpoint has worked on the request, so that it cannot
	// be refused any more: ended now, it has failed.
	Started bool
	// Again says that it has waited before, in vain: then it waits only while it can be within
	// its objective.
	WaitedBefore bool
}

// Decision is what becomes of the request.
type Decision struct {
	Wait bool
	// RetryAfter is when to come back, for a refusal.
	RetryAfter time.Duration
}

const (
	// firstEvent is the time that an endpoint takes to the first event, with
	// room to spare: a long prompt and a full batch.
	firstEvent = 250 * time.Millisecond
	// honouredPart is the part of the time left up to which callers keep to a
	// Retry-After.
	honouredPart = 3
	// returnMargin is added to the time to come back, so that the model is
	// there when the caller is.
	returnMargin = 200 * time.Millisecond
)

// Decide is pure. A request waits if it is likely to be served: within its
// objective, or with the estimate's margin before its caller leaves. One that an
// endpoint has begun goes on while there is a chance. All others are refused at
// once with the time at which the model will be there: worth counts from the
// caller's first try, so that a refusal gains nothing where waiting succeeds, and
// waiting in vain costs the caller more the longer it lasts.
func Decide(in Input) Decision {
	need := in.ReadyIn + firstEvent
	if in.Started {
		return Decision{Wait: in.lasts(need), RetryAfter: protocol.MinRetryAfter}
	}
	if in.Elapsed+need <= in.Target && in.lasts(need) || !in.WaitedBefore && in.lasts(need+in.Margin) {
		return Decision{Wait: true}
	}
	back := min(in.ReadyIn+returnMargin, in.TimeLeft/honouredPart)
	return Decision{RetryAfter: max(protocol.MinRetryAfter, back)}
}

// lasts reports whether the caller is still there after a time.
func (in Input) lasts(t time.Duration) bool { return t < in.TimeLeft && in.Elapsed+t < in.MaxWait }

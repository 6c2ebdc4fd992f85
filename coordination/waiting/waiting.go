// Package waiting decides whether a request waits for its model, or is refused
// at once with the time to come back.
package waiting

import "time"

// Input is what the decision hangs on.
type Input struct {
	ReadyIn  time.Duration // until an endpoint can start the request
	Elapsed  time.Duration // since the request arrived
	TimeLeft time.Duration // until its deadline
	Target   time.Duration // its latency objective
	Patience time.Duration // until its caller leaves, from the arrival
	// Returned says that the caller has been here before with this request:
	// it has waited outside already.
	Returned bool
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
	// promptPart is the part of the objective in which a refusal costs the caller
	// little; afterwards waiting on is better than asking again.
	promptPart = 4
	// honouredPart is the part of the time left up to which callers keep to a
	// Retry-After.
	honouredPart = 3
	// returnMargin is added to the time to come back, so that the model is
	// there when the caller is.
	returnMargin = 200 * time.Millisecond
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

// Decide is pure. A request that can meet its objective waits. One that cannot
// is sent away with the time at which its model will be there, unless it came
// back already, or would have to come back too early: it then waits while its
// caller does.
func Decide(in Input) Decision {
	need := in.ReadyIn + firstEvent
	if in.Elapsed+need <= in.Target {
		return Decision{Wait: true}
	}
	inTime := need < in.TimeLeft && in.Elapsed+need < in.Patience
	back := in.ReadyIn + returnMargin
	prompt := in.Elapsed <= in.Target/promptPart
	if !in.Returned && prompt && back <= in.TimeLeft/honouredPart {
		return Decision{RetryAfter: max(back, minRetryAfter)}
	}
	if inTime {
		return Decision{Wait: true}
	}
	return Decision{RetryAfter: max(minRetryAfter, min(back, in.TimeLeft/honouredPart))}
}

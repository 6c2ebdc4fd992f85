package waiting

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

// QueueInput is what the decision to join a queue hangs on.
type QueueInput struct {
	StartsIn time.Duration // until a slot is free; zero where one is
	Elapsed  time.Duration // since the request arrived
	TimeLeft time.Duration // until its deadline
	Target   time.Duration // its latency objective
}

// Join decides whether a request joins the queue of an engine that is full. More requests
// than the engines can take make a queue that grows until its callers leave: then each of
// them is late, and no more are served than with a queue in which they are in time. So one
// that would be late is refused at once, with the time at which those ahead of it have
// begun: it has not run, and by then others may hold its model as well.
func Join(in QueueInput) Decision {
	if in.StartsIn <= 0 || in.Elapsed+in.StartsIn+firstEvent <= in.Target {
		return Decision{Wait: true}
	}
	return Decision{RetryAfter: max(protocol.MinRetryAfter, min(in.StartsIn, in.TimeLeft/honouredPart))}
}

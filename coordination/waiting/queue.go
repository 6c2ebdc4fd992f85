package waiting

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
)

// QueueInput describes a request that may join the queue of an engine.
type QueueInput struct {
	StartsIn time.Duration // until a slot is free; zero if one is free now
	Elapsed  time.Duration // since the request arrived
	TimeLeft time.Duration // until the request's deadline
	Target   time.Duration // latency objective of the request
	// Work is the estimated course of the request at an endpoint; zero if its size is not known.
	Work workcost.Estimate
}

// Join decides whether a request joins the queue of a full engine. If more requests arrive
// than the engines can process, a queue grows until its callers leave. All requests are
// then late, while no more of them are served than with a queue short enough for them to be
// in time. A request that would be late is therefore refused immediately, with a retry
// delay until the requests ahead of it have started. It has not run yet, and more engines
// may hold its model by then.
func Join(in QueueInput) Decision {
	if in.StartsIn <= 0 || in.Elapsed+in.StartsIn+firstEvent(in.Work) <= in.Target {
		return Decision{Wait: true}
	}
	return Decision{RetryAfter: max(protocol.MinRetryAfter, min(in.StartsIn, in.TimeLeft/retryDivisor))}
}

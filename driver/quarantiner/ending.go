package quarantiner

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/ending"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// maxEndChecks bounds the checks of an endpoint for one answer, while they show nothing.
const maxEndChecks = 2

// UnframedAnswer is an answer that has neither a length nor chunks, and whose endpoint has closed the
// connection.
type UnframedAnswer struct {
	Request     string // request id of the caller's attempt
	Incarnation fleet.Incarnation
	Address     string
	Empty       bool // see ending.Evidence
}

// EndOf finds out how an answer has ended: it checks whether the endpoint is up.
func (c *Controller) EndOf(ctx context.Context, a UnframedAnswer) ending.End {
	listed, leaving := c.opt.Endpoint(a.Incarnation)
	evidence := ending.Evidence{Leaving: leaving || !listed, Empty: a.Empty}
	if !a.Empty {
		evidence.Endpoint = c.endpointNow(ctx, a.Address)
	}
	end := ending.Decide(evidence)
	c.metrics.ends[end].Inc(1)
	fields := []any{"request", a.Request, "endpoint", a.Incarnation.ID, "end", end.String(), "endpoint_state", evidence.Endpoint.String(), "leaving", evidence.Leaving, "empty", a.Empty}
	if end == ending.Whole {
		c.opt.Log.InfoSampled(decisions.EventUnframedEnd, fields...)
	} else {
		c.opt.Log.Info(decisions.EventUnframedEnd, fields...)
	}
	return end
}

// endpointNow finds out whether the endpoint at an address is up, just after it closed a connection.
func (c *Controller) endpointNow(ctx context.Context, address string) (life reach.Life) {
	broke := c.opt.Clock()
	for range maxEndChecks {
		limited, cancel := context.WithTimeout(ctx, checkTimeout)
		life = paths.LifeOf(c.opt.Check(limited, address, broke))
		cancel()
		if life == reach.LifeServing || life == reach.LifeGone || ctx.Err() != nil {
			break
		}
	}
	return life
}

// endCounters returns the counters of ends.
func endCounters(m tally.Scope) map[ending.End]tally.Counter {
	counters := map[ending.End]tally.Counter{}
	for _, end := range []ending.End{ending.NotKnown, ending.Whole, ending.Broken} {
		counters[end] = m.Tagged(map[string]string{"end": end.String()}).Counter("answers_without_length_total")
	}
	return counters
}

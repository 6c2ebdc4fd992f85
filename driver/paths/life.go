package paths

import (
	"context"
	"errors"
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/internal/dial"
)

// Life finds out whether the endpoint at an address is up, which has been silent since the given time. Other
// daemons are asked only about endpoints that are listed: they connect to no others.
func (c *Controller) Life(ctx context.Context, address string, silentSince time.Time) reach.Life {
	if c.Listed(address) {
		return LifeOf(c.Check(ctx, address, silentSince))
	}
	conn, err := c.DialDirect(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return reach.LifeServing
	}
	if ctx.Err() != nil || !c.reachesAnotherNow(ctx, address) {
		return reach.LifeNotKnown
	}
	return LifeOf(err)
}

// LifeOf returns what the result of Check shows.
func LifeOf(err error) reach.Life {
	switch {
	case err == nil:
		return reach.LifeServing
	case dial.IsRefused(err):
		return reach.LifeGone
	case dial.IsDialError(err) && !errors.Is(err, ErrNoPath):
		return reach.LifeSilent
	}
	return reach.LifeNotKnown
}

package paths

import (
	"context"
	"slices"

	"github.com/doorvalve/doorvalve/coordination/reach"
)

// explain returns the error of a connection that neither the own path nor a relay has opened. own is
// the error of the own path; nil if it was not tried.
func (c *Controller) explain(ctx context.Context, network, address string, own error) error {
	if own == nil || !c.reachesAnother(ctx, address) {
		return noPath(network)
	}
	return own
}

// reachesAnother is reachesAnotherNow, or its result of the last credibleFor.
func (c *Controller) reachesAnother(ctx context.Context, address string) bool {
	now := c.opt.Clock()
	c.mu.Lock()
	known, credible := now.Sub(c.credibleAt) < credibleFor, c.credible
	c.mu.Unlock()
	if known {
		return credible
	}
	return c.reachesAnotherNow(ctx, address)
}

// reachesAnotherNow reports whether the own path reaches an endpoint at another address, or no other
// endpoint is listed. Only then does a failure at the address show something about the endpoint there.
func (c *Controller) reachesAnotherNow(ctx context.Context, address string) bool {
	c.mu.Lock()
	listed, _ := c.table.Counts()
	other, ok := c.table.Sound(address)
	c.mu.Unlock()
	switch {
	case listed <= 1:
		return true
	case !ok:
		return false
	}
	conn, err := c.DialDirect(ctx, "tcp", other)
	if err == nil {
		_ = conn.Close()
	}
	c.mu.Lock()
	c.credible, c.credibleAt = err == nil, c.opt.Clock()
	c.mu.Unlock()
	return err == nil
}

// Suspect checks the own path to an address in the background, because a connection there is silent.
func (c *Controller) Suspect(address string) {
	c.mu.Lock()
	start := c.table.StartCheck(c.opt.Clock(), address)
	c.mu.Unlock()
	if start {
		go c.check(context.Background(), address)
	}
}

// check opens a connection over the own path, and if that fails asks other daemons, to find out whether
// the path is lost or the endpoint does not answer.
func (c *Controller) check(ctx context.Context, address string) {
	if c.Path(address) == reach.Direct {
		conn, err := c.DialDirect(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	now := c.opt.Clock()
	evidence := c.askWitnesses(ctx, address, now)
	if slices.Contains(evidence, reach.Reached) || len(evidence) < len(c.relays()) {
		return // a request may find a daemon with a path among those that were not asked
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ObserveNoRelay(now, address)
}

// checkOthers checks paths that count as sound.
func (c *Controller) checkOthers() {
	now := c.opt.Clock()
	c.mu.Lock()
	list := c.table.StartChecks(now, maxChecks)
	c.mu.Unlock()
	for _, address := range list {
		go c.check(context.Background(), address)
	}
}

package paths

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// maxWitnesses bounds the daemons that are asked about one endpoint.
	maxWitnesses = 4
	// examineTimeout bounds a trial for another daemon, which waits for the answer.
	examineTimeout = 100 * time.Millisecond
	// confirmAfter is the time until a second look, which must confirm that an endpoint has crashed: a
	// partition does not begin on all links at one instant.
	confirmAfter = 20 * time.Millisecond
)

// Check finds out whether the endpoint at an address has crashed, whose connections broke at the given
// time. It returns nil if this daemon or another one reaches the endpoint, an error that dial.IsRefused
// reports if the endpoint has crashed, and ErrNoPath or the failure of the own path if that is not
// known.
func (c *Controller) Check(ctx context.Context, address string, broke time.Time) error {
	err := c.look(ctx, address, broke)
	if !dial.IsRefused(err) {
		return err
	}
	pause.For(ctx, confirmAfter)
	return c.look(ctx, address, broke)
}

// look is Check without a second look.
func (c *Controller) look(ctx context.Context, address string, broke time.Time) error {
	own, err := c.examine(ctx, address)
	if own.Reached || ctx.Err() != nil {
		return err
	}
	others := c.askWitnesses(ctx, address, broke)
	evidence := own.Evidence(c.opt.Clock(), broke)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case slices.Contains(others, reach.Reached):
		return nil
	case reach.Crashed(evidence, others):
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	c.opt.Log.InfoSampled(decisions.EventCrashNotConfirmed, "address", address, "own", evidence.String(), "others", namesOf(others), "error", err)
	if dial.IsRefused(err) {
		return noPath("tcp")
	}
	return c.explain(ctx, "tcp", address, err)
}

func namesOf(list []reach.Evidence) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.String()
	}
	return names
}

// Examine tries the own path to an address for another daemon, unless it is known to be silent.
func (c *Controller) Examine(ctx context.Context, address string) reach.Observation {
	if c.Path(address) == reach.Relayed {
		return reach.Observation{}
	}
	ctx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	o, _ := c.examine(ctx, address)
	return o
}

// examine tries the own path to an address. err is the failure of the trial.
func (c *Controller) examine(ctx context.Context, address string) (o reach.Observation, err error) {
	conn, err := c.DialDirect(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return reach.Observation{Reached: true}, nil
	}
	c.mu.Lock()
	age, refused := c.table.Refused(c.opt.Clock(), address)
	c.mu.Unlock()
	if !refused || !c.reachesAnotherNow(ctx, address) {
		return reach.Observation{}, err
	}
	return reach.Observation{Refused: true, Age: age}, err
}

// askWitnesses asks other daemons at once what they see of an endpoint.
func (c *Controller) askWitnesses(ctx context.Context, address string, broke time.Time) []reach.Evidence {
	members := c.relays()
	c.mu.Lock()
	witnesses := c.table.Witnesses(members, maxWitnesses)
	c.mu.Unlock()
	list := make([]reach.Evidence, len(witnesses))
	var wg sync.WaitGroup
	for i, w := range witnesses {
		wg.Go(func() { list[i] = c.askWitness(ctx, w, address, broke) })
	}
	wg.Wait()
	return list
}

func (c *Controller) askWitness(ctx context.Context, w reach.Relay, address string, broke time.Time) reach.Evidence {
	if c.IsPartitioned(w.ID) {
		return reach.PathLost
	}
	o, err := c.opt.Tunnel.Examine(ctx, w.PeerAddress, address, c.nextTunnel())
	if err != nil {
		return reach.NoEvidence
	}
	if o.Reached {
		c.observeRelay(address, w.ID, reach.Opened)
		c.relayClosed(w.ID)
	} else {
		c.observeRelay(address, w.ID, reach.Unreached)
	}
	return o.Evidence(c.opt.Clock(), broke)
}

package streams

import (
	"context"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/streampb"
)

// question is a search for the origin of one stream.
type question struct {
	continuation.Request
	at time.Time // when it came
	// silent is set if a source that may know the origin has not answered.
	silent bool
}

// Resume returns where a stream may continue that a caller resumes, or the refusal if nobody knows
// which of several versions began it.
func (c *Controller) Resume(ctx context.Context, r continuation.Request) (continuation.Constraint, *protocol.Refusal) {
	q := &question{Request: r, at: c.opt.Clock()}
	if found, ok := c.decide(r, false); ok {
		return found, nil
	}
	for _, source := range []func(context.Context, *question) (continuation.Constraint, bool){c.askDaemons, c.askRecord, c.askStored} {
		if found, ok := source(ctx, q); ok {
			return found, nil
		}
	}
	return continuation.Constraint{}, c.refuseOrigin(q)
}

// refuseOrigin tells an origin that is lost from one that is not known yet. The refusal of a lost one has a status
// after which callers do not repeat the request as it is.
func (c *Controller) refuseOrigin(q *question) *protocol.Refusal {
	if age := c.opt.Clock().Sub(c.started); q.Named && (q.silent || !c.viewIsFresh() || !c.opt.FirstStart && age < settleTime) {
		c.metrics.unknown.Inc(1)
		return protocol.Refuse(http.StatusServiceUnavailable, ReasonUnknownOrigin, "several versions of the service's software may have begun this stream, and what may tell which has not answered yet", retryUnknown)
	}
	c.metrics.lost.Inc(1)
	return protocol.Refuse(http.StatusBadRequest, ReasonLostOrigin, "no daemon and no record knows which version of the service's software began this stream: it cannot be taken up, begin it anew", 0)
}

// askDaemons asks the daemons that hold copies of the stream's record, then others if several versions may have begun it.
func (c *Controller) askDaemons(ctx context.Context, q *question) (continuation.Constraint, bool) {
	members := c.ranked(q.Key)
	first := members[:min(askedFirst, len(members))]
	if found, ok := c.askAndDecide(ctx, q, first); ok {
		return found, true
	}
	rest := members[len(first):]
	if !q.Named || len(rest) == 0 {
		return continuation.Constraint{}, false
	}
	if len(members) > maxAsked {
		return continuation.Constraint{}, false
	}
	return c.askAndDecide(ctx, q, rest)
}

// askAndDecide asks daemons for the record of a stream. Without one it decides by the versions that they and this daemon have
// seen, unless a daemon that is gone may have begun the stream at another one.
func (c *Controller) askAndDecide(ctx context.Context, q *question, members []membership.Member) (continuation.Constraint, bool) {
	found, silent := c.ask(ctx, q.Request, members)
	q.silent = q.silent || silent
	if found {
		return c.Continue(q.Request)
	}
	allSeen := !c.record.HasStore() || !q.silent && !c.daemonsWereLost()
	return c.decide(q.Request, c.viewIsFresh() && allSeen)
}

// daemonsWereLost reports whether a daemon has ended so lately that its streams may still be resumed. Its versions may be
// known to nobody that is left.
func (c *Controller) daemonsWereLost() bool {
	c.observeMembers() // a daemon may have ended since the last look
	c.mu.Lock()
	defer c.mu.Unlock()
	now, retention := c.opt.Clock(), c.t.Retention()
	return !c.opt.FirstStart && now.Sub(c.started) < retention || !c.lostAt.IsZero() && now.Sub(c.lostAt) < retention
}

// observeMembers notes when a daemon is gone.
func (c *Controller) observeMembers() {
	alive := map[string]struct{}{}
	for _, m := range c.opt.Members() {
		alive[m.ID] = struct{}{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.alive {
		if _, ok := alive[id]; !ok {
			c.lostAt = c.opt.Clock()
		}
	}
	c.alive = alive
}

// viewIsFresh reports whether this daemon relies on having seen all software of a service.
func (c *Controller) viewIsFresh() bool {
	fresh := c.opt.ViewAge() <= maxViewAge
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blind && fresh {
		c.t.MissViews(c.opt.Clock())
		c.missed = true
	}
	c.blind = !fresh
	return fresh
}

// ask asks daemons for the record of a stream, and adopts what they have seen. silent is set if one has not answered.
func (c *Controller) ask(ctx context.Context, r continuation.Request, members []membership.Member) (found, silent bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan *streampb.FindResponse, len(members))
	req := &streampb.FindRequest{Key: r.Key[:], Service: r.Service}
	for _, m := range members {
		c.metrics.asked.Inc(1)
		go func() {
			resp, err := c.opt.Peer(m.PeerAddress).Find(ctx, req)
			if err != nil {
				resp = nil // the daemon counts as silent
			}
			answers <- resp
		}()
	}
	for range members {
		resp := <-answers
		if resp == nil {
			silent = true
			continue
		}
		c.adopt(r.Service, resp)
		if resp.Stream != nil {
			return true, silent
		}
	}
	return false, silent
}

// askRecord decides by the record in the store, read after the stream was taken up.
func (c *Controller) askRecord(ctx context.Context, q *question) (continuation.Constraint, bool) {
	if !c.record.HasStore() {
		return continuation.Constraint{}, false
	}
	if err := c.readSince(ctx, q.at); err != nil {
		q.silent = true
		c.logRecordError(err)
		return continuation.Constraint{}, false
	}
	found, ok := c.decide(q.Request, c.viewIsFresh())
	if ok {
		c.opt.Log.Info(decisions.EventOriginFound, "source", "record", "service", q.Service, "software", found.Software())
	}
	return found, ok
}

// readSince reads the record, unless a read that began after the given time has succeeded.
func (c *Controller) readSince(ctx context.Context, at time.Time) error {
	if !c.lockRecord(ctx) {
		return ctx.Err()
	}
	defer c.unlockRecord()
	if c.readAt.After(at) {
		return nil
	}
	now := c.opt.Clock()
	if wait := minReadInterval - c.record.SinceTried(now); wait > 0 {
		pause.For(ctx, wait)
		now = c.opt.Clock()
	}
	if err := c.readRecord(ctx, now); err != nil {
		return err
	}
	c.readAt = now
	return nil
}

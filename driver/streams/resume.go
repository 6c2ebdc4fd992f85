package streams

import (
	"context"
	"net/http"
	"slices"
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
	at      time.Time // when it came
	silent  []string  // sources that may know the origin and have not answered
	finding Finding
	// notStored: all stored origins were read after the question came, and do not have the stream.
	notStored bool
}

func (q *question) addSilent(source string) {
	if !slices.Contains(q.silent, source) {
		q.silent = append(q.silent, source)
	}
}

// Resume returns where a stream may continue that a caller resumes with the given attempt, or the refusal if
// nobody knows which of several versions began it; and what decided.
func (c *Controller) Resume(ctx context.Context, requestID string, r continuation.Request) (continuation.Constraint, Finding, *protocol.Refusal) {
	q := &question{Request: r, at: c.opt.Clock()}
	if found, ok := c.decide(r, false); ok {
		return found, c.ownFinding(r), nil
	}
	// After a restart of all daemons only the stored origins have the stream, and all of its callers come at once: the others are
	// asked last.
	for _, source := range []func(context.Context, *question) (continuation.Constraint, bool){c.askHolders, c.askRecord, c.askStoredSoon, c.askOthers, c.askStored} {
		if found, ok := source(ctx, q); ok {
			fields := append([]any{"request", requestID, "service", r.Service, "software", found.Software()}, q.finding.Fields()...)
			c.opt.Log.Info(decisions.EventOriginFound, fields...)
			return found, q.finding, nil
		}
	}
	return continuation.Constraint{}, c.notFound(q), c.refuseOrigin(q)
}

// refuseOrigin tells an origin that is lost from one that is not known yet. The refusal of a lost one has a status
// after which callers do not repeat the request as it is.
func (c *Controller) refuseOrigin(q *question) *protocol.Refusal {
	if len(q.silent) > 0 || !c.viewIsFresh() || !c.isSettled() {
		c.metrics.unknown.Inc(1)
		return protocol.Refuse(http.StatusServiceUnavailable, ReasonUnknownOrigin, "several versions of the service's software may have begun this stream, and what may tell which has not answered yet", retryUnknown)
	}
	c.metrics.lost.Inc(1)
	return protocol.Refuse(http.StatusBadRequest, ReasonLostOrigin, "no daemon and no record knows which version of the service's software began this stream: it cannot be taken up, begin it anew", 0)
}

// isSettled reports whether this daemon knows the other daemons, and they have told what they know.
func (c *Controller) isSettled() bool {
	now := c.opt.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < changeTime }
	if c.opt.FirstStart {
		return !changed(c.lostAt) && !changed(c.mixedAt)
	}
	// The versions of a daemon without memory appear when it starts.
	mixedSince := c.mixedAt.Sub(c.started) > settleTime && changed(c.mixedAt)
	return now.Sub(c.started) >= settleTime && !changed(c.lostAt) && !mixedSince
}

// askHolders asks the daemons that hold copies of the stream's record.
func (c *Controller) askHolders(ctx context.Context, q *question) (continuation.Constraint, bool) {
	members := c.holders(q.Key)
	return c.askAndDecide(ctx, q, members[:min(askedFirst, len(members))])
}

// askOthers asks the other daemons, if there are not too many: several versions may have begun the stream.
func (c *Controller) askOthers(ctx context.Context, q *question) (continuation.Constraint, bool) {
	members := c.holders(q.Key)
	if !q.Named || len(members) <= askedFirst {
		return continuation.Constraint{}, false
	}
	if len(members) > maxAsked {
		members = members[:maxAsked]
	}
	return c.askAndDecide(ctx, q, members[askedFirst:])
}

// askAndDecide asks daemons for the record of a stream. Without one it decides by the versions that they and this daemon have
// seen, unless a daemon that is gone may have begun the stream at another one.
func (c *Controller) askAndDecide(ctx context.Context, q *question, members []membership.Member) (continuation.Constraint, bool) {
	holder, silent := c.ask(ctx, q.Request, members)
	if silent {
		q.addSilent(sourceDaemons)
	}
	if holder != "" {
		q.finding = c.daemonFinding(q.Request, holder)
		return c.Continue(q.Request)
	}
	allSeen := !c.record.HasStore() || len(q.silent) == 0 && !c.daemonsWereLost() && !c.Beginning(q.Service).Limited()
	found, ok := c.decide(q.Request, c.viewIsFresh() && allSeen)
	if ok {
		q.finding = c.viewFinding(q.Service)
	}
	return found, ok
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
	for _, m := range c.opt.Present() {
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
	if c.t.SetBlind(c.opt.Clock(), !fresh) {
		c.missed = true
	}
	return fresh
}

// ask asks daemons for the record of a stream, and adopts what they have seen. It returns the daemon that has the
// record, if any does. silent is set if one has not answered.
func (c *Controller) ask(ctx context.Context, r continuation.Request, members []membership.Member) (holder string, silent bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type answer struct {
		*streampb.FindResponse
		from string
	}
	answers := make(chan answer, len(members))
	req := &streampb.FindRequest{Key: r.Key[:], Service: r.Service}
	for _, m := range members {
		c.metrics.asked.Inc(1)
		go func() {
			resp, err := c.opt.Peer(m.PeerAddress).Find(ctx, req)
			if err != nil {
				resp = nil // the daemon counts as silent
			}
			answers <- answer{resp, m.ID}
		}()
	}
	for range members {
		resp := <-answers
		if resp.FindResponse == nil {
			silent = true
			continue
		}
		c.adopt(r.Service, resp.FindResponse)
		if resp.Stream != nil {
			return resp.from, silent
		}
	}
	return "", silent
}

// askRecord decides by the record in the store, read after the stream was taken up.
func (c *Controller) askRecord(ctx context.Context, q *question) (continuation.Constraint, bool) {
	if !c.record.HasStore() {
		return continuation.Constraint{}, false
	}
	if err := c.readSince(ctx, q.at); err != nil {
		q.addSilent(sourceRecord)
		c.logRecordError(err)
		return continuation.Constraint{}, false
	}
	// A daemon that does not answer may be one that has just ended, and a restored record lacks what it had seen.
	covered := len(q.silent) == 0 && !c.daemonsWereLost() || c.recordCovers(q.Service)
	found, ok := c.decide(q.Request, covered && c.viewIsFresh())
	if ok {
		q.finding = c.recordFinding(q.Service, sourceRecord)
	}
	return found, ok
}

// recordCovers reports whether the record names all versions that may have begun a stream which is still read.
func (c *Controller) recordCovers(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t.Covered(c.opt.Clock(), service)
}

// lastRead is the last read of something by any request. Requests that came before it began share its outcome, also a failure.
type lastRead struct {
	began time.Time
	err   error
}

// readSince reads the record, unless a read has begun after the given time.
func (c *Controller) readSince(ctx context.Context, at time.Time) error {
	if !c.lockRecord(ctx) {
		return ctx.Err()
	}
	defer c.unlockRecord()
	if c.reads.began.After(at) {
		return c.reads.err
	}
	now := c.opt.Clock()
	if wait := minReadInterval - c.record.SinceTried(now); wait > 0 {
		pause.For(ctx, wait)
		now = c.opt.Clock()
	}
	c.reads = lastRead{now, c.readRecord(context.WithoutCancel(ctx), now)}
	return c.reads.err
}

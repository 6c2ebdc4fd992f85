package quarantiner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
)

// runSend sends new records to the other daemons until ctx ends: the first at once and those that
// follow shortly after together, since an endpoint crashes during requests of many daemons.
func (c *Controller) runSend(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.pending:
		}
		c.mu.Lock()
		records, more := c.m.TakePending()
		c.mu.Unlock()
		if more {
			wake.Once(c.pending)
		}
		if len(records) > 0 {
			c.send(&quarantinepb.ExchangeRequest{Cases: toWire(c.opt.Clock(), records)})
		}
		pause.For(ctx, sendEvery)
	}
}

// others returns the other daemons in a random order.
func (c *Controller) others() []membership.Member {
	var list []membership.Member
	for _, m := range c.opt.Members() {
		if m.ID != c.opt.Self {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// send sends records to some other daemons concurrently.
func (c *Controller) send(req *quarantinepb.ExchangeRequest) {
	list := c.others()
	for _, m := range list[:min(fanout, len(list))] {
		go func() { _, _ = c.exchange(context.Background(), m, req) }() // the next comparison replaces lost messages
	}
}

// exchange makes one call and merges the records of the answer.
func (c *Controller) exchange(ctx context.Context, m membership.Member, req *quarantinepb.ExchangeRequest) (*quarantinepb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.metrics.messages.Inc(1)
	resp, err := c.opt.Peer(m.PeerAddress).Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	c.merge(fromWire(c.opt.Clock(), resp.Cases))
	return resp, nil
}

// merge merges records received from another daemon.
func (c *Controller) merge(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	c.step(func(now time.Time) {
		c.m.Merge(now, records)
		for i := range records {
			r := &records[i]
			c.m.MarkServedBefore(now, r.Fingerprint, func(crash quarantine.Crash) bool { return c.servedBefore(r.Fingerprint, r.Part, crash) })
			c.markServedOn(now, r.Fingerprint, r.Part)
		}
	})
	now := c.opt.Clock()
	for i := range records {
		for _, crash := range records[i].Crashes {
			if now.Sub(crash.At) < recentCrash {
				c.opt.OnCrash(crash.Incarnation)
			}
		}
	}
}

// sync asks other daemons for their records until one has answered that is synced itself, or the record in the
// store has been read, which is when no other daemon is synced.
func (c *Controller) sync(ctx context.Context) {
	defer func() {
		if c.informed {
			close(c.synced)
		}
	}()
	for ctx.Err() == nil && c.opt.Clock().Sub(c.started) < syncWithin {
		list := c.others()
		for _, m := range list[:min(fanout, len(list))] {
			resp, err := c.exchange(ctx, m, &quarantinepb.ExchangeRequest{Ask: true})
			if err == nil && resp.Settled {
				c.informed = true
				return
			}
		}
		now := c.opt.Clock()
		if !c.informed && c.record.Due(now) && (len(list) > 0 || now.Sub(c.started) >= joinTime) && c.readAtStart(ctx, now) {
			return
		}
		pause.For(ctx, syncPause)
	}
}

func (c *Controller) settled() bool {
	select {
	case <-c.synced:
		return true
	default:
		return false
	}
}

// comparePause returns the time between two comparisons; ok is false while there are no records.
func (c *Controller) comparePause(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.m.Len() == 0:
		return 0, false
	case now.Sub(c.changedAt) < spreadFor:
		return compareSoon, true
	}
	return compareLater, true
}

// compare synchronizes the records with those of another daemon.
func (c *Controller) compare(ctx context.Context) {
	list := c.others()
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	digest := c.m.Digest()
	c.mu.Unlock()
	resp, err := c.exchange(ctx, list[0], &quarantinepb.ExchangeRequest{Ask: true, Digest: digest})
	if err != nil || resp.Digest == digest {
		return // the next comparison is with another daemon
	}
	c.mu.Lock()
	req := &quarantinepb.ExchangeRequest{Digest: c.m.Digest()}
	if req.Digest != resp.Digest {
		req.Cases = toWire(c.opt.Clock(), c.m.Top())
	}
	c.mu.Unlock()
	if len(req.Cases) > 0 {
		_, _ = c.exchange(ctx, list[0], req) // the next comparison replaces a lost message
	}
}

// Exchange implements quarantinepb.Quarantine.
func (c *Controller) Exchange(_ context.Context, req *quarantinepb.ExchangeRequest) (*quarantinepb.ExchangeResponse, error) {
	c.merge(fromWire(c.opt.Clock(), req.Cases))
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &quarantinepb.ExchangeResponse{Digest: c.m.Digest(), Settled: c.settled()}
	if req.Ask && req.Digest != resp.Digest {
		resp.Cases = toWire(c.opt.Clock(), c.m.Top())
	}
	return resp, nil
}

// errNoRecord refuses a probe call without a valid record.
var errNoRecord = errors.New("no whole case to decide on")

// Trial implements quarantinepb.Quarantine.
func (c *Controller) Trial(_ context.Context, req *quarantinepb.TrialRequest) (*quarantinepb.TrialResponse, error) {
	records := fromWire(c.opt.Clock(), []*quarantinepb.Case{req.Case})
	if len(records) == 0 {
		return nil, errNoRecord
	}
	c.merge(records)
	granted, known := c.grant(records[0].Fingerprint, quarantine.Software(req.Software), req.Isolated)
	return &quarantinepb.TrialResponse{Granted: granted, Case: recordToWire(c.opt.Clock(), &known)}, nil
}

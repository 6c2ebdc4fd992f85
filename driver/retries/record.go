package retries

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
)

// A daemon that starts during a partition may see few daemons of many, and none that knows of the others. The number of
// daemons is therefore kept in one record of the store. One daemon writes it when the number that it remembers
// has changed; each daemon reads it once, at its start.

const (
	// recordName names the record in the store.
	recordName = "daemons"
	// listTimeout bounds reading the platform's list: an update of the share waits for it.
	listTimeout = 500 * time.Millisecond
	// maxReadPause bounds the pause between two attempts to read the record.
	maxReadPause = 10 * time.Second
)

// daemonsRecord is the object in the store.
type daemonsRecord struct {
	Daemons int `json:"daemons"` // the highest number remembered
}

// readAtStart reads the record if it is due, and tells the sharing what it holds.
func (c *Controller) readAtStart(ctx context.Context) {
	now := c.opt.Clock()
	if now.Before(c.readAt) {
		return
	}
	c.readPause = min(max(2*c.readPause, time.Second), maxReadPause)
	c.readAt = now.Add(c.readPause)
	if err := c.readRecord(ctx); err != nil {
		c.opt.Log.Info(decisions.EventDaemonsRecord, "read", false, "error", err)
		return
	}
	if c.opt.Listed != nil {
		c.readList(ctx)
	}
	c.informed = true
	c.opt.Log.Info(decisions.EventDaemonsRecord, "read", true, "daemons", c.recorded)
}

// readList reads the platform's list, which may be missing: the daemons know each other soon.
func (c *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	n, err := c.opt.Listed(ctx)
	if err != nil {
		c.opt.Log.Info(decisions.EventDaemonsRecord, "read", false, "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharing.InformAll(n)
}

func (c *Controller) readRecord(ctx context.Context) error {
	var rec daemonsRecord
	if err := c.record.Read(ctx, c.opt.Clock(), &rec); err != nil {
		return err
	}
	c.recorded = rec.Daemons
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharing.Inform(rec.Daemons)
	return nil
}

// syncRecord keeps the record up to date: before the first reading it reads it, and later it writes it if its
// content has changed and this daemon is the writer.
func (c *Controller) syncRecord(ctx context.Context) {
	if !c.record.HasStore() {
		return
	}
	if !c.informed {
		c.readAtStart(ctx)
		return
	}
	now := c.opt.Clock()
	c.mu.Lock()
	highest, joined := c.sharing.Highest(), c.sharing.Joined(now)
	c.mu.Unlock()
	if !joined || highest == c.recorded || !c.record.Due(now) || !c.record.IsWriter(c.opt.Self, membership.Eligible(c.opt.Members())) {
		return
	}
	var err error
	if c.record.Known() {
		var written bool
		if written, err = c.record.Write(ctx, now, daemonsRecord{highest}); written {
			c.recorded = highest
		}
	} else {
		err = c.readRecord(ctx)
	}
	if err != nil {
		c.opt.Log.Info(decisions.EventDaemonsRecord, "written", false, "daemons", highest, "error", err)
	}
}

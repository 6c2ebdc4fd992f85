package quarantiner

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
)

// The records in the memory of daemons are lost when all of them fail. The requests that are held
// back are therefore also kept in one record in the store. One daemon writes it when they change, a
// few times for each request. It is read by daemons that find no other one to ask as they start, and
// when an endpoint has crashed during a request and this daemon has not read the record yet.

const (
	// recordName is the name of the record in the store.
	recordName = "held-back"
	// maxClockError is subtracted from the time since the record was saved: the clocks of the daemons that
	// write and read it may each be a minute off, and a probe that comes early may crash an endpoint.
	maxClockError = 2 * time.Minute
)

// heldBackRecord is the object in the store.
type heldBackRecord struct {
	SavedUnixMs int64  `json:"saved_unix_ms"` // by the writer's wall clock; ages are as of then
	Records     []byte `json:"cases"`         // quarantinepb.ExchangeRequest
}

// readAtStart reads the record of what was held back before this daemon started, and reports whether it was read.
func (c *Controller) readAtStart(ctx context.Context, now time.Time) bool {
	if err := c.readRecord(ctx, now); err != nil {
		c.opt.Log.Info(decisions.EventQuarantineRecord, "read", false, "error", err)
		return false
	}
	c.informed = true
	return true
}

// becomeInformed reads the record if this daemon could not at its start: soon while requests wait for it. Otherwise one
// daemon reads it, and others receive what that one has read.
func (c *Controller) becomeInformed(ctx context.Context, now time.Time) {
	c.mu.Lock()
	waitingSince := c.waitingSince
	c.mu.Unlock()
	waited := !waitingSince.IsZero() && now.Sub(waitingSince) >= syncWithin
	due := c.record.Due(now)
	if !waitingSince.IsZero() && !waited {
		due = c.record.SinceTried(now) >= syncPause
	} else if !c.record.IsWriter(c.opt.Self, c.opt.Members()) {
		due = false
	}
	if due {
		c.readAtStart(ctx, now)
	}
	if (c.informed || waited) && !c.settled() {
		close(c.synced)
	}
}

// keepRecord reads or writes the record if that is due and this daemon is its writer.
func (c *Controller) keepRecord(ctx context.Context, now time.Time) {
	if !c.informed {
		c.becomeInformed(ctx, now)
	}
	if c.recordCount.Load() == 0 || !c.record.Due(now) || !c.record.IsWriter(c.opt.Self, c.opt.Members()) {
		return
	}
	held, known := c.heldRecords(), c.record.Known()
	if known && quarantine.DigestOf(held) == c.recorded {
		return
	}
	var err error
	if known {
		err = c.writeRecord(ctx, now, held)
	} else {
		err = c.readRecord(ctx, now)
	}
	if err != nil {
		c.opt.Log.Info(decisions.EventQuarantineRecord, "read", known, "held", len(held), "error", err)
	}
}

func (c *Controller) heldRecords() []quarantine.Record {
	var list []quarantine.Record
	for _, a := range *c.held.Load() {
		if len(list) < quarantine.MaxPerMessage {
			list = append(list, a.Record)
		}
	}
	return list
}

func (c *Controller) readRecord(ctx context.Context, now time.Time) error {
	var rec heldBackRecord
	if err := c.record.Read(ctx, now, &rec); err != nil {
		return err
	}
	if c.record.Version().Absent() {
		c.recorded = quarantine.DigestOf(nil)
		return nil
	}
	var received quarantinepb.ExchangeRequest
	if err := proto.Unmarshal(rec.Records, &received); err != nil {
		c.opt.Log.Warn(decisions.EventQuarantineRecord, "error", err, "bytes", len(rec.Records))
		received.Reset() // the next write replaces it
	}
	saved := max(0, time.Duration(time.Now().UnixMilli()-rec.SavedUnixMs)*time.Millisecond-maxClockError)
	records := fromWire(now.Add(-saved), received.Cases)
	c.recorded = quarantine.DigestOf(records)
	c.opt.Log.Info(decisions.EventQuarantineRecord, "read", true, "held", len(records), "saved_ms_ago", saved.Milliseconds())
	c.merge(records)
	return nil
}

func (c *Controller) writeRecord(ctx context.Context, now time.Time, held []quarantine.Record) error {
	raw, err := proto.Marshal(&quarantinepb.ExchangeRequest{Cases: toWire(now, held)})
	if err != nil {
		return err
	}
	written, err := c.record.Write(ctx, now, heldBackRecord{SavedUnixMs: time.Now().UnixMilli(), Records: raw})
	if written {
		c.recorded = quarantine.DigestOf(held)
		c.opt.Log.Info(decisions.EventQuarantineRecord, "written", true, "held", len(held), "version", c.record.Version())
	}
	return err
}

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
// few times for each request. It is read only when an endpoint has crashed during a request and
// this daemon has not read the record yet, so never while no endpoint crashes.

// recordName is the name of the record in the store.
const recordName = "held-back"

// heldBackRecord is the object in the store.
type heldBackRecord struct {
	SavedUnixMs int64  `json:"saved_unix_ms"` // by the writer's wall clock; ages are as of then
	Cases       []byte `json:"cases"`         // quarantinepb.ExchangeRequest
}

// keepRecord reads or writes the record if that is due and this daemon is its writer.
func (k *Controller) keepRecord(ctx context.Context, now time.Time) {
	if k.known.Load() == 0 || !k.record.Due(now) || !k.record.IsWriter(k.opt.Self, k.opt.Members()) {
		return
	}
	held, known := k.heldCases(), k.record.Known()
	if known && quarantine.DigestOf(held) == k.recorded {
		return
	}
	var err error
	if known {
		err = k.writeRecord(ctx, now, held)
	} else {
		err = k.readRecord(ctx, now)
	}
	if err != nil {
		k.opt.Log.Info(decisions.EventQuarantineRecord, "read", known, "held", len(held), "error", err)
	}
}

func (k *Controller) heldCases() []quarantine.Record {
	var list []quarantine.Record
	for _, s := range *k.held.Load() {
		if len(list) < quarantine.MaxPerMessage {
			list = append(list, s.Record)
		}
	}
	return list
}

func (k *Controller) readRecord(ctx context.Context, now time.Time) error {
	var rec heldBackRecord
	if err := k.record.Read(ctx, now, &rec); err != nil {
		return err
	}
	if k.record.Version().Absent() {
		k.recorded = quarantine.DigestOf(nil)
		return nil
	}
	var told quarantinepb.ExchangeRequest
	if err := proto.Unmarshal(rec.Cases, &told); err != nil {
		k.opt.Log.Warn(decisions.EventQuarantineRecord, "error", err, "bytes", len(rec.Cases))
		told.Reset() // the next write replaces it
	}
	saved := time.Duration(max(0, time.Now().UnixMilli()-rec.SavedUnixMs)) * time.Millisecond
	cases := fromWire(now.Add(-saved), told.Cases)
	k.recorded = quarantine.DigestOf(cases)
	k.opt.Log.Info(decisions.EventQuarantineRecord, "read", true, "held", len(cases), "saved_ms_ago", saved.Milliseconds())
	k.learn(cases)
	return nil
}

func (k *Controller) writeRecord(ctx context.Context, now time.Time, held []quarantine.Record) error {
	raw, err := proto.Marshal(&quarantinepb.ExchangeRequest{Cases: toWire(now, held)})
	if err != nil {
		return err
	}
	written, err := k.record.Write(ctx, now, heldBackRecord{SavedUnixMs: time.Now().UnixMilli(), Cases: raw})
	if written {
		k.recorded = quarantine.DigestOf(held)
		k.opt.Log.Info(decisions.EventQuarantineRecord, "written", true, "held", len(held), "version", k.record.Version())
	}
	return err
}

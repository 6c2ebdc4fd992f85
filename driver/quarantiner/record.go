package quarantiner

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
)

// What daemons know of each other's ends with the last of them. The requests that are held
// back stand in one record of the store as well, written by one daemon when they change, a
// few times for each request. It is read only when an endpoint has ended under a request
// and this daemon does not know of the record yet: never on a day on which none does.

// Store keeps the record.
type Store interface {
	// ReadHeldBack returns lease.ErrNotFound if there is none.
	ReadHeldBack(ctx context.Context, v any) (version uint64, err error)
	WriteHeldBack(ctx context.Context, expected uint64, record any) (version uint64, outcome protocol.WriteOutcome, err error)
}

const (
	// recordPause is the least time between two calls to the store.
	recordPause = time.Second
	// recordKey ranks the daemons that write the record.
	recordKey = "quarantine-record"
)

// heldBackRecord is the object in the store.
type heldBackRecord struct {
	SavedUnixMs int64  `json:"saved_unix_ms"` // by the writer's time of day; ages are as of then
	Cases       []byte `json:"cases"`         // quarantinepb.ExchangeRequest
}

// record is what this daemon knows of the record. Only Run uses it.
type record struct {
	read    bool
	version uint64
	digest  uint64 // of what the record holds
	triedAt time.Time
}

// keepRecord reads or writes the record, if that is due and this daemon's to do.
func (k *Keeper) keepRecord(ctx context.Context, now time.Time) {
	if k.opt.Store == nil || k.known.Load() == 0 || now.Sub(k.record.triedAt) < recordPause || !k.writesRecord() {
		return
	}
	held := k.heldCases()
	if k.record.read && quarantine.DigestOf(held) == k.record.digest {
		return
	}
	k.record.triedAt = now
	var err error
	if k.record.read {
		err = k.writeRecord(ctx, now, held)
	} else {
		err = k.readRecord(ctx, now)
	}
	if err != nil {
		k.opt.Log.Info(decisions.EventQuarantineRecord, "read", k.record.read, "held", len(held), "error", err)
	}
}

// writesRecord reports whether this daemon is the one that writes the record.
func (k *Keeper) writesRecord() bool {
	ranked := membership.Rendezvous(recordKey, k.opt.Members())
	return len(ranked) > 0 && ranked[0].ID == k.opt.Self
}

func (k *Keeper) heldCases() []quarantine.Case {
	var list []quarantine.Case
	for _, s := range *k.held.Load() {
		if len(list) < quarantine.MostTold {
			list = append(list, s.Case)
		}
	}
	return list
}

func (k *Keeper) readRecord(ctx context.Context, now time.Time) error {
	var rec heldBackRecord
	version, err := k.opt.Store.ReadHeldBack(ctx, &rec)
	if errors.Is(err, lease.ErrNotFound) {
		k.record.read, k.record.version, k.record.digest = true, 0, quarantine.DigestOf(nil)
		return nil
	}
	if err != nil {
		return err
	}
	var told quarantinepb.ExchangeRequest
	if err := proto.Unmarshal(rec.Cases, &told); err != nil {
		k.opt.Log.Warn(decisions.EventQuarantineRecord, "error", err, "bytes", len(rec.Cases))
		told.Reset() // the next write replaces it
	}
	saved := time.Duration(max(0, time.Now().UnixMilli()-rec.SavedUnixMs)) * time.Millisecond
	cases := fromWire(now.Add(-saved), told.Cases)
	k.record.read, k.record.version, k.record.digest = true, version, quarantine.DigestOf(cases)
	k.opt.Log.Info(decisions.EventQuarantineRecord, "read", true, "held", len(cases), "saved_ms_ago", saved.Milliseconds())
	k.learn(cases)
	return nil
}

func (k *Keeper) writeRecord(ctx context.Context, now time.Time, held []quarantine.Case) error {
	raw, err := proto.Marshal(&quarantinepb.ExchangeRequest{Cases: toWire(now, held)})
	if err != nil {
		return err
	}
	version, outcome, err := k.opt.Store.WriteHeldBack(ctx, k.record.version, heldBackRecord{SavedUnixMs: time.Now().UnixMilli(), Cases: raw})
	if outcome != protocol.WriteOK {
		k.record.read = false // another daemon has written, or may have
		return err
	}
	k.record.version, k.record.digest = version, quarantine.DigestOf(held)
	k.opt.Log.Info(decisions.EventQuarantineRecord, "written", true, "held", len(held), "version", version)
	return nil
}

package quotas

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// What daemons know of endpoints' limits ends with the last of them, and until an answer tells
// the first one again all would send as if there was none. So the limits stand in one record of
// the store as well: written by one daemon when one begins, ends or has changed by much, read by
// each daemon once, as it starts.

// Store keeps the record.
type Store interface {
	// ReadLimits returns lease.ErrNotFound if there is none.
	ReadLimits(ctx context.Context, v any) (version uint64, err error)
	WriteLimits(ctx context.Context, expected uint64, record any) (version uint64, outcome protocol.WriteOutcome, err error)
}

const (
	// recordPause is the least time between two calls to the store.
	recordPause = time.Second
	// recordTimeout bounds a call.
	recordTimeout = 300 * time.Millisecond
	// recordKey ranks the daemons that write the record.
	recordKey = "limits-record"
	// recordChange is by which part a limit has to change to be written again: who reads it
	// hears the true one with the first answer.
	recordChange = 0.25
	// recordMost bounds the limits of the record.
	recordMost = 1024
)

// limitsRecord is the object in the store.
type limitsRecord struct {
	Limits []recordedLimit `json:"limits"`
}

type recordedLimit struct {
	Endpoint string  `json:"endpoint"`
	Born     int64   `json:"born"`
	Rate     float64 `json:"rate"` // requests a second
	Version  uint64  `json:"version"`
}

// record is what this daemon knows of the record. Only Run uses it.
type record struct {
	known   bool // what the store holds
	version uint64
	holds   map[fleet.Incarnation]float64
	triedAt time.Time
}

// Settle waits until a daemon that has just started has read which limits there are, for a
// while.
func (e *Endpoints) Settle(ctx context.Context) {
	select {
	case <-e.settled:
	default:
		pause.Until(ctx, time.Now().Add(joinWithin-e.opt.Clock().Sub(e.shared.fleet.started)), e.settled)
	}
}

// readFirst reads the record as this daemon starts.
func (e *Endpoints) readFirst(ctx context.Context) {
	defer close(e.settled)
	for e.opt.Store != nil && ctx.Err() == nil && e.opt.Clock().Sub(e.shared.fleet.started) < joinWithin {
		err := e.readRecord(ctx)
		if err == nil {
			return
		}
		e.opt.Log.Info(decisions.EventLimitsRecord, "read", false, "error", err)
		pause.For(ctx, recordTimeout/3)
	}
}

// keepRecord writes the record, if that is due and this daemon's to do.
func (e *Endpoints) keepRecord(ctx context.Context) {
	now := e.opt.Clock()
	if e.opt.Store == nil || now.Sub(e.record.triedAt) < recordPause {
		return
	}
	limited := e.Limited()
	if e.record.known && !e.record.differs(limited) || !e.record.known && len(limited) == 0 || !e.writesRecord() {
		return
	}
	e.record.triedAt = now
	var err error
	if e.record.known {
		err = e.writeRecord(ctx, limited)
	} else {
		err = e.readRecord(ctx)
	}
	if err != nil {
		e.opt.Log.Info(decisions.EventLimitsRecord, "read", e.record.known, "limited", len(limited), "error", err)
	}
}

// differs reports whether the record should be written for some limits.
func (r *record) differs(limited map[fleet.Incarnation]limit.Word) bool {
	if len(limited) != len(r.holds) {
		return true
	}
	for life, w := range limited {
		held, ok := r.holds[life]
		if !ok || max(held-w.Rate, w.Rate-held) > recordChange*held {
			return true
		}
	}
	return false
}

// writesRecord reports whether this daemon is the one that writes the record.
func (e *Endpoints) writesRecord() bool {
	ranked := membership.Rendezvous(recordKey, e.opt.Members())
	return len(ranked) > 0 && ranked[0].ID == e.opt.Self
}

func (e *Endpoints) readRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var rec limitsRecord
	version, err := e.opt.Store.ReadLimits(ctx, &rec)
	if err != nil && !errors.Is(err, lease.ErrNotFound) {
		return err
	}
	e.record.known, e.record.version, e.record.holds = true, version, map[fleet.Incarnation]float64{}
	for _, l := range rec.Limits {
		life := fleet.Incarnation{ID: l.Endpoint, Born: l.Born}
		e.record.holds[life] = l.Rate
		e.learn(life, limit.Word{Rate: max(0, l.Rate), Limited: true, Version: l.Version, By: "record"})
	}
	if len(rec.Limits) > 0 {
		e.opt.Log.Info(decisions.EventLimitsRecord, "read", true, "limited", len(rec.Limits), "version", version)
	}
	return nil
}

func (e *Endpoints) writeRecord(ctx context.Context, limited map[fleet.Incarnation]limit.Word) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	holds := make(map[fleet.Incarnation]float64, len(limited))
	var rec limitsRecord
	for _, life := range slices.SortedFunc(maps.Keys(limited), func(a, b fleet.Incarnation) int { return cmp.Compare(a.ID, b.ID) }) {
		w := limited[life]
		holds[life] = w.Rate
		if len(rec.Limits) < recordMost {
			rec.Limits = append(rec.Limits, recordedLimit{life.ID, life.Born, w.Rate, w.Version})
		}
	}
	version, outcome, err := e.opt.Store.WriteLimits(ctx, e.record.version, rec)
	if outcome != protocol.WriteOK {
		e.record.known = false // another daemon has written, or may have
		return err
	}
	e.record.version, e.record.holds = version, holds
	e.opt.Log.Info(decisions.EventLimitsRecord, "written", true, "limited", len(limited), "version", version)
	return nil
}

package quotas

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Daemons hold the limits of endpoints in memory. If all daemons stopped, they would send without a
// limit after their start until the first answers report it again. The limits are therefore also
// kept in one record of the store. One daemon writes it when a limit begins, ends or changes
// considerably; each daemon reads it once, at its start.

const (
	// recordName names the record in the store.
	recordName = "limits"
	// readPause is the pause between two attempts to read the record at the start of this daemon, and while requests
	// wait for it; lateReadPause is the pause once they have waited in vain.
	readPause     = 100 * time.Millisecond
	lateReadPause = 10 * time.Second
	// recordChange is the relative change of a limit from which on it is written again. Smaller
	// changes need no write: a daemon that has read the record gets the current limit with the
	// endpoint's first answer.
	recordChange = 0.25
	// maxRecorded bounds the limits of the record.
	maxRecorded = 1024
)

// limitsRecord is the object in the store.
type limitsRecord struct {
	Limits []recordedLimit `json:"limits"`
}

type recordedLimit struct {
	Endpoint string  `json:"endpoint"`
	Born     int64   `json:"born"` // start of the endpoint's process, in Unix ms
	Rate     float64 `json:"rate"` // requests a second
	Version  uint64  `json:"version"`
}

// WaitSynced waits until this daemon has read the record of limits, at most until joinTimeout after the first
// request that waited for it. That one may come long after the start: while the store is away, no endpoint is known.
func (e *Endpoints) WaitSynced(ctx context.Context) {
	select {
	case <-e.synced:
		return
	default:
	}
	now := e.opt.Clock()
	e.mu.Lock()
	if e.waitingSince.IsZero() {
		e.waitingSince = now
	}
	remaining := joinTimeout - now.Sub(e.waitingSince)
	e.mu.Unlock()
	wake.Once(e.limitChanged)
	pause.Until(ctx, time.Now().Add(remaining), e.synced)
}

// readAtStart reads the record, and tries again until joinTimeout has passed since the start of
// this daemon. tryRead goes on afterwards.
func (e *Endpoints) readAtStart(ctx context.Context) {
	if !e.record.HasStore() {
		e.stopWaiters()
		return
	}
	for ctx.Err() == nil && !e.informed && e.opt.Clock().Sub(e.shared.roster.started) < joinTimeout {
		if e.tryRead(ctx); !e.informed {
			pause.For(ctx, readPause)
		}
	}
}

// tryRead reads the record if this daemon has not read it yet and an attempt is due: soon while requests
// wait for it.
func (e *Endpoints) tryRead(ctx context.Context) {
	e.mu.Lock()
	waitingSince := e.waitingSince
	e.mu.Unlock()
	now := e.opt.Clock()
	waited := !waitingSince.IsZero() && now.Sub(waitingSince) >= joinTimeout
	interval := readPause
	switch {
	case waited:
		e.stopWaiters()
		interval = lateReadPause
	case waitingSince.IsZero() && now.Sub(e.shared.roster.started) >= joinTimeout:
		interval = record.MinCallInterval
	}
	if !e.record.HasStore() || e.informed || e.record.SinceTried(now) < interval {
		return
	}
	err := e.readRecord(ctx)
	if err != nil {
		e.opt.Log.Info(decisions.EventLimitsRecord, "read", false, "error", err)
	}
	if e.informed = err == nil; e.informed {
		e.stopWaiters()
	}
}

// stopWaiters lets the requests go on that wait for the record.
func (e *Endpoints) stopWaiters() {
	select {
	case <-e.synced:
	default:
		close(e.synced)
	}
}

// syncRecord writes the record, if it is out of date and this daemon is its writer. If the content
// of the store is not known, as after a conflict or a restore, it reads the record first.
func (e *Endpoints) syncRecord(ctx context.Context) {
	if !e.record.Due(e.opt.Clock()) {
		return
	}
	limited, known := e.Limited(), e.record.Known()
	if known && !differs(e.recorded, limited) || !known && len(limited) == 0 || !e.record.IsWriter(e.opt.Self, e.opt.Members()) {
		return
	}
	var err error
	if known {
		err = e.writeRecord(ctx, limited)
	} else {
		err = e.readRecord(ctx)
	}
	if err != nil {
		e.opt.Log.Info(decisions.EventLimitsRecord, "read", known, "limited", len(limited), "error", err)
	}
}

// differs reports whether the limits in force differ from the recorded ones by enough to be
// written.
func differs(recorded map[fleet.Incarnation]float64, limited map[fleet.Incarnation]limit.Report) bool {
	if len(limited) != len(recorded) {
		return true
	}
	for incarnation, report := range limited {
		rate, ok := recorded[incarnation]
		if !ok || max(rate-report.Rate, report.Rate-rate) > recordChange*rate {
			return true
		}
	}
	return false
}

func (e *Endpoints) readRecord(ctx context.Context) error {
	var rec limitsRecord
	if err := e.record.Read(ctx, e.opt.Clock(), &rec); err != nil {
		return err
	}
	e.recorded = map[fleet.Incarnation]float64{}
	for _, l := range rec.Limits {
		incarnation := fleet.Incarnation{ID: l.Endpoint, StartUnixMs: l.Born}
		e.recorded[incarnation] = l.Rate
		e.receiveReport(incarnation, limit.Report{Rate: max(0, l.Rate), Limited: true, Version: l.Version, Reporter: recordName})
	}
	if len(rec.Limits) > 0 {
		e.opt.Log.Info(decisions.EventLimitsRecord, "read", true, "limited", len(rec.Limits), "version", e.record.Version())
	}
	return nil
}

func (e *Endpoints) writeRecord(ctx context.Context, limited map[fleet.Incarnation]limit.Report) error {
	recorded := make(map[fleet.Incarnation]float64, len(limited))
	var rec limitsRecord
	for _, incarnation := range slices.SortedFunc(maps.Keys(limited), func(a, b fleet.Incarnation) int { return cmp.Compare(a.ID, b.ID) }) {
		report := limited[incarnation]
		recorded[incarnation] = report.Rate
		if len(rec.Limits) < maxRecorded {
			rec.Limits = append(rec.Limits, recordedLimit{incarnation.ID, incarnation.StartUnixMs, report.Rate, report.Version})
		}
	}
	written, err := e.record.Write(ctx, e.opt.Clock(), rec)
	if written {
		e.recorded = recorded
		e.opt.Log.Info(decisions.EventLimitsRecord, "written", true, "limited", len(limited), "version", e.record.Version())
	}
	return err
}

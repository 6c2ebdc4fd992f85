package streams

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
)

// Which software ran in a service is lost when all daemons restart at the same time: none of them could
// then tell which version can have begun the streams that callers resume. It is therefore kept in one
// record in the store, and a version begins no stream before it is in the record. One daemon writes the
// record when the versions change, and the others read that it has.

// recordName is the name of the record in the store.
const recordName = "software-seen"

const (
	// writerHead is the time that the writer of the record has for a new version before the other daemons look for it.
	writerHead = 30 * time.Millisecond
	// takeOverAfter is the time after which any daemon writes a version that the writer has not written.
	takeOverAfter = 400 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between two attempts to record a version.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// minReadInterval bounds the reads of the record for streams whose origin is not known.
	minReadInterval = 50 * time.Millisecond
)

// seenRecord is the object in the store. Its times, in Unix milliseconds by the writer's wall clock, are for operators: clocks
// differ and jump, so no decision depends on them.
type seenRecord struct {
	// Generation is that of the store when the record was written. A store that was restored from a
	// copy since may have forgotten versions.
	Generation    uint64                   `json:"generation"`
	Writer        string                   `json:"writer,omitempty"`
	WrittenUnixMs int64                    `json:"written_unix_ms,omitempty"`
	Services      map[string]serviceRecord `json:"services"`
}

type serviceRecord struct {
	// SinceUnixMs is the start of the time that the record covers; zero: the first start of the system.
	SinceUnixMs int64           `json:"since_unix_ms"`
	Versions    []versionRecord `json:"versions"`
}

type versionRecord struct {
	Software string `json:"software"`
	// LastUnixMs is when it was last listed; zero while it is.
	LastUnixMs int64 `json:"last_unix_ms,omitempty"`
}

// runRecord keeps the record until ctx ends.
func (c *Controller) runRecord(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-c.wake:
			c.recordPending(ctx)
		case <-time.After(recordEvery):
			c.observeMembers()
			c.recordPending(ctx)
			c.keepRecord(ctx)
		case <-ctx.Done():
		}
	}
}

// keepRecord writes the record if this daemon is its writer and the versions have changed.
func (c *Controller) keepRecord(ctx context.Context) {
	now := c.opt.Clock()
	if !c.viewIsFresh() || !c.record.IsWriter(c.opt.Self, c.opt.Members()) || !c.lockRecord(ctx) {
		return // the next view may have other versions
	}
	defer c.unlockRecord()
	if c.record.Due(now) {
		c.logRecordError(c.writeRecord(ctx, now))
	}
}

// recordPending lets the versions that are listed and not in service enter service: it writes them, or
// reads that another daemon has written them.
func (c *Controller) recordPending(ctx context.Context) {
	began := c.opt.Clock()
	for pauseFor := minRetryPause; c.hasPending() && ctx.Err() == nil; pauseFor = min(2*pauseFor, maxRetryPause) {
		writes := c.record.IsWriter(c.opt.Self, c.opt.Members()) || c.opt.Clock().Sub(began) >= takeOverAfter
		if !writes {
			pause.For(ctx, writerHead)
		}
		if err := c.tryRecord(ctx, writes); err != nil {
			c.logRecordError(err)
			c.askInService(ctx)
		}
		if !c.hasPending() {
			return
		}
		pause.For(ctx, pauseFor)
	}
}

func (c *Controller) tryRecord(ctx context.Context, writes bool) error {
	if !c.lockRecord(ctx) {
		return nil
	}
	defer c.unlockRecord()
	now := c.opt.Clock()
	if !writes {
		return c.readRecord(ctx, now)
	}
	return c.writeRecord(ctx, now)
}

// askInService asks other daemons which versions are in service, for the time in which the store does not answer this one.
func (c *Controller) askInService(ctx context.Context) {
	c.mu.Lock()
	pending := c.t.Pending()
	c.mu.Unlock()
	members := c.ranked(continuation.Key{})
	for _, service := range pending {
		c.ask(ctx, continuation.Request{Service: service}, members[:min(askedFirst, len(members))])
	}
}

func (c *Controller) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.t.Pending()) > 0
}

// lockRecord reports whether it has taken the record, which it does unless ctx ends before.
func (c *Controller) lockRecord(ctx context.Context) bool {
	select {
	case c.recordBusy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Controller) unlockRecord() { <-c.recordBusy }

func (c *Controller) logRecordError(err error) {
	if err != nil {
		c.opt.Log.Info(decisions.EventSoftwareRecord, "error", err)
	}
}

// writeRecord writes what the record must hold, unless it does. It reads the record first if this daemon
// does not know it, or has missed versions that it may hold. The caller holds the record.
func (c *Controller) writeRecord(ctx context.Context, now time.Time) error {
	c.mu.Lock()
	missed := c.missed
	c.mu.Unlock()
	if missed || !c.record.Known() {
		if err := c.readRecord(ctx, now); err != nil {
			return err
		}
	}
	next := c.seenNow(now)
	next.Generation = c.record.Version().Generation
	if signature(next) == c.recorded {
		return nil
	}
	written, err := c.record.Write(ctx, now, next)
	if written {
		c.recorded = signature(next)
		c.opt.Log.Info(decisions.EventSoftwareRecord, "written", true, "services", len(next.Services))
		c.enterService(now, next)
	}
	return err
}

// readRecord reads the record and adopts what it says. The caller holds the record.
func (c *Controller) readRecord(ctx context.Context, now time.Time) error {
	var rec seenRecord
	if err := c.record.Read(ctx, now, &rec); err != nil {
		return err
	}
	c.recorded = signature(rec)
	c.opt.Log.Info(decisions.EventSoftwareRecord, "read", true, "services", len(rec.Services), "writer", rec.Writer, "age_ms", recordAgeMs(rec))
	c.mu.Lock()
	var mixed []string
	for service, s := range rec.Services {
		since, seen := fromRecord(now, s)
		if rec.Generation != c.record.Version().Generation {
			since = now // it does not cover the time since the copy
		}
		mixed = append(mixed, c.t.AdoptHistory(now, service, since, seen)...)
	}
	c.missed = false
	c.mu.Unlock()
	c.notifyMixed(mixed)
	if rec.Generation == c.record.Version().Generation {
		c.enterService(now, rec)
	}
	return nil
}

// recordAgeMs returns the age of a record by its writer's clock and this daemon's.
func recordAgeMs(rec seenRecord) int64 {
	if rec.WrittenUnixMs == 0 {
		return 0
	}
	return time.Now().UnixMilli() - rec.WrittenUnixMs
}

// enterService lets the versions of a stored record enter service.
func (c *Controller) enterService(now time.Time, rec seenRecord) {
	c.mu.Lock()
	var mixed []string
	for service, s := range rec.Services {
		_, seen := fromRecord(now, s)
		mixed = append(mixed, c.t.Recorded(now, service, seen)...)
	}
	c.publishBeginnings()
	c.mu.Unlock()
	c.notifyMixed(mixed)
}

// signature identifies the content of a record without its times and its writer.
func signature(rec seenRecord) string {
	var b strings.Builder
	fmt.Fprint(&b, rec.Generation)
	for _, service := range slices.Sorted(maps.Keys(rec.Services)) {
		s := rec.Services[service]
		fmt.Fprintf(&b, "\n%q %t", service, s.SinceUnixMs == 0)
		for _, v := range s.Versions {
			fmt.Fprintf(&b, " %q", v.Software)
		}
	}
	return b.String()
}

// seenNow returns what the record should say.
func (c *Controller) seenNow(now time.Time) seenRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := seenRecord{Writer: c.opt.Self, WrittenUnixMs: time.Now().UnixMilli(), Services: map[string]serviceRecord{}}
	for _, service := range c.t.Services() {
		since, seen := c.t.RecordOf(now, service)
		rec.Services[service] = toRecord(now, since, seen)
	}
	return rec
}

func toRecord(now, since time.Time, seen []continuation.Seen) serviceRecord {
	unix := func(t time.Time) int64 { return time.Now().UnixMilli() - now.Sub(t).Milliseconds() }
	s := serviceRecord{}
	if !since.IsZero() {
		s.SinceUnixMs = unix(since)
	}
	for _, v := range seen {
		r := versionRecord{Software: v.Software}
		if v.At.Before(now) {
			r.LastUnixMs = unix(v.At)
		}
		s.Versions = append(s.Versions, r)
	}
	slices.SortFunc(s.Versions, func(a, b versionRecord) int { return strings.Compare(a.Software, b.Software) })
	return s
}

// fromRecord decodes a service's part of the record. Each version may have been listed until now, and
// what is not covered from the first start on may not be covered at all: how long ago something was
// cannot be told by another daemon's clock.
func fromRecord(now time.Time, s serviceRecord) (since time.Time, seen []continuation.Seen) {
	if s.SinceUnixMs != 0 {
		since = now
	}
	for _, v := range s.Versions {
		seen = append(seen, continuation.Seen{Software: v.Software, At: now})
	}
	return since, seen
}

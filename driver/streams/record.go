package streams

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
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
	// readSpread is the time, for each daemon, over which the daemons look for a new version.
	readSpread = time.Millisecond
	// takeOverAfter is the time after which the next daemon writes a version that those before it have not written.
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
	// SinceUnixMs is not zero if the record does not cover the whole retention.
	SinceUnixMs int64           `json:"since_unix_ms"`
	Versions    []versionRecord `json:"versions"`
}

type versionRecord struct {
	Software string `json:"software"`
	// UnlistedUnixMs is when the record was written, if it was not listed then; zero if it was.
	UnlistedUnixMs int64 `json:"last_unix_ms,omitempty"`
}

// runRecord keeps the record until ctx ends.
func (c *Controller) runRecord(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-c.wake:
			c.recordPending(ctx)
		case <-time.After(recordEvery):
			c.observeMembers()
			c.keepRecord(ctx)
			c.recordPending(ctx)
		case <-ctx.Done():
		}
	}
}

// keepRecord writes the record if this daemon is its writer and the versions have changed, and reads it if
// this daemon has missed versions: until then it takes each service for one of several versions.
func (c *Controller) keepRecord(ctx context.Context) {
	now := c.opt.Clock()
	if !c.viewIsFresh() || !c.lockRecord(ctx) {
		return // the next view may have other versions
	}
	defer c.unlockRecord()
	c.confirm(now)
	switch {
	case !c.record.Due(now):
	case c.record.IsWriter(c.opt.Self, c.opt.Members()):
		c.logRecordError(c.writeRecord(ctx, now))
	case c.missedViews():
		c.logRecordError(c.readRecord(ctx, now))
	}
}

// confirm notes that a view is in force that this daemon relies on.
func (c *Controller) confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Confirm(now)
}

// missedViews reports whether this daemon has missed versions since it last read the record.
func (c *Controller) missedViews() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.missed
}

// recordPending lets the versions that are listed and not in service enter service: it writes them, or
// reads that another daemon has written them.
func (c *Controller) recordPending(ctx context.Context) {
	began := c.opt.Clock()
	for pauseFor := minRetryPause; c.hasPending() && ctx.Err() == nil; pauseFor = min(2*pauseFor, maxRetryPause) {
		members := c.opt.Members()
		rank := c.record.Rank(c.opt.Self, members)
		writes := rank >= 0 && c.opt.Clock().Sub(began) >= time.Duration(rank)*takeOverAfter
		if !writes {
			pause.For(ctx, writerHead+rand.N(1+readSpread*time.Duration(len(members))))
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
	members := c.holders(continuation.Key{})
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
	if c.missedViews() || !c.record.Known() {
		if err := c.readRecord(ctx, now); err != nil {
			return err
		}
	}
	next := c.seenNow(now)
	next.Generation = c.record.Version().Generation
	if signature(next) == c.recorded && !c.rewrite {
		c.enterService(next)
		return nil
	}
	written, err := c.record.Write(ctx, now, next)
	// A write without an answer may still be executed, unless another one changes the revision before.
	c.rewrite = !written
	if written {
		c.recorded = signature(next)
		c.opt.Log.Info(decisions.EventSoftwareRecord, "written", true, "services", len(next.Services), "writer", next.Writer, "versions", next.versions())
		c.setRecordInfo(next)
		c.enterService(next)
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
	c.opt.Log.Info(decisions.EventSoftwareRecord, "read", true, "services", len(rec.Services), "writer", rec.Writer, "age_ms", ageMs(rec.WrittenUnixMs), "versions", rec.versions())
	c.setRecordInfo(rec)
	version := c.record.Version()
	if !c.recordRead {
		c.recordRead, c.firstGeneration = true, version.Generation
	}
	// A record that is missing at the first start has not been written yet, unless the store was restored since this daemon's first read.
	neverWritten := c.opt.FirstStart && version.Absent() && version.Generation == c.firstGeneration
	current := rec.Generation == version.Generation || neverWritten
	daemonsLost := c.daemonsWereLost()
	c.mu.Lock()
	for service, s := range rec.Services {
		since := time.Time{}
		if s.SinceUnixMs != 0 || !current {
			since = now // how much it covers cannot be told by another daemon's clock, and nothing since the copy
		}
		c.t.AdoptHistory(service, since, nil)
	}
	for _, service := range c.t.Services() {
		if !current || rec.Services[service].SinceUnixMs != 0 {
			c.t.NoteUncovered(now, service, daemonsLost)
		}
	}
	c.missed = false
	c.mu.Unlock()
	c.adoptRecord(rec, current)
	return nil
}

// enterService lets the versions of the stored record enter service.
func (c *Controller) enterService(rec seenRecord) { c.adoptRecord(rec, true) }

// adoptRecord adopts the versions of a record. One from before a restore of the store does not let them enter service.
func (c *Controller) adoptRecord(rec seenRecord, current bool) {
	now := c.opt.Clock()
	c.mu.Lock()
	var mixed []string
	for service, s := range rec.Services {
		list := fromRecord(s)
		if current {
			mixed = append(mixed, c.t.Recorded(now, service, list)...)
			continue
		}
		for _, v := range list {
			c.t.AdoptHistory(service, now, []continuation.Seen{{Software: v.Software, At: now}})
		}
	}
	c.publishBeginnings()
	c.mu.Unlock()
	c.notifyMixed(mixed)
}

// versions lists the versions in the record, for the log.
func (rec seenRecord) versions() (list []string) {
	for _, service := range slices.Sorted(maps.Keys(rec.Services)) {
		for _, v := range rec.Services[service].Versions {
			list = append(list, service+"@"+v.Software)
		}
	}
	return list
}

// signature identifies the content of a record without its times and its writer.
func signature(rec seenRecord) string {
	var b strings.Builder
	fmt.Fprint(&b, rec.Generation)
	for _, service := range slices.Sorted(maps.Keys(rec.Services)) {
		s := rec.Services[service]
		fmt.Fprintf(&b, "\n%q %t", service, s.SinceUnixMs == 0)
		for _, v := range s.Versions {
			fmt.Fprintf(&b, " %q %t", v.Software, v.UnlistedUnixMs == 0)
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
		since, list := c.t.RecordOf(now, service)
		rec.Services[service] = toRecord(since, list)
	}
	return rec
}

func toRecord(since time.Time, list []continuation.RecordedVersion) serviceRecord {
	unix := time.Now().UnixMilli()
	s := serviceRecord{}
	if !since.IsZero() {
		s.SinceUnixMs = unix
	}
	for _, v := range list {
		r := versionRecord{Software: v.Software}
		if !v.Listed {
			r.UnlistedUnixMs = unix
		}
		s.Versions = append(s.Versions, r)
	}
	return s
}

func fromRecord(s serviceRecord) (list []continuation.RecordedVersion) {
	for _, v := range s.Versions {
		list = append(list, continuation.RecordedVersion{Software: v.Software, Listed: v.UnlistedUnixMs == 0})
	}
	return list
}

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
// then tell whether one version can have begun the streams that callers resume. It is therefore also
// kept in one record in the store. One daemon writes it when the versions change, a few times in a
// rollout. It is read by its writer, and by a daemon that cannot decide on a stream otherwise.

// recordName is the name of the record in the store.
const recordName = "software-seen"

// seenRecord is the object in the store. Times are in Unix milliseconds by the writer's wall clock.
type seenRecord struct {
	// Generation is that of the store when the record was written. A store that was restored from a
	// copy since may have forgotten versions.
	Generation uint64                   `json:"generation"`
	Services   map[string]serviceRecord `json:"services"`
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
		pause.For(ctx, recordEvery)
		if !c.viewIsFresh() {
			continue // the next view may have other versions
		}
		select {
		case c.recordBusy <- struct{}{}:
		case <-ctx.Done():
			return
		}
		err := c.keepRecord(ctx, c.opt.Clock())
		<-c.recordBusy
		if err != nil {
			c.opt.Log.Info(decisions.EventSoftwareRecord, "error", err)
		}
	}
}

// keepRecord writes the record if this daemon is its writer and the versions have changed. It reads it
// first if this daemon does not know it.
func (c *Controller) keepRecord(ctx context.Context, now time.Time) error {
	if !c.record.Due(now) || !c.record.IsWriter(c.opt.Self, c.opt.Members()) {
		return nil
	}
	if !c.record.Known() {
		return c.readRecord(ctx, now)
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
	}
	return err
}

// readRecord reads the record and adopts what it says. The caller holds
// recordBusy.
func (c *Controller) readRecord(ctx context.Context, now time.Time) error {
	var rec seenRecord
	if err := c.record.Read(ctx, now, &rec); err != nil {
		return err
	}
	c.recorded = signature(rec)
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, s := range rec.Services {
		since, seen := fromRecord(now, s)
		if rec.Generation != c.record.Version().Generation {
			since = now // it does not cover the time since the copy
		}
		c.t.AdoptHistory(service, since, seen)
	}
	return nil
}

// signature identifies the content of a record without its times.
func signature(rec seenRecord) string {
	var b strings.Builder
	fmt.Fprint(&b, rec.Generation)
	for _, service := range slices.Sorted(maps.Keys(rec.Services)) {
		s := rec.Services[service]
		fmt.Fprintf(&b, "\n%q %t", service, s.SinceUnixMs == 0)
		for _, v := range s.Versions {
			fmt.Fprintf(&b, " %q %t", v.Software, v.LastUnixMs == 0)
		}
	}
	return b.String()
}

// seenNow returns what the record should say.
func (c *Controller) seenNow(now time.Time) seenRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := seenRecord{Services: map[string]serviceRecord{}}
	for _, service := range c.t.Services() {
		since, seen := c.t.History(now, service)
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

// fromRecord decodes a service's part of the record. A version that was listed when the record was
// written may have been listed until now.
func fromRecord(now time.Time, s serviceRecord) (since time.Time, seen []continuation.Seen) {
	at := func(unixMs int64) time.Time {
		return now.Add(-max(0, time.Duration(time.Now().UnixMilli()-unixMs)*time.Millisecond))
	}
	if s.SinceUnixMs != 0 {
		since = at(s.SinceUnixMs)
	}
	for _, v := range s.Versions {
		listed := continuation.Seen{Software: v.Software, At: now}
		if v.LastUnixMs != 0 {
			listed.At = at(v.LastUnixMs)
		}
		seen = append(seen, listed)
	}
	return since, seen
}

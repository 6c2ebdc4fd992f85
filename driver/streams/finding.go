package streams

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/continuation"
)

// Sources of the origin of a stream, as the log names them.
const (
	sourceOwn     = "own record"
	sourceView    = "versions seen"
	sourceDaemons = "daemons"
	sourceRecord  = "record of software seen"
	sourceStored  = "stored origins"
)

// Finding says what decided about a stream that a caller resumes. It is for operators.
type Finding struct {
	Source   string   // what decided; empty for a stream that is refused
	Writer   string   // daemon that wrote the record which decided, or that has it
	AgeMs    int64    // of the record, between the wall clocks of writer and reader unless it is in memory
	Versions []string // that can have begun a stream of the service, if the origin was decided by them or not found
	Silent   []string // sources that have not answered
}

// Fields returns the fields of a log line.
func (f Finding) Fields() []any {
	var fields []any
	if f.Source != "" {
		fields = append(fields, "source", f.Source)
	}
	if f.Writer != "" {
		fields = append(fields, "record_writer", f.Writer, "record_age_ms", f.AgeMs)
	}
	if len(f.Versions) > 0 {
		fields = append(fields, "versions", f.Versions)
	}
	if len(f.Silent) > 0 {
		fields = append(fields, "silent", f.Silent)
	}
	return fields
}

// ageMs returns the age of an object in the store by its writer's wall clock and this daemon's; zero if it names no time.
func ageMs(writtenUnixMs int64) int64 {
	if writtenUnixMs == 0 {
		return 0
	}
	return time.Now().UnixMilli() - writtenUnixMs
}

// setRecordInfo notes who wrote the record of software that this daemon knows, and when.
func (c *Controller) setRecordInfo(rec seenRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordWriter, c.recordUnixMs = rec.Writer, rec.WrittenUnixMs
}

// ownFinding is for a stream whose record this daemon has, or whose stored origin it has read before.
func (c *Controller) ownFinding(r continuation.Request) Finding {
	c.mu.Lock()
	rec, ok := c.t.Lookup(r.Key)
	c.mu.Unlock()
	if !ok {
		return c.storedFinding(r)
	}
	return Finding{Source: sourceOwn, Writer: c.opt.Self, AgeMs: c.opt.Clock().Sub(rec.At).Milliseconds()}
}

// daemonFinding is for a stream whose record another daemon has.
func (c *Controller) daemonFinding(r continuation.Request, holder string) Finding {
	f := c.ownFinding(r)
	f.Source, f.Writer = sourceDaemons, holder
	return f
}

// storedFinding is for a stream whose origin was read from the store.
func (c *Controller) storedFinding(r continuation.Request) Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := Finding{Source: sourceStored}
	if o := c.t.StoredBy(r.Fingerprint()); o != nil {
		f.Writer, f.AgeMs = o.Writer, ageMs(o.WrittenUnixMs)
	}
	return f
}

// viewFinding is for a stream that only one of the versions seen can have begun.
func (c *Controller) viewFinding(service string) Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Finding{Source: sourceView, Versions: c.t.Versions(c.opt.Clock(), service)}
}

// recordFinding names the record of software, and the versions that count with it.
func (c *Controller) recordFinding(service, source string) Finding {
	f := c.viewFinding(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	f.Source, f.Writer, f.AgeMs = source, c.recordWriter, ageMs(c.recordUnixMs)
	return f
}

// notFound is for a stream whose origin nobody has told.
func (c *Controller) notFound(q *question) Finding {
	f := c.recordFinding(q.Service, "")
	f.Silent = q.silent
	return f
}

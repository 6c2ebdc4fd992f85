package continuation

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// Fingerprint identifies a begun stream, with its service, workspace and unit, in few bytes.
type Fingerprint [12]byte

func fingerprint(key Key, service, workspace, unit string) Fingerprint {
	sum := sha256.Sum256(fmt.Appendf(key[:], "%q%q%q", service, workspace, unit))
	return Fingerprint(sum[:])
}

// Fingerprint returns the fingerprint of the stream that the request continues.
func (r Request) Fingerprint() Fingerprint {
	return fingerprint(r.Key, r.Service, r.Workspace, r.Unit)
}

// Stored is what outlasts all daemons of begun streams: by the software that began them.
type Stored map[string][]Fingerprint

// isWanted reports whether the caller of a stream may still take it up.
func (r Record) isWanted(now time.Time) bool { return r.Until.IsZero() || now.Before(r.Until) }

// Len returns the number of streams.
func (s Stored) Len() (n int) {
	for _, list := range s {
		n += len(list)
	}
	return n
}

// SetStored sets whether this daemon keeps streams in its object in the store. At first it keeps those that began here.
func (t *Table) SetStored(keys []Key, stored bool) {
	for _, k := range keys {
		if e := t.records[k]; e != nil {
			e.stored = stored
		}
	}
}

// OwnStored returns the streams that this daemon keeps in its object and that may still be taken up, of services that run
// more than one version. Those whose endpoint reports no version are left out: the version alone does not tell where
// they continue.
func (t *Table) OwnStored(now time.Time) Stored {
	list := Stored{}
	mixed := map[string]bool{}
	for service := range t.services {
		mixed[service] = t.Mixed(now, service)
	}
	for _, e := range t.records {
		o := e.Origin
		if e.stored && o.Software != "" && now.Sub(e.At) < t.retention && e.isWanted(now) && mixed[o.Service] && t.isCertain(e.Record) {
			list[o.Software] = append(list[o.Software], e.print)
		}
	}
	return list
}

// StoredObject is what one daemon has stored of its begun streams.
type StoredObject struct {
	Writer        string // that daemon
	WrittenUnixMs int64  // by its wall clock; for operators, no decision depends on it
	Streams       Stored
}

// storedOrigin is the software that began a stream, and who has stored it.
type storedOrigin struct {
	software string // empty: two daemons have stored different software
	object   *StoredObject
}

// ReplaceStored sets what was read of all daemons' begun streams. A stream in two of them with
// different software counts as unknown.
func (t *Table) ReplaceStored(now time.Time, all []*StoredObject) {
	t.stored, t.storedAt = map[Fingerprint]storedOrigin{}, now
	for _, o := range all {
		t.AddStored(now, o)
	}
}

// AddStored adds begun streams.
func (t *Table) AddStored(now time.Time, o *StoredObject) {
	if len(t.stored) == 0 {
		t.storedAt = now
	}
	for software, list := range o.Streams {
		for _, f := range list {
			if have, ok := t.stored[f]; ok && have.software != software {
				t.stored[f] = storedOrigin{}
				continue
			}
			t.stored[f] = storedOrigin{software, o}
		}
	}
}

// StoredSoftware returns the software that began a stream; empty if it is not known.
func (t *Table) StoredSoftware(f Fingerprint) string { return t.stored[f].software }

// StoredBy returns the object that has a stream; nil if there is none.
func (t *Table) StoredBy(f Fingerprint) *StoredObject { return t.stored[f].object }

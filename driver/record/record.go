// Package record reads and writes one object of the store that outlasts all daemons. One daemon
// writes the object when its content changes, and daemons that have no state yet read it. Each write
// is conditional, so two daemons that both act as the writer cause a conflict and lose nothing.
package record

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Store stores records by name.
type Store interface {
	// ReadRecord decodes a record into v. If there is none, it returns lease.ErrNotFound and a
	// version with the store's generation.
	ReadRecord(ctx context.Context, name string, v any) (version storeversion.Version, err error)
	// WriteRecord writes a record if its stored version is still expected. An absent expected
	// version means that the record must not exist.
	WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (version storeversion.Version, outcome protocol.WriteOutcome, err error)
}

// MinCallInterval is the minimum time between two calls to the store for a record.
const MinCallInterval = time.Second

// timeout bounds a call to the store.
const timeout = 300 * time.Millisecond

// Record is this daemon's view of one record. It is not safe for concurrent use.
type Record struct {
	store       Store
	generations *generations.Tracker
	name        string
	known       bool // whether version is that of the stored record, as far as this daemon knows
	version     storeversion.Version
	triedAt     time.Time
}

// New returns a record that has not been read. A nil store is valid; Due then never reports true.
func New(store Store, tracker *generations.Tracker, name string) Record {
	return Record{store: store, generations: tracker, name: name}
}

// HasStore reports whether the record has a store.
func (r *Record) HasStore() bool { return r.store != nil }

// Due reports whether there is a store and the last call was at least MinCallInterval ago.
func (r *Record) Due(now time.Time) bool {
	return r.store != nil && now.Sub(r.triedAt) >= MinCallInterval
}

// SinceTried returns the time since the last call to the store.
func (r *Record) SinceTried(now time.Time) time.Duration { return now.Sub(r.triedAt) }

// Known reports whether this daemon knows the version of the stored record. It does not if the
// store has been restored from a copy since.
func (r *Record) Known() bool { return r.known && !r.generations.Outdated(r.version) }

// Version returns the last known version of the stored record; it is absent if there is no record.
func (r *Record) Version() storeversion.Version { return r.version }

// Rank returns the place of the daemon self among all members in the order in which they write the record; the writer has 0.
func (r *Record) Rank(self string, members []membership.Member) int {
	ranked := membership.Rendezvous(r.name+"-record", members)
	return slices.IndexFunc(ranked, func(m membership.Member) bool { return m.ID == self })
}

// IsWriter reports whether the daemon self is the one of all members that writes the record.
func (r *Record) IsWriter(self string, members []membership.Member) bool {
	return r.Rank(self, members) == 0
}

// Read decodes the record into v. If there is no record, Read returns nil and leaves v unchanged.
func (r *Record) Read(ctx context.Context, now time.Time, v any) error {
	r.triedAt = now
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	version, err := r.store.ReadRecord(ctx, r.name, v)
	if err != nil && !errors.Is(err, lease.ErrNotFound) {
		return err
	}
	r.generations.Observe(version.Generation, "record")
	r.known, r.version = true, version
	return nil
}

// Write replaces the record by v if Known reports true, and reports whether the record was
// replaced. If not, the record must be read again before the next write.
func (r *Record) Write(ctx context.Context, now time.Time, v any) (written bool, err error) {
	if !r.Known() {
		return false, nil
	}
	r.triedAt = now
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	version, outcome, err := r.store.WriteRecord(ctx, r.name, r.version, v)
	if outcome != protocol.WriteOK || version.Generation != r.version.Generation {
		r.known = false // another daemon has or may have written the record, or the store was restored
		return false, err
	}
	r.version = version
	return true, nil
}

// Package record keeps one object of the store that outlasts all daemons: one daemon writes it
// when what it tells has changed, and it is read by those that know nothing yet. Each write is
// conditional, so that two daemons that both take themselves for the writer cost a conflict.
package record

import (
	"context"
	"errors"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Store keeps records by name.
type Store interface {
	// ReadRecord decodes a record into v; it returns lease.ErrNotFound, with the store's
	// generation, if there is none.
	ReadRecord(ctx context.Context, name string, v any) (version storeversion.Version, err error)
	// WriteRecord writes a record if its version is still expected; an absent one means that it
	// must not exist.
	WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (version storeversion.Version, outcome protocol.WriteOutcome, err error)
}

// Pause is the least time between two calls to the store.
const MinCallInterval = time.Second

// timeout bounds a call.
const timeout = 300 * time.Millisecond

// Record is what this daemon knows of one record. It is not safe for concurrent use.
type Record struct {
	store       Store
	generations *generations.Tracker
	name        string
	known       bool // what the store held at version
	version     storeversion.Version
	triedAt     time.Time
}

// New returns a record that has not been read; a nil store keeps nothing.
func New(store Store, heard *generations.Tracker, name string) Record {
	return Record{store: store, generations: heard, name: name}
}

// Kept reports whether there is a store to keep it.
func (r *Record) HasStore() bool { return r.store != nil }

// Due reports whether the last call is long enough ago for the next one.
func (r *Record) Due(now time.Time) bool {
	return r.store != nil && now.Sub(r.triedAt) >= MinCallInterval
}

// Known reports whether this daemon knows what the store holds: not where the store has come back
// from a copy since.
func (r *Record) Known() bool { return r.known && !r.generations.Outdated(r.version) }

// Version returns that of what the store holds, an absent one if that is nothing.
func (r *Record) Version() storeversion.Version { return r.version }

// IsWriter reports whether this daemon, of all members, is the one that writes the record.
func (r *Record) IsWriter(self string, members []membership.Member) bool {
	ranked := membership.Rendezvous(r.name+"-record", members)
	return len(ranked) > 0 && ranked[0].ID == self
}

// Read decodes the record into v, which stays as it is if there is none.
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

// Write replaces the record by v, and reports whether it has. If it has not, what the store holds
// is not known any more.
func (r *Record) Write(ctx context.Context, now time.Time, v any) (written bool, err error) {
	if !r.Known() {
		return false, nil
	}
	r.triedAt = now
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	version, outcome, err := r.store.WriteRecord(ctx, r.name, r.version, v)
	if outcome != protocol.WriteOK || version.Generation != r.version.Generation {
		r.known = false // another daemon has written, or may have, or the store has been restored
		return false, err
	}
	r.version = version
	return true, nil
}

// Package record is a stand-in for a store of records, in memory.
package record

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Store keeps one record. It is safe for concurrent use.
type Store struct {
	// Takes is the time that each call takes.
	Latency time.Duration

	mu      sync.Mutex
	raw     []byte
	version storeversion.Version
	calls   int
}

// Copy is what a Store can be restored from.
type Backup struct {
	raw     []byte
	version storeversion.Version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// CopyNow returns what the store can be restored from later.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.raw, s.version}
}

// Restore brings the store back from a copy, as its next generation.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.version = c.raw, storeversion.Version{Generation: s.version.Generation + 1, Revision: c.version.Revision}
}

// Generation returns the store's.
func (s *Store) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Generation
}

// ReadRecord returns the record, whatever its name.
func (s *Store) ReadRecord(_ context.Context, _ string, v any) (storeversion.Version, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.version.Absent() {
		return s.version, lease.ErrNotFound
	}
	return s.version, json.Unmarshal(s.raw, v)
}

// WriteRecord replaces the record if its revision is the one expected.
func (s *Store) WriteRecord(_ context.Context, _ string, expected storeversion.Version, v any) (storeversion.Version, protocol.WriteOutcome, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if expected.Revision != s.version.Revision {
		return s.version.WithRevision(0), protocol.WriteConflict, nil
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return s.version.WithRevision(0), protocol.WriteUnknown, err
	}
	s.raw, s.version = raw, s.version.WithRevision(s.version.Revision+1)
	return s.version, protocol.WriteOK, nil
}

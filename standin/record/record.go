// Package record is a stand-in for the store of records: a single record in memory.
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

// Store holds one record. The zero value is an empty store of generation 0. It
// is safe for concurrent use.
type Store struct {
	// Latency is the time that each call takes. It must not be changed during calls.
	Latency time.Duration

	mu      sync.Mutex
	raw     []byte
	version storeversion.Version
	calls   int
	away    bool
}

// SetAway sets whether calls fail.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Backup is a copy of the record that Restore accepts.
type Backup struct {
	raw     []byte
	version storeversion.Version
}

// Calls returns the number of reads and writes so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Backup returns a copy of the record for Restore.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.raw, s.version}
}

// Restore replaces the record by that of a backup and begins the store's next generation.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.version = c.raw, storeversion.Version{Generation: s.version.Generation + 1, Revision: c.version.Revision}
}

// Generation returns the store's generation, which is the number of restores so far.
func (s *Store) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Generation
}

// ReadRecord decodes the record into v and returns its version. The name is
// ignored. If nothing has been written yet, it returns lease.ErrNotFound.
func (s *Store) ReadRecord(_ context.Context, _ string, v any) (storeversion.Version, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return storeversion.Version{}, ErrAway
	}
	if s.version.Absent() {
		return s.version, lease.ErrNotFound
	}
	return s.version, json.Unmarshal(s.raw, v)
}

// WriteRecord replaces the record if its revision is the expected one, and
// reports a conflict otherwise. The name is ignored.
func (s *Store) WriteRecord(_ context.Context, _ string, expected storeversion.Version, v any) (storeversion.Version, protocol.WriteOutcome, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return storeversion.Version{}, protocol.WriteUnknown, ErrAway
	}
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

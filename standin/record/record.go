// Package record is a stand-in for a store of records, in memory.
package record

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/protocol"
)

// Store keeps one record. It is safe for concurrent use.
type Store struct {
	// Takes is the time that each call takes.
	Takes time.Duration

	mu      sync.Mutex
	raw     []byte
	version uint64
	calls   int
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ReadRecord returns the record, whatever its name.
func (s *Store) ReadRecord(_ context.Context, _ string, v any) (uint64, error) {
	time.Sleep(s.Takes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.version == 0 {
		return 0, lease.ErrNotFound
	}
	return s.version, json.Unmarshal(s.raw, v)
}

// WriteRecord replaces the record if its version is the one expected.
func (s *Store) WriteRecord(_ context.Context, _ string, expected uint64, v any) (uint64, protocol.WriteOutcome, error) {
	time.Sleep(s.Takes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if expected != s.version {
		return 0, protocol.WriteConflict, nil
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return 0, protocol.WriteUnknown, err
	}
	s.raw, s.version = raw, s.version+1
	return s.version, protocol.WriteOK, nil
}

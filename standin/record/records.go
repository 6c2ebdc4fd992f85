package record

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// ErrAway is the error of a call to records that are away.
var ErrAway = errors.New("the store does not answer")

// Records holds named records. The zero value is empty. It is safe for concurrent use.
type Records struct {
	// Latency is the time that each call takes. It must not be changed during calls.
	Latency time.Duration

	mu       sync.Mutex
	away     bool
	items    map[string]stored
	revision uint64
	calls    int
}

type stored struct {
	raw      []byte
	revision uint64
}

// SetAway sets whether calls fail.
func (r *Records) SetAway(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = away
}

// Calls returns the number of calls so far.
func (r *Records) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Len returns the number of records.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.items)
}

// begin begins a call. The caller must unlock mu unless it fails.
func (r *Records) begin() error {
	time.Sleep(r.Latency)
	r.mu.Lock()
	r.calls++
	if r.away {
		r.mu.Unlock()
		return ErrAway
	}
	return nil
}

// ReadRecord decodes the named record into v and returns its version.
func (r *Records) ReadRecord(_ context.Context, name string, v any) (storeversion.Version, error) {
	if err := r.begin(); err != nil {
		return storeversion.Version{}, err
	}
	defer r.mu.Unlock()
	item, ok := r.items[name]
	if !ok {
		return storeversion.Version{}, lease.ErrNotFound
	}
	return storeversion.Version{Revision: item.revision}, json.Unmarshal(item.raw, v)
}

// WriteRecord replaces the named record if its revision is the expected one, and reports a conflict otherwise.
func (r *Records) WriteRecord(_ context.Context, name string, expected storeversion.Version, v any) (storeversion.Version, protocol.WriteOutcome, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	if err := r.begin(); err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	defer r.mu.Unlock()
	if r.items[name].revision != expected.Revision {
		return storeversion.Version{}, protocol.WriteConflict, nil
	}
	if r.items == nil {
		r.items = map[string]stored{}
	}
	r.revision++
	r.items[name] = stored{raw, r.revision}
	return storeversion.Version{Revision: r.revision}, protocol.WriteOK, nil
}

// ListRecords passes the name and content of each record to use.
func (r *Records) ListRecords(_ context.Context, use func(name string, content json.RawMessage)) error {
	if err := r.begin(); err != nil {
		return err
	}
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.items)) {
		use(name, r.items[name].raw)
	}
	return nil
}

// DeleteRecord removes the named record, if there is one.
func (r *Records) DeleteRecord(_ context.Context, name string) error {
	if err := r.begin(); err != nil {
		return err
	}
	defer r.mu.Unlock()
	delete(r.items, name)
	return nil
}

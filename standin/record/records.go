package record

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Errors of calls under faults.
var (
	ErrAway     = errors.New("the store does not answer")
	ErrRejected = errors.New("the store rejects calls by their rate")
	ErrLost     = errors.New("the answer of the store is lost")
)

// Records holds named records. The zero value is empty and of generation 0. It is safe for concurrent use.
type Records struct {
	// Latency is the time that each call takes. It must not be changed during calls.
	Latency time.Duration

	mu         sync.Mutex
	faults     Faults
	items      map[string]stored
	revision   uint64
	generation uint64
	calls      int
}

type stored struct {
	raw      []byte
	revision uint64
}

// Faults are the faults of a store. Shares are between 0 and 1.
type Faults struct {
	// Away lets all calls fail without effect.
	Away bool
	// Slow is added to the time of each call. A call takes effect after half of its time, also if its caller
	// has given it up meanwhile.
	Slow time.Duration
	// Rejected is the share of calls that fail without effect.
	Rejected float64
	// Lost is the share of writes that take effect and are not answered.
	Lost float64
	// Late is the share of writes that are not answered, and take effect up to LateBy later if their condition
	// holds then.
	Late   float64
	LateBy time.Duration
	// Random draws the faults of single calls. It is used by the records only. nil: the shares are not applied.
	Random *rand.Rand
}

// RecordsBackup is a copy of all records that Restore accepts.
type RecordsBackup struct {
	items    map[string]stored
	revision uint64
}

// SetFaults replaces the faults of calls that begin from now on.
func (r *Records) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// SetAway sets whether calls fail.
func (r *Records) SetAway(away bool) { r.SetFaults(Faults{Away: away}) }

// Backup returns a copy of all records for Restore.
func (r *Records) Backup() RecordsBackup {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RecordsBackup{maps.Clone(r.items), r.revision}
}

// Restore replaces all records by those of a backup and begins the store's next generation, which assigns the
// revisions since the backup again.
func (r *Records) Restore(b RecordsBackup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items, r.revision = maps.Clone(b.items), b.revision
	r.generation++
}

// Generation returns the store's generation, which is the number of restores so far.
func (r *Records) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// Touch writes the named record again with the same content, if there is one, as another writer does: writes on the
// condition of the revision before are in conflict.
func (r *Records) Touch(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if item, ok := r.items[name]; ok {
		r.revision++
		r.items[name] = stored{item.raw, r.revision}
	}
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

// plan is what a call meets: the error of its answer, and when and whether it takes effect.
type plan struct {
	err     error
	effect  bool
	delay   time.Duration // until it takes effect
	answers time.Duration // from then until its answer
	silent  bool          // it is never answered
}

func (r *Records) plan(write bool) plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	f := r.faults
	half := (r.Latency + f.Slow) / 2
	p := plan{effect: true, delay: half, answers: r.Latency + f.Slow - half}
	happens := func(share float64) bool { return f.Random != nil && f.Random.Float64() < share }
	switch {
	case f.Away:
		p.err, p.effect = ErrAway, false
	case happens(f.Rejected):
		p.err, p.effect = ErrRejected, false
	case write && happens(f.Lost):
		p.err = ErrLost
	case write && happens(f.Late):
		p.delay, p.silent = half+time.Duration(f.Random.Int64N(int64(f.LateBy)+1)), true
	}
	return p
}

// call runs a call under faults and returns what effect returns, or the error of a fault or of the context.
func call[T any](ctx context.Context, r *Records, write bool, effect func() T) (answer T, err error) {
	p := r.plan(write)
	answered := make(chan T, 1)
	go func() {
		time.Sleep(p.delay)
		var a T
		if p.effect {
			r.mu.Lock()
			a = effect()
			r.mu.Unlock()
		}
		if !p.silent {
			time.Sleep(p.answers)
			answered <- a
		}
	}()
	timeout := time.NewTimer(lostAfter)
	defer timeout.Stop()
	select {
	case answer = <-answered:
		return answer, p.err
	case <-ctx.Done():
		return answer, ctx.Err()
	case <-timeout.C:
		return answer, ErrLost
	}
}

// lostAfter bounds calls whose context has no end.
const lostAfter = 10 * time.Second

// readAnswer is the answer to a read.
type readAnswer struct {
	raw     []byte
	version storeversion.Version
}

// ReadRecord decodes the named record into v and returns its version. If there is none, it returns
// lease.ErrNotFound and the store's generation.
func (r *Records) ReadRecord(ctx context.Context, name string, v any) (storeversion.Version, error) {
	a, err := call(ctx, r, false, func() readAnswer {
		item := r.items[name]
		return readAnswer{item.raw, storeversion.Version{Generation: r.generation, Revision: item.revision}}
	})
	switch {
	case err != nil:
		return storeversion.Version{}, err
	case a.version.Absent():
		return a.version, lease.ErrNotFound
	}
	return a.version, json.Unmarshal(a.raw, v)
}

// writeAnswer is the answer to a write.
type writeAnswer struct {
	version storeversion.Version
	outcome protocol.WriteOutcome
}

// WriteRecord replaces the named record if its revision is the expected one, and reports a conflict otherwise.
func (r *Records) WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (storeversion.Version, protocol.WriteOutcome, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	a, err := call(ctx, r, true, func() writeAnswer {
		if r.items[name].revision != expected.Revision {
			return writeAnswer{storeversion.Version{Generation: r.generation}, protocol.WriteConflict}
		}
		if r.items == nil {
			r.items = map[string]stored{}
		}
		r.revision++
		r.items[name] = stored{raw, r.revision}
		return writeAnswer{storeversion.Version{Generation: r.generation, Revision: r.revision}, protocol.WriteOK}
	})
	if err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	return a.version, a.outcome, nil
}

// ListRecords passes the name and content of each record to use.
func (r *Records) ListRecords(ctx context.Context, use func(name string, content json.RawMessage)) error {
	items, err := call(ctx, r, false, func() map[string]stored { return maps.Clone(r.items) })
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		use(name, items[name].raw)
	}
	return nil
}

// DeleteRecord removes the named record, if there is one.
func (r *Records) DeleteRecord(ctx context.Context, name string) error {
	_, err := call(ctx, r, true, func() struct{} {
		delete(r.items, name)
		return struct{}{}
	})
	return err
}

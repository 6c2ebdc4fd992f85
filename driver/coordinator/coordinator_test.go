package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// fakeLease keeps one lease in memory.
type fakeLease struct {
	mu      sync.Mutex
	record  lease.Record
	version storeversion.Version
}

func (f *fakeLease) ReadLease(_ context.Context, _ string, v any) (storeversion.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version.Absent() {
		return f.version, lease.ErrNotFound
	}
	raw, err := json.Marshal(f.record)
	if err != nil {
		return f.version, err
	}
	return f.version, json.Unmarshal(raw, v)
}

func (f *fakeLease) WriteLease(_ context.Context, _ string, expected storeversion.Version, record any) (storeversion.Version, protocol.WriteOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expected.Revision != f.version.Revision {
		return f.version.WithRevision(0), protocol.WriteConflict, nil
	}
	f.record = record.(lease.Record)
	f.version.Revision++
	return f.version, protocol.WriteOK, nil
}

// noEngines fails every call.
type noEngines struct{}

var errNoEngine = errors.New("no engine")

func (noEngines) Order(context.Context, residency.Order) (residency.Outcome, error) {
	return residency.Unsent, errNoEngine
}

func (noEngines) Report(context.Context, fleet.Incarnation, string) (residency.Report, error) {
	return residency.Report{}, errNoEngine
}

const orderGap = 3 * time.Second

// start runs a coordinator with a lease store until the test ends.
func start(t *testing.T, f *fakeLease, self string, candidate bool) *Coordinator {
	ctx, cancel := context.WithCancel(t.Context())
	log := decisions.New(io.Discard, "test", hclog.Off)
	c := New(Options{
		Service: "llm", Self: self, Lease: f, Engines: noEngines{}, OrderGap: orderGap, Planner: residency.Options{InitialStoreConcurrency: 1},
		Candidate: func(_ string, former bool) bool { return candidate || former }, OnLeaseChange: func(string, uint64, bool) {}, StoreConcurrency: func(string) int { return 0 }, OnStoreConcurrency: func(string, uint64, int) {}, Log: log, Metrics: tally.NoopScope,
	})
	go c.Run(ctx)
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
		log.Close()
	})
	return c
}

// A host that held the lease before a restart of its daemon takes it back at once,
// even if it is no candidate: to engines it is the same holder.
func TestRestartedHolderTakesItsLeaseBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLease{record: lease.Record{Holder: "h1", Fence: 7, Term: leaseTerm}, version: storeversion.Version{Revision: 3}}
		c := start(t, f, "h1", false)
		time.Sleep(time.Second)
		if !c.Holds() {
			t.Fatal("the former holder has not taken the lease back within a second")
		}
		if f.record.Fence != 8 {
			t.Fatalf("fence %d after 7", f.record.Fence)
		}
	})
}

// A daemon that is no candidate does not take the lease of another host, even if
// the lease has expired.
func TestNonCandidateTakesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLease{record: lease.Record{Holder: "h2", Fence: 7, Term: leaseTerm}, version: storeversion.Version{Revision: 3}}
		c := start(t, f, "h1", false)
		time.Sleep(time.Minute)
		if c.Holds() || f.record.Holder != "h2" {
			t.Fatalf("taken by a daemon that is no candidate: %+v", f.record)
		}
	})
}

// A candidate takes an expired lease after a term, and sends no order before the
// gap between two holders is over.
func TestCandidateTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLease{record: lease.Record{Holder: "h2", Fence: 7, Term: leaseTerm}, version: storeversion.Version{Revision: 3}}
		c := start(t, f, "h1", true)
		time.Sleep(leaseTerm - 50*time.Millisecond)
		if c.Holds() {
			t.Fatal("lease taken before the end of its term")
		}
		time.Sleep(time.Second)
		if !c.Holds() || f.record.Fence != 8 {
			t.Fatalf("expired lease not taken: %+v", f.record)
		}
		if a := c.Want(residency.Want{Model: "m"}); a.Refused != residency.RefusedNoModel {
			t.Fatalf("%+v", a)
		}
	})
}

package leaserelay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/coordinator"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

var errRejected = errors.New("status 429")

// object is the lease in the store.
type object struct {
	mu      sync.Mutex
	record  json.RawMessage
	version storeversion.Version
	writes  int // number of writes that took effect
}

// host is one host's path to the store.
type host struct {
	object    *object
	mu        sync.Mutex
	rejection func(ctx context.Context) error // nil: the store serves the host
	calls     int
	// unanswered makes writes take effect without an answer.
	unanswered bool
}

func (h *host) admitted(ctx context.Context) error {
	h.mu.Lock()
	h.calls++
	rejection := h.rejection
	h.mu.Unlock()
	if rejection == nil {
		return nil
	}
	return rejection(ctx)
}

func (h *host) setRejection(rejection func(context.Context) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejection = rejection
}

func refused(context.Context) error { return errRejected }

func silent(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (h *host) ReadLease(ctx context.Context, _ string, v any) (storeversion.Version, error) {
	if err := h.admitted(ctx); err != nil {
		return storeversion.Version{}, err
	}
	h.object.mu.Lock()
	defer h.object.mu.Unlock()
	if h.object.version.Absent() {
		return h.object.version, lease.ErrNotFound
	}
	return h.object.version, json.Unmarshal(h.object.record, v)
}

func (h *host) WriteLease(ctx context.Context, _ string, expected storeversion.Version, record any) (storeversion.Version, protocol.WriteOutcome, error) {
	if err := h.admitted(ctx); err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	h.object.mu.Lock()
	defer h.object.mu.Unlock()
	if expected.Revision != h.object.version.Revision {
		return storeversion.Version{}, protocol.WriteConflict, nil
	}
	h.object.record = raw
	h.object.version.Revision++
	h.object.writes++
	if h.unanswered {
		h.object.mu.Unlock()
		<-ctx.Done()
		h.object.mu.Lock()
		return storeversion.Version{}, protocol.WriteUnknown, ctx.Err()
	}
	return h.object.version, protocol.WriteOK, nil
}

func quiet() *decisions.Log { return decisions.New(io.Discard, "test", hclog.Off) }

func relayOf(own *host, peers ...*host) *Relay {
	return New(own, func(int) []Peer {
		var list []Peer
		for _, p := range peers {
			list = append(list, Server{Store: p})
		}
		return list
	}, nil, quiet())
}

func TestPeersAreAskedOnlyWhenTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &object{}
		own, peer := &host{object: o}, &host{object: o}
		r := relayOf(own, peer)
		defer r.log.Close()
		if _, outcome, err := r.WriteLease(t.Context(), "llm", storeversion.Version{}, lease.Record{Holder: "a"}); outcome != protocol.WriteOK || err != nil {
			t.Fatalf("write: got %v, %v; want OK", outcome, err)
		}
		if peer.calls != 0 {
			t.Fatalf("%d calls through a peer while the store answers, want none", peer.calls)
		}
		for _, rejection := range []func(context.Context) error{refused, silent} {
			own.setRejection(rejection)
			var rec lease.Record
			version, err := r.ReadLease(t.Context(), "llm", &rec)
			if err != nil || version.Revision != 1 || rec.Holder != "a" {
				t.Fatalf("read through a peer: got version %d, %+v, %v", version, rec, err)
			}
		}
	})
}

func TestMissingLeaseIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &object{}
		own := &host{object: o, rejection: refused}
		r := relayOf(own, &host{object: o, rejection: refused}, &host{object: o})
		defer r.log.Close()
		if _, err := r.ReadLease(t.Context(), "llm", &lease.Record{}); !errors.Is(err, lease.ErrNotFound) {
			t.Fatalf("got error %v, want ErrNotFound", err)
		}
	})
}

// Guards against a conflict that counts as proof that nothing was written: the first
// try took effect and its answer was lost, so the second try conflicts with it.
func TestConflictAfterALostAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &object{}
		own := &host{object: o, unanswered: true}
		r := relayOf(own, &host{object: o})
		defer r.log.Close()
		_, outcome, err := r.WriteLease(t.Context(), "llm", storeversion.Version{}, lease.Record{Holder: "a"})
		if outcome != protocol.WriteUnknown || err != nil || o.writes != 1 {
			t.Fatalf("got outcome %v, error %v, %d writes; want an unknown outcome and one write", outcome, err, o.writes)
		}
	})
}

func TestNoPathLeftIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &object{}
		r := relayOf(&host{object: o, rejection: refused}, &host{object: o, rejection: silent})
		defer r.log.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, outcome, err := r.WriteLease(ctx, "llm", storeversion.Version{}, lease.Record{}); err == nil || outcome != protocol.WriteUnknown {
			t.Fatalf("got outcome %v, error %v; want an unknown outcome and an error", outcome, err)
		}
	})
}

// noEngines fails all calls to engines.
type noEngines struct{}

func (noEngines) Order(context.Context, residency.Order) (residency.Outcome, error) {
	return residency.Unsent, errRejected
}

func (noEngines) Report(context.Context, fleet.Incarnation, string) (residency.Report, error) {
	return residency.Report{}, errRejected
}

// Guards against a coordinator that loses its lease because the store rejects its host
// and some of the other hosts. Outages of single hosts last 4 to 9 s, and a takeover
// leaves a service without orders for 5.3 s.
func TestHolderTurnedAwayKeepsItsLease(t *testing.T) {
	for name, rejection := range map[string]func(context.Context) error{"refused": refused, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &object{}
				own, other := &host{object: o}, &host{object: o}
				r := relayOf(own, &host{object: o, rejection: rejection}, other)
				var changes atomic.Int64
				c := coordinator.New(coordinator.Options{
					Service: "llm", Self: "a", Lease: r, Engines: noEngines{}, OrderGap: 3 * time.Second, Planner: residency.Options{InitialStoreConcurrency: 1},
					Candidate: func(string, bool) bool { return true }, OnLeaseChange: func(string, uint64, bool) { changes.Add(1) }, StoreConcurrency: func(string) int { return 0 }, OnStoreConcurrency: func(string, uint64, int) {},
					Log: r.log, Metrics: tally.NoopScope,
				})
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				time.Sleep(2 * time.Second)
				own.setRejection(rejection)
				for range 90 {
					time.Sleep(100 * time.Millisecond)
					if !c.Holds() {
						t.Fatal("the holder lost its lease although another daemon reached the store")
					}
				}
				own.setRejection(nil)
				time.Sleep(2 * time.Second)
				if n := changes.Load(); n != 1 {
					t.Errorf("the lease was taken or lost %d times, want once", n)
				}
				cancel()
				synctest.Wait()
				r.log.Close()
			})
		})
	}
}

// Guards against a condition that other content of the same revision meets: a version of an older
// generation of the store is not sent, neither for this daemon nor for a peer.
func TestConditionOfAnOlderGenerationIsNotSent(t *testing.T) {
	tracker := generations.New(quiet(), tally.NoopScope)
	tracker.Observe(3, "test")
	own := &host{object: &object{}}
	expected := storeversion.Version{Generation: 2, Revision: 4}
	r := New(own, func(int) []Peer { return nil }, tracker, quiet())
	if version, outcome, err := r.WriteLease(t.Context(), "llm", expected, lease.Record{}); outcome != protocol.WriteConflict || version.Generation != 3 || err != nil {
		t.Errorf("got version %v, outcome %v, error %v; want a conflict in generation 3", version, outcome, err)
	}
	resp, err := Server{Store: own, Generations: tracker}.WriteLease(t.Context(), &fleetpb.WriteLeaseRequest{Name: "llm", Expected: expected.Revision, Generation: expected.Generation, Record: []byte("{}")})
	if err != nil || resp.Written || resp.Generation != 3 {
		t.Errorf("for a peer: got %+v, %v; want a conflict in generation 3", resp, err)
	}
	if own.calls != 0 {
		t.Errorf("the store got %d calls, want none", own.calls)
	}
}

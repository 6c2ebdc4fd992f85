package edgedaemon

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// testDemand is the demand of a daemon with two models at each of n engines.
func testDemand(n int) residency.Demand {
	d := residency.Demand{
		Active: map[string]int{}, Running: map[residency.Place]int{}, FirstEvents: map[residency.Place]residency.FirstEvents{}, Work: map[fleet.Incarnation]residency.EngineWork{},
	}
	for i := range n {
		engine := fleet.Incarnation{ID: fmt.Sprintf("engine-%03d", i), StartUnixMs: 1_796_000_000_000 + int64(i)}
		for m := range 2 {
			model := fmt.Sprintf("model-%03d", 2*i+m)
			d.Active[model] = 2
			d.Running[residency.Place{Endpoint: engine, Model: model}] = 1
		}
		d.FirstEvents[residency.Place{Endpoint: engine, Model: fmt.Sprintf("model-%03d", 2*i)}] = residency.FirstEvents{Count: 2, Slow: 1}
		d.Work[engine] = residency.EngineWork{PendingPrompt: 9190, Held: 20_000}
		d.Samples = append(d.Samples, workcost.Sample{Incarnation: engine, Count: 3, LogRatio: 0.4})
	}
	return d
}

func overWire(t *testing.T, d residency.Demand) residency.Demand {
	t.Helper()
	b, err := proto.Marshal(demandToWire("d", "s", d))
	if err != nil {
		t.Fatal(err)
	}
	var req fleetpb.DemandRequest
	if err := proto.Unmarshal(b, &req); err != nil {
		t.Fatal(err)
	}
	got := demandFromWire(&req)
	slices.SortFunc(got.Samples, func(a, b workcost.Sample) int { return cmp.Compare(a.Incarnation.ID, b.Incarnation.ID) })
	return got
}

// Guards against work, samples or first events that are lost or counted twice on the way to the
// coordinator, also where an engine has no running requests any more.
func TestDemandOnTheWire(t *testing.T) {
	d := testDemand(30)
	idle := fleet.Incarnation{ID: "engine-900", StartUnixMs: 7}
	d.Samples = append(d.Samples, workcost.Sample{Incarnation: idle, Count: 1, LogRatio: -0.2})
	d.FirstEvents[residency.Place{Endpoint: fleet.Incarnation{ID: "engine-901"}, Model: "m"}] = residency.FirstEvents{Count: 1, Rank: 2}
	if got := overWire(t, d); !reflect.DeepEqual(got, d) {
		t.Errorf("received %d, %d, %d and %d entries, or other values; want %d, %d, %d and %d", len(got.Running), len(got.FirstEvents), len(got.Work), len(got.Samples), len(d.Running), len(d.FirstEvents), len(d.Work), len(d.Samples))
	}
}

// Guards against values of a faulty daemon that overflow, and against work that is made up for an
// old daemon that reports none.
func TestDemandOfOldAndFaultyDaemons(t *testing.T) {
	old := testDemand(3)
	old.Work, old.Samples = nil, nil
	if got := overWire(t, old); len(got.Work) != 0 || len(got.Samples) != 0 || len(got.Running) != 6 {
		t.Fatalf("report of an old daemon: %+v", got)
	}
	faulty := demandFromWire(&fleetpb.DemandRequest{Running: []*fleetpb.Running{
		{Endpoint: "e", Model: "m", PendingPrompt: math.MaxInt64, HeldTokens: math.MaxInt64, Samples: math.MinInt32, LogRatio: math.NaN()},
		{Endpoint: "e", Model: "n", PendingPrompt: math.MaxInt64, HeldTokens: math.MinInt64},
	}})
	if w := faulty.Work[fleet.Incarnation{ID: "e"}]; w.PendingPrompt != 2*maxWireCount || w.Held != maxWireCount {
		t.Errorf("work %+v, want bounded counts", w)
	}
	if len(faulty.Samples) != 0 {
		t.Errorf("samples %+v, want none", faulty.Samples)
	}
}

// The work and samples of a report take at most 30 bytes for each engine.
func TestDemandIsSmall(t *testing.T) {
	d := testDemand(90)
	full := proto.Size(demandToWire("d", "s", d))
	d.Work, d.Samples = nil, nil
	before := proto.Size(demandToWire("d", "s", d))
	t.Logf("a report of 90 engines with two models each takes %d bytes, %d of them for work and samples", full, full-before)
	if n := full - before; n > 30*90 {
		t.Fatalf("work and samples of 90 engines take %d bytes, want at most 2700", n)
	}
}

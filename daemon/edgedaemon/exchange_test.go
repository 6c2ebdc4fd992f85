package edgedaemon

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// exchange is a coordinator's planner that gets reports and sends answers over the wire.
type exchange struct {
	t         *testing.T
	now       time.Time
	endpoints []*fleet.Endpoint
	planner   *residency.Planner
	lists     endpointLists
	// oldDaemon and oldCoordinator leave out what old daemons do not send.
	oldDaemon, oldCoordinator bool
}

func newExchange(t *testing.T, engines int) *exchange {
	x := &exchange{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), planner: residency.New(residency.Options{InitialStoreConcurrency: 1, RateWindow: time.Second, RateFactor: 1})}
	x.endpoints, _ = endpointsStartedAt(1000, engines)
	x.planner.Configure(residency.Config{Service: "s", Engine: &routing.Engine{Slots: 64, MemoryMB: 100, LoadsPerSecond: 1, Models: map[string]routing.Model{"m": {SizeMB: 10}}}})
	x.planner.SetLease(x.now, residency.Lease{Held: true, Fence: 1, First: true, OrdersFrom: x.now})
	x.planner.SetEndpoints(x.now, x.endpoints)
	return x
}

// report sends a daemon's demand to the coordinator.
func (x *exchange) report(daemon string, d residency.Demand) {
	req := demandToWire(daemon, "s", d)
	if x.oldDaemon {
		for _, r := range req.Running {
			r.PendingPrompt, r.HeldTokens, r.Samples, r.LogRatio = 0, 0, 0, 0
		}
	}
	b, err := proto.Marshal(req)
	if err != nil {
		x.t.Fatal(err)
	}
	var received fleetpb.DemandRequest
	if err := proto.Unmarshal(b, &received); err != nil {
		x.t.Fatal(err)
	}
	x.planner.ReceiveDemand(x.now, received.Daemon, demandFromWire(&received))
}

// answer returns the loads that a daemon decodes after the next planning step.
func (x *exchange) answer() []residency.EngineLoad {
	x.now = x.now.Add(25 * time.Millisecond)
	x.planner.Ready(x.now)
	resp := packLoads(x.planner.Loads())
	if x.oldCoordinator {
		resp.Pending, resp.Speed, resp.Held = nil, nil, nil
	}
	b, err := proto.Marshal(resp)
	if err != nil {
		x.t.Fatal(err)
	}
	var received fleetpb.DemandResponse
	if err := proto.Unmarshal(b, &received); err != nil {
		x.t.Fatal(err)
	}
	return x.lists.unpackLoads(x.endpoints, &received)
}

func demandAt(e *fleet.Endpoint, requests, prompt, held int, log float64) residency.Demand {
	id := e.Incarnation()
	return residency.Demand{
		Active: map[string]int{"m": requests}, Running: map[residency.Place]int{{Endpoint: id, Model: "m"}: requests},
		Work:    map[fleet.Incarnation]residency.EngineWork{id: {PendingPrompt: prompt, Held: held}},
		Samples: []workcost.Sample{{Incarnation: id, Count: 10, LogRatio: 10 * log}},
	}
}

// The work that two daemons report reaches a third one as a sum, with the engine's speed. Guards
// against old peers that get wrong values, or cause them: they exchange numbers of requests as
// before, and nothing else is known.
func TestExchangeOfWork(t *testing.T) {
	for _, c := range []struct {
		name                      string
		oldDaemon, oldCoordinator bool
	}{{"new peers", false, false}, {"old daemons", true, false}, {"old coordinator", false, true}} {
		x := newExchange(t, 3)
		x.oldDaemon, x.oldCoordinator = c.oldDaemon, c.oldCoordinator
		x.report("a", demandAt(x.endpoints[1], 3, 9190, 90_000, math.Log(2)))
		x.report("b", demandAt(x.endpoints[1], 4, 826, 10_000, math.Log(2)))
		got := x.answer()
		if len(got) != 3 || got[1].Requests != 7 {
			t.Fatalf("%s: received %+v, want 7 requests at the second engine", c.name, got)
		}
		if got[0].EngineWork != (residency.EngineWork{}) || got[0].Speed != 0 || got[2].Requests != 0 {
			t.Errorf("%s: %+v at idle engines", c.name, got)
		}
		l := got[1]
		if c.oldDaemon || c.oldCoordinator {
			if l.EngineWork != (residency.EngineWork{}) || l.Speed != 0 {
				t.Errorf("%s: received %+v, want requests only", c.name, l)
			}
			continue
		}
		if math.Abs(float64(l.PendingPrompt-10_016)) > pendingUnit/2 || math.Abs(float64(l.Held-100_000)) > heldUnit/2 {
			t.Errorf("%s: received %+v, want about 10016 pending and 100000 held tokens", c.name, l)
		}
		if l.Speed < 0.4 || l.Speed > 0.65 {
			t.Errorf("%s: speed %.2f, want about 0.5", c.name, l.Speed)
		}
	}
}

// An old coordinator takes an entry without requests of any model, in which a daemon reports the
// work of an engine, for a model without requests. Guards against such an entry changing its
// counts.
func TestOldCoordinatorTakesNewReport(t *testing.T) {
	x := newExchange(t, 2)
	id := x.endpoints[0].Incarnation()
	x.planner.ReceiveDemand(x.now, "a", residency.Demand{Running: map[residency.Place]int{{Endpoint: id, Model: "m"}: 2, {Endpoint: id}: 0}})
	if got := x.answer(); got[0].Requests != 2 || got[1].Requests != 0 {
		t.Fatalf("received %+v, want 2 requests at the first engine", got)
	}
}

// Without work, an answer is as small as before. Guards against traffic of services whose callers
// state no tokens.
func TestAnswerWithoutWorkIsAsSmallAsBefore(t *testing.T) {
	_, loads := endpointsStartedAt(1000, 600)
	for i := range loads {
		loads[i].EngineWork, loads[i].Speed = residency.EngineWork{}, 0
	}
	if n := proto.Size(packLoads(loads)); n > 600+20 {
		t.Errorf("an answer for 600 engines takes %d bytes, want at most 620", n)
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/claims"
	"github.com/doorvalve/doorvalve/coordination/grants"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/replay"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

type slopesCmd struct{}

// Run prints one CSV line for each measurement.
func (*slopesCmd) Run() error {
	for _, measure := range []func() []point{configuration, groupByEndpoints, groupByUnits, sharing, reports, claimShards, members} {
		if err := write(os.Stdout, measure()...); err != nil {
			return err
		}
	}
	return nil
}

// meanMicroseconds returns the mean time of f in microseconds, over at least a quarter of
// a second.
func meanMicroseconds(f func()) float64 {
	const minTime = 250 * time.Millisecond
	f()
	start, n := time.Now(), 0
	for time.Since(start) < minTime {
		f()
		n++
	}
	return float64(time.Since(start).Microseconds()) / float64(n)
}

// heapKB returns the heap memory that the value built by f keeps in use, in KB.
func heapKB(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / 1000
}

// makeBundle returns a bundle with one group of engines, its models and its adapters.
func makeBundle(engines, models, adapters int) *bundle.Bundle {
	b := &bundle.Bundle{
		Format: bundle.Format, FailureDomains: []string{"a"}, AddressTTL: bundle.Duration(5 * time.Second), DefaultClass: "c",
		Classes: []bundle.Class{{Name: "c", Worth: 1, Timeout: bundle.Duration(30 * time.Second)}},
		Claims:  bundle.Claims{Shards: 8, Retention: bundle.Duration(time.Hour)},
		Policy:  bundle.Policy{ColdStartWeight: 40, IdleWeight: 1, MaxIdle: bundle.Duration(time.Hour), LoadsAtOnce: 4, LoadsPerSecond: 3},
	}
	svc := bundle.Service{Name: "lm", Kind: bundle.KindEngine, Mode: bundle.ModeManaged}
	for i := range engines {
		svc.Endpoints = append(svc.Endpoints, bundle.Endpoint{Name: fmt.Sprintf("worker-%d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), FailureDomain: "a", MemoryMiB: 655360, KVReserveMiB: 65536, Slots: 64, ChecksFencing: true})
	}
	b.Services = []bundle.Service{svc}
	for i := range models {
		b.Models = append(b.Models, bundle.Model{Name: fmt.Sprintf("model-%d", i), Service: "lm", Version: "1", MemoryMiB: 14336, Load: bundle.Duration(2 * time.Second), MaxReplicas: 8})
	}
	for i := range adapters {
		b.Adapters = append(b.Adapters, bundle.Adapter{Name: fmt.Sprintf("adapter-%d", i), Base: fmt.Sprintf("model-%d", i%max(1, models)), Version: "1", MemoryMiB: 256, Load: bundle.Duration(time.Second), MaxReplicas: 2})
	}
	return b
}

// configuration measures a bundle and its adoption by the number of adapters.
func configuration() []point {
	var points []point
	for _, adapters := range []int{60, 300, 900, 1800} {
		content, _ := json.Marshal(makeBundle(600, 98, adapters)) // plain values always marshal
		x := float64(adapters)
		points = append(points,
			point{"configuration", "bundle", "KB", "adapters", x, float64(len(content)) / 1000},
			point{"configuration", "adoption of a generation", "µs", "adapters", x, meanMicroseconds(func() { parse(content) })},
			point{"configuration", "snapshot in memory", "KB", "adapters", x, heapKB(func() any { return parse(content) })})
	}
	return points
}

// parse does the work of adopting a bundle.
func parse(content []byte) *snapshot.Snapshot {
	b, err := bundle.Parse("bench", content)
	if err != nil {
		panic(err) // makeBundle returned an invalid bundle
	}
	return snapshot.New(1, "", content, b)
}

// group is a placement machine whose recorded units are all loaded.
type group struct {
	m      *placement.Machine
	now    time.Time
	states []protocol.EngineState
	object placement.Object
}

func newGroup(engines, models, adapters int) *group {
	g := &group{now: time.Unix(1_000_000, 0)}
	b := makeBundle(engines, models, adapters)
	g.m = placement.New(placement.Options{Self: "bench", OrderTTL: 3 * time.Second, ResendAfter: time.Second, RetryAfter: time.Second, Policy: replay.Never})
	g.m.Step(g.now, placement.ConfigChanged{Config: placement.NewConfig(1, b, "lm")})
	g.m.Step(g.now, placement.LeaseChanged{Held: true, Fence: 1})
	g.m.Ready(g.now)
	object := placement.Object{Holder: "bench", Fence: 1}
	for i, e := range b.Services[0].Endpoints {
		s := protocol.EngineState{Endpoint: e.Name, MemoryMiB: e.MemoryMiB, Slots: e.Slots}
		for j, u := range b.Units() {
			if j%engines != i && (u.Base == "" || j%models%engines != i) {
				continue
			}
			object.NextSeq++
			object.Assignments = append(object.Assignments, placement.Assignment{Unit: u.Name, Version: u.Version, Base: u.Base, Endpoint: e.Name, MemoryMiB: u.MemoryMiB, Phase: placement.Loaded, Seq: object.NextSeq, Fence: 1})
			s.Units = append(s.Units, protocol.EngineUnit{Unit: u.Name, Version: u.Version, Base: u.Base, Status: protocol.UnitReady, MemoryMiB: u.MemoryMiB, Seq: object.NextSeq})
		}
		g.states = append(g.states, s)
	}
	g.object = object
	g.m.Step(g.now, placement.ReadDone{Found: true, Object: object, Version: storeversion.Version{Revision: 1}})
	g.observe()
	return g
}

// observe passes one report of each endpoint to the machine and has it decide.
// All orders that it returns succeed.
func (g *group) observe() {
	g.now = g.now.Add(time.Second)
	for _, s := range g.states {
		g.m.Step(g.now, placement.Observed{State: s, Fence: 1, RequestedAt: g.now})
	}
	r := g.m.Ready(g.now)
	for _, o := range r.Orders {
		g.m.Step(g.now, placement.OrderDone{Order: o, Sent: true, OK: true})
	}
}

// groupByEndpoints measures a placement group by its number of endpoints.
func groupByEndpoints() []point {
	var points []point
	for _, engines := range []int{9, 18, 36, 72} {
		g := newGroup(engines, 98, 200)
		points = append(points,
			point{"placement group", "one round of reports and decision", "µs", "endpoints", float64(engines), meanMicroseconds(g.observe)},
			point{"placement group", "memory", "KB", "endpoints", float64(engines), heapKB(func() any { return newGroup(engines, 98, 200) })})
	}
	return points
}

// groupByUnits measures a placement group by the number of loaded adapters.
func groupByUnits() []point {
	var points []point
	for _, adapters := range []int{60, 300, 900, 1800} {
		g := newGroup(9, 98, adapters)
		object, _ := json.Marshal(g.object)
		state, _ := json.Marshal(g.states[0])
		x := float64(adapters)
		points = append(points,
			point{"placement group", "one round of reports and decision", "µs", "adapters loaded", x, meanMicroseconds(g.observe)},
			point{"placement group", "recorded object", "KB", "adapters loaded", x, float64(len(object)) / 1000},
			point{"endpoint reports", "a changed report", "KB", "adapters loaded", x, float64(len(state)) / 1000})
	}
	return points
}

// sharing measures one allocation of slots by the number of daemons that report demand.
func sharing() []point {
	var points []point
	for _, daemons := range []int{7, 50, 150, 370} {
		now := time.Unix(1_000_000, 0)
		allocator := grants.NewAllocator()
		for d := range daemons {
			allocator.Report(now, fmt.Sprintf("daemon-%d", d), []grants.UnitReport{{Unit: "model-0", InFlight: 1}, {Unit: "model-1", Waiting: []grants.Waiting{{Worth: 5, Count: 2, Deadline: now}}}})
		}
		var replicas []placement.Replica
		for e := range 8 {
			for u := range 4 {
				replicas = append(replicas, placement.Replica{Unit: fmt.Sprintf("model-%d", u), Endpoint: bundle.Endpoint{Name: fmt.Sprint("e", e), Slots: 64}})
			}
		}
		points = append(points, point{"sharing of slots", "one allocation", "µs", "daemons", float64(daemons), meanMicroseconds(func() { allocator.Allocate(now, replicas) })})
	}
	return points
}

// reports measures the size of a daemon's demand report and its answer, without
// HTTP headers, by the number of units in use.
func reports() []point {
	var points []point
	for _, units := range []int{1, 4, 16, 64} {
		req := &peerpb.DemandRequest{From: "entry-12-0123abcd", Group: "assist-lm"}
		resp := &peerpb.DemandResponse{Coordinator: true}
		for u := range units {
			name := fmt.Sprintf("model-%d", u)
			req.Units = append(req.Units, &peerpb.UnitDemand{Unit: name, InFlight: 3, Arrivals: 5, Waiting: []*peerpb.Waiting{{Worth: 100, Count: 2, EarliestDeadlineMs: 25000}}})
			resp.Credits = append(resp.Credits, &peerpb.Credit{Unit: name, Endpoint: fmt.Sprintf("assist-lm-w%d", u), Limit: 8})
			resp.Estimates = append(resp.Estimates, &peerpb.Estimate{Unit: name, WaitMs: 1200, ShareMillislots: 8000})
		}
		points = append(points, point{"sharing of slots", "a report and its answer", "B", "units in use", float64(units), float64(proto.Size(req) + proto.Size(resp))})
	}
	return points
}

// claimShards measures one shard by the rate of its claims.
func claimShards() []point {
	var points []point
	for _, rate := range []int{3, 10, 30, 100, 300} {
		writes, bytes := claimRun(rate)
		x := float64(rate)
		points = append(points,
			point{"claims", "writes of a shard", "1/s", "claims/s", x, writes},
			point{"claims", "bytes written of a shard", "KB/s", "claims/s", x, bytes / 1000},
			point{"claims", "memory of an hour's keys of a shard", "MB", "claims/s", x, heapKB(func() any { return claimIndex(rate * 3600) }) / 1000})
	}
	return points
}

// claimRun runs one shard for ten seconds of virtual time with evenly spread
// claims and a platform that answers within 3 ms.
func claimRun(rate int) (writesPerSecond, bytesPerSecond float64) {
	const seconds, answer = 10, 3 * time.Millisecond
	s := claims.NewShard(claims.Options{Owner: "bench", Interval: claims.DefaultInterval, RetryWait: time.Second, Retention: time.Hour, MaxOpen: claims.DefaultMaxOpen})
	now := time.Unix(1_000_000, 0)
	version, writes, bytes, requested := uint64(0), 0, 0, 0
	var pending claims.Event
	var due time.Time
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		for float64(requested) < float64(rate)*now.Sub(end.Add(-seconds*time.Second)).Seconds() {
			requested++
			s.Step(now, claims.Claim{Key: claims.MakeKey("c", "s", fmt.Sprint(requested)), ClaimID: fmt.Sprintf("entry-12-0123abcd-%x", requested)})
		}
		if pending != nil && !now.Before(due) {
			s.Step(now, pending)
			pending = nil
		}
		r := s.Ready(now)
		if r.Read {
			pending, due = claims.ReadDone{Version: storeversion.Version{Revision: version}}, now.Add(answer)
		}
		if r.Write != nil {
			body, _ := json.Marshal(r.Write.Head)
			version++
			writes++
			bytes += len(body)
			if r.Write.Seal != nil {
				body, _ = json.Marshal(r.Write.Seal)
				bytes += len(body)
			}
			pending, due = claims.WriteDone{Outcome: protocol.WriteOK, Version: storeversion.Version{Revision: version}}, now.Add(answer)
		}
	}
	return float64(writes) / seconds, float64(bytes) / seconds
}

// claimIndex returns an index of n keys, as a shard holds it in memory.
func claimIndex(n int) any {
	index := make(map[claims.Key]claims.ClaimHash, n)
	for i := range n {
		index[claims.MakeKey("c", "s", fmt.Sprint(i))] = claims.ClaimHash(i)
	}
	return index
}

// members measures the memory of a membership view by the number of daemons. The
// traffic is measured by the rest command on running daemons, and by a test of
// the membership package.
func members() []point {
	var points []point
	for _, n := range []int{7, 50, 150, 370} {
		points = append(points, point{"membership", "view in memory", "KB", "daemons", float64(n), heapKB(func() any {
			now := time.Unix(1_000_000, 0)
			m := membership.New(membership.DefaultOptions(1), membership.Member{ID: "self"}, now)
			for i := range n {
				value, _ := json.Marshal(membership.Member{ID: fmt.Sprintf("entry-%d-0123abcd", i), Host: fmt.Sprint("entry-", i), PeerAddress: "10.0.0.1:7100", CallerAddress: "10.0.0.1:7000", OperatorAddr: "10.0.0.1:7200", FailureDomain: "hall-a", Status: membership.Alive})
				m.Set(now, membership.Entry{Key: fmt.Sprintf("%sentry-%d-0123abcd", membership.MemberPrefix, i), Version: 4, Value: value})
			}
			return m
		})})
	}
	return points
}

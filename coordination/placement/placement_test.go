package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const (
	memory  = 100
	reserve = 10
	term    = 6 * time.Second
	ttl     = 12 * time.Second // long compared with the others, so that late orders matter
	load    = 200 * time.Millisecond
	idle    = 300 * time.Millisecond
)

// fakeEngine executes the orders that it accepts, as an engine does.
type fakeEngine struct {
	checks bool // rejects orders with an old fencing number
	fence  uint64
	units  map[string]protocol.EngineUnit
	until  map[string]time.Time // end of a load, by unit
}

func (e *fakeEngine) used() int64 {
	sum := int64(0)
	for _, u := range e.units {
		sum += u.MemoryMiB
	}
	return sum
}

func (e *fakeEngine) apply(now time.Time, o protocol.Order) bool {
	if e.checks && o.Fence < e.fence {
		return false
	}
	if e.checks {
		e.fence = o.Fence
	}
	if now.After(o.ExpiresAt) {
		return false
	}
	switch o.Kind {
	case protocol.OrderLoad:
		if _, ok := e.units[o.Unit]; !ok {
			e.units[o.Unit] = protocol.EngineUnit{Unit: o.Unit, Version: o.Version, Base: o.Base, Status: protocol.UnitLoading, MemoryMiB: o.MemoryMiB, Seq: o.Seq}
			e.until[o.Unit] = now.Add(load)
		}
	case protocol.OrderUnload:
		delete(e.units, o.Unit)
	}
	return true
}

func (e *fakeEngine) state(now time.Time, name string) protocol.EngineState {
	s := protocol.EngineState{Endpoint: name, Fence: e.fence, MemoryMiB: memory, Slots: 4}
	for name, u := range e.units {
		if u.Status == protocol.UnitLoading && !now.Before(e.until[name]) {
			u.Status = protocol.UnitReady
			e.units[name] = u
		}
		s.Units = append(s.Units, u)
	}
	return s
}

// mail is a message on its way to a daemon, such as the answer of an endpoint or
// of the platform, or an order that is about to be sent.
type message struct {
	deliver func()
}

type daemon struct {
	name        string
	l           *lease.Machine
	p           *Machine
	frozenUntil time.Time
	inbox       []message
}

type world struct {
	t       *rapid.T
	now     time.Time
	engines map[string]*fakeEngine
	names   []string
	daemons []*daemon
	conf    Config

	leaseRec     lease.Record
	leaseVersion storeversion.Version
	obj          Object
	objVersion   storeversion.Version
	lateOrders   []func() // orders in the network whose sender has given up
	noFaults     bool     // chance always returns false
	delayOrders  bool     // every order becomes a late order
}

func newWorld(t *rapid.T, checks bool) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), engines: map[string]*fakeEngine{}}
	svc := bundle.Service{Name: "g", Kind: bundle.KindEngine, Mode: bundle.ModeManaged}
	for i := range 2 {
		name := fmt.Sprintf("e%d", i)
		w.names = append(w.names, name)
		w.engines[name] = &fakeEngine{checks: checks, units: map[string]protocol.EngineUnit{}, until: map[string]time.Time{}}
		svc.Endpoints = append(svc.Endpoints, bundle.Endpoint{Name: name, MemoryMiB: memory, KVReserveMiB: reserve, Slots: 4, ChecksFencing: checks})
	}
	w.conf = Config{Generation: 1, Service: svc, Units: map[string]bundle.Unit{}, LoadsAtOnce: 4, LoadsPerSecond: 100}
	for i := range 5 {
		name := fmt.Sprintf("m%d", i)
		w.conf.Units[name] = bundle.Unit{Name: name, Version: "1", MemoryMiB: 40, Load: load, MaxReplicas: 1}
	}
	w.conf.Units["a0"] = bundle.Unit{Name: "a0", Base: "m0", Version: "1", MemoryMiB: 5, Load: load, MaxReplicas: 1}
	for _, name := range []string{"x", "y", "z"} {
		d := &daemon{name: name, l: lease.New(lease.Options{Self: name, Term: term, Margin: term / 4})}
		d.p = New(Options{Self: name, OrderTTL: ttl, ResendAfter: 300 * time.Millisecond, RetryAfter: 100 * time.Millisecond, Policy: fixed(idle)})
		d.p.Step(w.now, ConfigChanged{Config: w.conf})
		d.l.Step(w.now, lease.Candidate{Yes: true})
		w.daemons = append(w.daemons, d)
	}
	return w
}

// fixed is a policy with a constant idle time.
type fixed time.Duration

func (fixed) Arrived(string, int, time.Time) {}
func (f fixed) IdleFor(string, Cost, time.Time) time.Duration {
	return time.Duration(f)
}
func (fixed) Prewarm(time.Time) []string { return nil }

// check verifies the memory limit and the replica limit against the state of
// the engines.
func (w *world) check() {
	replicas := map[string]int{}
	for name, e := range w.engines {
		if used := e.used(); used > memory-reserve {
			w.t.Fatalf("%s: %d of %d used", name, used, memory-reserve)
		}
		for unit := range e.units {
			replicas[unit]++
		}
	}
	for unit, n := range replicas {
		if limit := w.conf.Units[unit].MaxReplicas; n > limit {
			w.t.Fatalf("%s has %d replicas, %d allowed", unit, n, limit)
		}
	}
}

func (w *world) chance(what string, oneIn int) bool {
	if w.noFaults {
		return false
	}
	return rapid.IntRange(1, oneIn).Draw(w.t, what) == oneIn
}

// run steps one daemon at the current time and queues the I/O that it returns.
func (w *world) run(d *daemon) {
	d.l.Step(w.now, lease.Tick{})
	lr := d.l.Ready(w.now)
	if lr.Read {
		rec, version := w.leaseRec, w.leaseVersion
		d.send(func() { d.l.Step(w.now, lease.ReadDone{Found: !version.Absent(), Record: rec, Version: version}) })
	}
	if lr.Write != nil {
		w.writeLease(d, *lr.Write)
	}
	fence, held := d.l.Holds(w.now)
	d.p.Step(w.now, LeaseChanged{Held: held, Fence: fence})
	for _, name := range w.names {
		e := w.engines[name]
		if w.noFaults || w.chance("poll", 3) {
			requestedAt, claimed := w.now, d.p.ClaimedFence(name)
			state := e.state(w.now, name)
			d.send(func() { d.p.Step(w.now, Observed{State: state, Fence: claimed, RequestedAt: requestedAt}) })
		}
	}
	for _, f := range d.p.Former() {
		w.askFormer(d, f)
	}
	r := d.p.Ready(w.now)
	if r.Read {
		obj, version := *w.obj.clone(), w.objVersion
		d.send(func() { d.p.Step(w.now, ReadDone{Found: !version.Absent(), Object: obj, Version: version}) })
	}
	if r.Write != nil {
		w.writeObject(d, *r.Write)
	}
	for _, o := range r.Orders {
		w.order(d, o)
	}
}

func (d *daemon) send(f func()) { d.inbox = append(d.inbox, message{f}) }

func (w *world) writeLease(d *daemon, wr lease.Write) {
	took := false
	if !w.chance("lost before", 8) {
		if took = wr.ExpectedVersion == w.leaseVersion; took {
			w.leaseRec, w.leaseVersion = wr.Record, w.leaseVersion.WithRevision(w.leaseVersion.Revision+1)
		}
		if !w.chance("answer lost", 8) {
			out, version := protocol.WriteConflict, w.leaseVersion
			if took {
				out = protocol.WriteOK
			}
			d.send(func() { d.l.Step(w.now, lease.WriteDone{Outcome: out, Version: version}) })
			return
		}
	}
	d.send(func() { d.l.Step(w.now, lease.WriteDone{Outcome: protocol.WriteUnknown}) })
}

func (w *world) writeObject(d *daemon, wr Write) {
	if !w.chance("lost before", 8) {
		took := wr.ExpectedVersion == w.objVersion
		if took {
			w.obj, w.objVersion = *wr.Object.clone(), w.objVersion.WithRevision(w.objVersion.Revision+1)
		}
		if !w.chance("answer lost", 8) {
			out, version := protocol.WriteConflict, w.objVersion
			if took {
				out = protocol.WriteOK
			}
			d.send(func() { d.p.Step(w.now, WriteDone{Outcome: out, Version: version}) })
			return
		}
	}
	d.send(func() { d.p.Step(w.now, WriteDone{Outcome: protocol.WriteUnknown}) })
}

// order queues an order, which is sent some time after the decision. The daemon
// may freeze in between, but not between its last check and the send.
func (w *world) order(d *daemon, o protocol.Order) {
	d.send(func() {
		fence, held := d.l.Holds(w.now)
		e := w.engines[o.EndpointID]
		allowed := held && fence == o.Fence>>OrderNumberBits || !held && e.checks && o.Kind == protocol.OrderLoad
		if !allowed || w.now.After(o.ExpiresAt) {
			d.p.Step(w.now, OrderDone{Order: o})
			return
		}
		if w.delayOrders || w.chance("order delayed", 3) {
			w.lateOrders = append(w.lateOrders, func() { e.apply(w.now, o) })
			d.p.Step(w.now, OrderDone{Order: o, Sent: true})
			return
		}
		ok := e.apply(w.now, o)
		d.p.Step(w.now, OrderDone{Order: o, Sent: true, OK: ok})
	})
}

func (w *world) askFormer(d *daemon, f FormerHolder) {
	for _, other := range w.daemons {
		if other.name != f.Holder || w.now.Before(other.frozenUntil) {
			continue
		}
		fence, held := other.l.Holds(w.now)
		if (!held || fence != f.Fence) && other.p.Quiescent(w.now) {
			d.send(func() { d.p.Step(w.now, FormerQuiescent{Fence: f.Fence}) })
		}
	}
}

// Guards against more replicas than allowed and against overcommitted memory, as
// counted at the engines, while daemons freeze for longer than the lease's term,
// writes and answers are lost, orders arrive late and the demand changes.
func TestPlacementInvariants(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, checks)
				for range rapid.IntRange(50, 400).Draw(t, "steps") {
					w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
					w.randomEvent()
					w.check()
				}
			})
		})
	}
}

func (w *world) randomEvent() {
	d := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(w.t, "daemon")]
	if n := len(w.lateOrders); n > 0 && w.chance("late order arrives", 6) {
		i := rapid.IntRange(0, n-1).Draw(w.t, "which")
		w.lateOrders[i]()
		w.lateOrders = slices.Delete(w.lateOrders, i, i+1)
	}
	if w.now.Before(d.frozenUntil) {
		return
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "event") {
	case 0:
		if w.chance("freeze", 3) {
			d.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(w.t, "seconds")) * time.Second)
		}
	case 1:
		demand := map[string]Demand{}
		for _, unit := range []string{"m0", "m1", "m2", "m3", "m4", "a0"} {
			if w.chance("demand", 3) {
				demand[unit] = Demand{Waiting: 1, Worth: int64(rapid.IntRange(0, 9).Draw(w.t, "worth"))}
			}
		}
		d.p.Step(w.now, DemandChanged{Units: demand})
	case 2:
		w.deliver(d, 1)
	case 3:
		w.run(d)
	default: // some rounds without other events
		for range rapid.IntRange(1, 6).Draw(w.t, "rounds") {
			w.run(d)
			w.deliver(d, rapid.IntRange(1, 8).Draw(w.t, "delivered"))
			w.now = w.now.Add(100 * time.Millisecond)
			w.check()
		}
	}
}

// deliver delivers up to n of a daemon's oldest messages.
func (w *world) deliver(d *daemon, n int) {
	for range min(n, len(d.inbox)) {
		m := d.inbox[0]
		d.inbox = d.inbox[1:]
		m.deliver()
	}
}

// settle runs some daemons for a time and delivers all their messages.
func (w *world) settle(d time.Duration, daemons ...*daemon) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for _, dm := range daemons {
			w.deliver(dm, len(dm.inbox))
			w.run(dm)
			w.check()
		}
	}
}

// Guards against a second replica from a late order: a holder freezes while its
// load order is still in the network. The next holder loads the same replica on
// that endpoint, unloads it and places it elsewhere; then the old order arrives,
// and the endpoint does not check fencing numbers. The replica must count at the
// first endpoint until the frozen daemon runs again.
func TestPlacementLateOrderOfFormerHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, false)
		w.noFaults = true
		x, y := w.daemons[0], w.daemons[1]
		w.settle(time.Second, x)
		w.delayOrders = true
		wanted := DemandChanged{Units: map[string]Demand{"m0": {Waiting: 1, Worth: 1}}}
		x.p.Step(w.now, wanted)
		w.settle(400*time.Millisecond, x)
		if len(w.lateOrders) == 0 {
			t.Fatal("no order in the network")
		}
		w.delayOrders = false
		first := w.obj.Assignments[0].Endpoint
		w.settle(7*time.Second, y) // x is frozen; y takes over and loads
		if _, ok := w.engines[first].units["m0"]; !ok {
			t.Fatalf("the next holder has not loaded m0: %+v", w.obj)
		}
		y.p.Step(w.now, HostLeaving{Endpoint: first, Leaving: true})
		y.p.Step(w.now, wanted)
		w.settle(time.Duration(rapid.IntRange(500, 4000).Draw(t, "ms"))*time.Millisecond, y)
		w.lateOrders[0]()
		w.check()
		w.settle(time.Second, y)
		w.settle(10*time.Second, x, y) // x runs again
		y.p.Step(w.now, wanted)
		w.settle(2*time.Second, x, y)
		for name, e := range w.engines {
			if _, ok := e.units["m0"]; ok == (name == first) {
				t.Fatalf("m0 at %s: %v, after the former holder runs again", name, ok)
			}
		}
	})
}

// After the faults have ended, every unit with waiting requests is loaded.
func TestPlacementMakesProgress(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, checks)
				for range rapid.IntRange(0, 150).Draw(t, "steps") {
					w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
					w.randomEvent()
				}
				for _, d := range w.daemons {
					d.frozenUntil = time.Time{}
					d.p.Step(w.now, DemandChanged{Units: map[string]Demand{"m1": {Waiting: 1, Worth: 5}, "a0": {Waiting: 1, Worth: 3}}})
				}
				w.lateOrders = nil
				w.noFaults = true
				w.settle(40*time.Second, w.daemons...)
				for _, unit := range []string{"m1", "a0"} {
					n := 0
					for _, e := range w.engines {
						if _, ok := e.units[unit]; ok {
							n++
						}
					}
					if n != 1 {
						t.Fatalf("%s has %d replicas 40 s after the last fault, want 1", unit, n)
					}
				}
			})
		})
	}
}

// Guards against a second replica of a model that a script has loaded on one
// endpoint, when requests for it arrive while the new holder has received the
// state of only the other endpoint.
func TestPlacementSurveysBeforeItPlaces(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := New(Options{Self: "x", OrderTTL: ttl, ResendAfter: time.Second, RetryAfter: time.Second, Policy: fixed(time.Hour)})
	svc := bundle.Service{Name: "g", Kind: bundle.KindEngine, Mode: bundle.ModeManaged}
	for _, name := range []string{"e0", "e1"} {
		svc.Endpoints = append(svc.Endpoints, bundle.Endpoint{Name: name, MemoryMiB: memory, Slots: 4, ChecksFencing: true})
	}
	unit := bundle.Unit{Name: "m0", Version: "1", MemoryMiB: 40, Load: load, MaxReplicas: 1}
	m.Step(now, ConfigChanged{Config: Config{Generation: 1, Service: svc, Units: map[string]bundle.Unit{"m0": unit}, LoadsAtOnce: 4, LoadsPerSecond: 100}})
	m.Step(now, LeaseChanged{Held: true, Fence: 1})
	drive := func() (orders []protocol.Order) {
		for range 5 {
			now = now.Add(10 * time.Millisecond)
			r := m.Ready(now)
			if r.Read {
				m.Step(now, ReadDone{})
			}
			if r.Write != nil {
				m.Step(now, WriteDone{Outcome: protocol.WriteOK, Version: storeversion.Version{Revision: r.Write.ExpectedVersion.Revision + 1}})
			}
			for _, o := range r.Orders {
				m.Step(now, OrderDone{Order: o, Sent: true, OK: true})
				if o.Kind == protocol.OrderLoad {
					orders = append(orders, o)
				}
			}
		}
		return orders
	}
	drive()
	m.Step(now, DemandChanged{Units: map[string]Demand{"m0": {Waiting: 1, Worth: 1}}})
	m.Step(now, Observed{State: protocol.EngineState{Endpoint: "e1", MemoryMiB: memory}, Fence: 1, RequestedAt: now})
	if orders := drive(); len(orders) > 0 {
		t.Fatalf("loaded before all endpoints had reported their state: %+v", orders)
	}
	m.Step(now, Observed{State: protocol.EngineState{Endpoint: "e0", MemoryMiB: memory, Units: []protocol.EngineUnit{
		{Unit: "m0", Version: "1", Status: protocol.UnitReady, MemoryMiB: 40},
	}}, Fence: 1, RequestedAt: now})
	if orders := drive(); len(orders) > 0 || m.obj.replicas("m0") != 1 || m.obj.Assignments[0].Endpoint != "e0" {
		t.Errorf("orders %+v, record %+v", orders, m.obj.Assignments)
	}
}

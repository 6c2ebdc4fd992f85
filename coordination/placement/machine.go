package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// OrderNumberBits is the number of low bits of an order's fencing number that
// count the orders sent under one lease fence. Each order has a higher number
// than its predecessor, so an endpoint that checks fencing numbers rejects an
// order that arrives after a later one.
const OrderNumberBits = 24

// Options configure a Machine.
type Options struct {
	Self        string
	OrderTTL    time.Duration // time until an order expires
	ResendAfter time.Duration // delay before an order without effect is repeated
	RetryAfter  time.Duration // delay before a failed read or write is repeated
	Policy      Policy
	Eviction    Eviction
}

// Eviction selects the idle replicas that are unloaded to make room for a
// requested unit.
type Eviction int

// The eviction strategies.
const (
	// EvictCheapest unloads the replicas with the lowest ratio of load time to
	// idle time.
	EvictCheapest Eviction = iota
	// EvictLeastRecentlyUsed unloads the least recently used replicas.
	EvictLeastRecentlyUsed
	// EvictNever unloads nothing.
	EvictNever
)

// endpoint is the machine's state of one endpoint.
type endpoint struct {
	conf                bundle.Endpoint
	state               protocol.EngineState
	units               map[string]*protocol.EngineUnit // of state, by name
	requestedAt         time.Time                       // when state was requested; zero: not received yet
	stateFence          uint64                          // lease fence under which state was requested
	claimed             uint64                          // lease fence that the endpoint has accepted
	down                bool
	hostLeaving         bool
	orderInFlight       bool                 // an order is in flight; one at a time, so that they arrive in order
	orderMayArriveUntil time.Time            // a failed order may still arrive until then
	sentAt              map[string]time.Time // last order by unit; of claims under ""
}

func (e *endpoint) leaving() bool { return e.conf.Drain || e.hostLeaving || e.state.Leaving }

func (e *endpoint) unit(name string) *protocol.EngineUnit {
	return e.units[name]
}

func (e *endpoint) setState(s protocol.EngineState) {
	e.state = s
	e.units = make(map[string]*protocol.EngineUnit, len(s.Units))
	for i := range s.Units {
		e.units[s.Units[i].Unit] = &s.Units[i]
	}
}

// Machine is the placement of one group at one daemon. It is a state machine
// without I/O: callers pass events and the time to Step, and carry out the
// actions that Ready returns. It is not safe for concurrent use.
type Machine struct {
	opt       Options
	conf      Config
	endpoints map[string]*endpoint

	held       bool
	takeoverAt time.Time
	fence      uint64  // of the lease held now or last
	obj        *Object // recorded state, as last read or written
	version    storeversion.Version
	read       bool // obj was read under the current fence
	written    bool // obj was written by this daemon under the current fence
	rewrite    bool // obj must be written again: a restored platform has lost it

	busy    bool
	pending *Object
	retryAt time.Time
	dirty   bool // an event has arrived since the last decision
	writes  uint64
	orders  uint64

	demand     map[string]Demand
	lastActive map[string]time.Time
	loadSeenAt map[string]time.Time // when a load was first observed, by loadKey
	readyAt    map[string]time.Time // when a replica became ready, by loadKey
	recordedAt map[uint64]time.Time // when an unload was recorded, by Assignment.Seq
	evictedAt  map[string]time.Time // last eviction for a unit, by unit
	slowdown   float64              // moving average of measured over declared load time
	tokens     float64              // number of loads that may start now
	tokensAt   time.Time
}

// New returns a machine without configuration, lease and recorded state.
func New(opt Options) *Machine {
	return &Machine{
		opt: opt, obj: &Object{}, slowdown: 1, endpoints: map[string]*endpoint{},
		demand: map[string]Demand{}, lastActive: map[string]time.Time{}, loadSeenAt: map[string]time.Time{},
		readyAt: map[string]time.Time{}, recordedAt: map[uint64]time.Time{}, evictedAt: map[string]time.Time{},
	}
}

// Object returns a copy of the recorded state as last read or written.
func (m *Machine) Object() Object { return *m.obj.clone() }

// Fence returns the fence of the lease held now or last; 0: none.
func (m *Machine) Fence() uint64 { return m.fence }

// Quiescent reports whether no order sent by this daemon can still arrive at an
// endpoint.
func (m *Machine) Quiescent(now time.Time) bool {
	for _, ep := range m.endpoints {
		if ep.orderInFlight || now.Before(ep.orderMayArriveUntil) {
			return false
		}
	}
	return true
}

// Step applies one event.
func (m *Machine) Step(now time.Time, e Event) {
	m.dirty = true
	switch e := e.(type) {
	case ConfigChanged:
		m.configure(e.Config)
	case LeaseChanged:
		m.leaseChanged(e)
	case ReadDone:
		m.readDone(now, e)
	case WriteDone:
		m.writeDone(now, e)
	case OrderDone:
		m.orderDone(now, e)
	case Observed:
		m.observed(now, e)
	case EndpointDown:
		if ep := m.endpoints[e.Endpoint]; ep != nil {
			ep.down = true
		}
	case HostLeaving:
		if ep := m.endpoints[e.Endpoint]; ep != nil {
			ep.hostLeaving = e.Leaving
		}
	case DemandChanged:
		m.demandChanged(now, e.Units)
	case FormerQuiescent:
		m.obj.Former = slices.DeleteFunc(m.obj.Former, func(f FormerHolder) bool { return f.Fence == e.Fence })
	}
}

func (m *Machine) configure(c Config) {
	if c.Generation < m.conf.Generation {
		return // never go back to an older configuration
	}
	m.conf = c
	seen := map[string]bool{}
	for _, ec := range c.Service.Endpoints {
		seen[ec.Name] = true
		ep := m.endpoints[ec.Name]
		if ep == nil {
			ep = &endpoint{sentAt: map[string]time.Time{}}
			m.endpoints[ec.Name] = ep
		}
		ep.conf = ec
	}
	for name := range m.endpoints {
		if !seen[name] {
			delete(m.endpoints, name)
		}
	}
}

func (m *Machine) leaseChanged(e LeaseChanged) {
	m.held, m.takeoverAt = e.Held, e.TakeoverAt
	if e.Held && e.Fence != m.fence {
		m.fence = e.Fence
		m.read, m.written, m.rewrite, m.pending = false, false, false, nil
	}
}

func (m *Machine) readDone(now time.Time, e ReadDone) {
	m.busy = false
	if e.Err {
		m.retryAt = now.Add(m.opt.RetryAfter)
		return
	}
	m.read = true
	restored := m.version.Generation < e.Version.Generation
	m.version = e.Version
	if restored && m.written && e.Object.Fence <= m.fence {
		// The restored copy is older than what this holder has recorded.
		m.rewrite, m.pending = true, nil
		return
	}
	m.obj = e.Object.clone()
	// A write whose answer was lost is recognized by its fence and holder.
	m.written = e.Found && e.Object.Fence == m.fence && e.Object.Holder == m.opt.Self
	m.pending = nil
}

func (m *Machine) writeDone(now time.Time, e WriteDone) {
	m.busy = false
	switch e.Outcome {
	case protocol.WriteOK:
		if m.pending == nil {
			return // the lease changed during the write
		}
		m.obj, m.version, m.pending, m.rewrite = m.pending, e.Version, nil, false
		m.written = m.obj.Fence == m.fence
		for _, a := range m.obj.Assignments {
			if _, ok := m.recordedAt[a.Seq]; a.Phase == Unloading && !ok {
				m.recordedAt[a.Seq] = now
			}
		}
	case protocol.WriteConflict, protocol.WriteUnknown:
		m.read = false
		m.retryAt = now
		if e.Outcome == protocol.WriteUnknown {
			m.retryAt = now.Add(m.opt.RetryAfter)
		}
	}
}

func (m *Machine) orderDone(now time.Time, e OrderDone) {
	ep := m.endpoints[e.Order.EndpointID]
	if ep == nil {
		return
	}
	ep.orderInFlight = false
	if e.Order.Kind == protocol.OrderClaim && e.OK && e.Order.Fence>>OrderNumberBits == m.fence {
		ep.claimed = m.fence
	}
	if e.Sent && !e.OK {
		// The order may still arrive until it expires.
		ep.orderMayArriveUntil = now.Add(m.opt.OrderTTL)
	}
}

func (m *Machine) observed(now time.Time, e Observed) {
	ep := m.endpoints[e.State.Endpoint]
	if ep == nil || e.RequestedAt.Before(ep.requestedAt) {
		return
	}
	for _, u := range e.State.Units {
		m.observedUnit(now, ep, u)
	}
	ep.setState(e.State)
	ep.requestedAt, ep.stateFence, ep.down = e.RequestedAt, e.Fence, false
}

// observedUnit measures load times from the changes of a unit's status.
func (m *Machine) observedUnit(now time.Time, ep *endpoint, u protocol.EngineUnit) {
	key := loadKey(u.Unit, ep.conf.Name)
	before := ep.unit(u.Unit)
	switch u.Status {
	case protocol.UnitLoading:
		if before == nil || before.Status != protocol.UnitLoading {
			m.loadSeenAt[key] = now
		}
	case protocol.UnitReady:
		if before != nil && before.Status == protocol.UnitReady {
			return
		}
		m.readyAt[key] = now
		start, ok := m.loadSeenAt[key]
		declared := m.conf.Units[u.Unit].Load
		if ok && declared > 0 && ep.state.Cached[u.Unit] != protocol.TierMemory {
			m.slowdown += learnRate * (now.Sub(start).Seconds()/declared.Seconds() - m.slowdown)
		}
		delete(m.loadSeenAt, key)
	}
}

// learnRate is the weight of the newest load time in the moving average.
const learnRate = 0.3

func loadKey(unit, endpoint string) string { return unit + "@" + endpoint }

func (m *Machine) demandChanged(now time.Time, units map[string]Demand) {
	for unit, d := range units {
		if d.Waiting+d.Unavailable+d.InFlight+d.Arrivals > 0 {
			m.lastActive[unit] = now
		}
		if d.Arrivals > 0 && m.opt.Policy != nil {
			m.opt.Policy.Arrived(unit, d.Arrivals, now)
		}
		if base := m.conf.Units[unit].Base; base != "" && d.Waiting+d.InFlight > 0 {
			m.lastActive[base] = now
		}
	}
	m.demand = units
}

// Ready returns the actions to carry out now.
func (m *Machine) Ready(now time.Time) Ready {
	var r Ready
	if m.conf.Service.Mode != bundle.ModeManaged {
		return r
	}
	if m.held && !m.busy && !now.Before(m.retryAt) {
		r.Read, r.Write = m.record(now)
	}
	r.Orders = m.nextOrders(now)
	return r
}

// record returns the next read or write of the object, if one is due.
func (m *Machine) record(now time.Time) (read bool, w *Write) {
	if !m.read {
		m.busy = true
		return true, nil
	}
	next := m.obj.clone()
	if !m.written {
		// All writes are conditional, so the first write under a new fence makes
		// every later write of a former holder fail.
		if next.Fence != 0 && next.Holder != "" {
			next.Former = append(next.Former, FormerHolder{Holder: next.Holder, Fence: next.Fence})
		}
		next.Holder, next.Fence = m.opt.Self, m.fence
		return false, m.write(now, next)
	}
	if m.rewrite {
		return false, m.write(now, next)
	}
	if !m.dirty {
		return false, nil
	}
	m.dirty = false
	if !m.decide(now, next) {
		return false, nil
	}
	return false, m.write(now, next)
}

func (m *Machine) write(now time.Time, o *Object) *Write {
	m.writes++
	o.WriteID = fmt.Sprintf("%s-%d-%d", m.opt.Self, m.fence, m.writes)
	m.pending, m.busy = o, true
	return &Write{Object: *o.clone(), ExpectedVersion: m.version}
}

// nextOrders returns at most one order for each endpoint.
func (m *Machine) nextOrders(now time.Time) []protocol.Order {
	if m.fence == 0 {
		return nil
	}
	var orders []protocol.Order
	for _, name := range m.endpointNames() {
		ep := m.endpoints[name]
		if ep.orderInFlight || ep.down && now.Sub(ep.sentAt[""]) < m.opt.ResendAfter {
			continue
		}
		if o, ok := m.orderFor(now, ep); ok {
			m.orders++
			o.Fence = m.fence<<OrderNumberBits | m.orders
			o.EndpointID = name
			o.ExpiresAt = now.Add(m.opt.OrderTTL)
			ep.orderInFlight = true
			ep.sentAt[o.Unit] = now
			orders = append(orders, o)
		}
	}
	return orders
}

func (m *Machine) orderFor(now time.Time, ep *endpoint) (protocol.Order, bool) {
	if !m.held {
		return m.orderInOutage(now, ep)
	}
	if ep.claimed != m.fence {
		if now.Sub(ep.sentAt[""]) < m.opt.ResendAfter {
			return protocol.Order{}, false
		}
		return protocol.Order{Kind: protocol.OrderClaim}, true
	}
	if !m.written || ep.stateFence != m.fence {
		return protocol.Order{}, false
	}
	return m.assignmentOrder(now, ep, Unloading, Loaded)
}

// orderInOutage loads recorded assignments after the lease has expired.
//
// Invariant: this is done only if the endpoint rejects old fencing numbers,
// and only for assignments recorded under this daemon's own fence. A new holder
// claims the endpoint first, after which these orders are rejected.
func (m *Machine) orderInOutage(now time.Time, ep *endpoint) (protocol.Order, bool) {
	if !ep.conf.ChecksFencing || !m.written || ep.claimed != m.fence {
		return protocol.Order{}, false
	}
	return m.assignmentOrder(now, ep, Loaded)
}

func (m *Machine) assignmentOrder(now time.Time, ep *endpoint, phases ...Phase) (protocol.Order, bool) {
	for _, phase := range phases {
		for i := range m.obj.Assignments {
			a := &m.obj.Assignments[i]
			if a.Endpoint != ep.conf.Name || a.Phase != phase || now.Sub(ep.sentAt[a.Unit]) < m.opt.ResendAfter {
				continue
			}
			if o, ok := m.needed(ep, a); ok {
				return o, true
			}
		}
	}
	return protocol.Order{}, false
}

// needed returns the order that brings the endpoint to the state that a wants,
// if one is needed and possible now.
func (m *Machine) needed(ep *endpoint, a *Assignment) (protocol.Order, bool) {
	o := protocol.Order{Unit: a.Unit, Version: a.Version, Base: a.Base, MemoryMiB: a.MemoryMiB, Seq: a.Seq}
	u := ep.unit(a.Unit)
	switch {
	case a.Phase == Unloading && u != nil && u.Status != protocol.UnitUnloading:
		o.Kind = protocol.OrderUnload
		return o, true
	case a.Phase == Loaded && u == nil && !ep.leaving():
		if a.Base != "" && !ready(ep, a.Base) {
			return o, false
		}
		o.Kind = protocol.OrderLoad
		return o, true
	}
	return o, false
}

func ready(ep *endpoint, unit string) bool {
	u := ep.unit(unit)
	return u != nil && u.Status == protocol.UnitReady
}

func (m *Machine) endpointNames() []string {
	names := make([]string, 0, len(m.endpoints))
	for name := range m.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

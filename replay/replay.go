// Package replay runs seeded arrivals against the decision code itself
// (placement, keep-alive, admission) in virtual time, with a simple model of the
// endpoints. It measures cold starts, idle accelerator hours and the worth of the
// served requests. It does not simulate a cluster: there is one coordinator, and
// nothing fails.
package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/admission"
	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Admission is the order in which waiting requests are served.
type Admission int

// The orders of service.
const (
	ByWorth Admission = iota
	FirstComeFirstServed
)

// Options describe one run.
type Options struct {
	Bundle      *bundle.Bundle
	Service     string // the engine service to replay
	Arrivals    []Arrival
	Length      time.Duration
	Policy      placement.Policy
	Eviction    placement.Eviction
	Admission   Admission
	ServiceTime time.Duration // time that an engine takes for each request
	QueueLen    int           // for each unit
}

// Arrival is one request.
type Arrival struct {
	At    time.Duration // since the start of the run
	Unit  string
	Class string
}

// ClassResult counts the requests of one class of callers.
type ClassResult struct {
	Arrived, Served, Refused int
}

// Result holds the measurements of one run.
type Result struct {
	Requests  int
	Served    int
	Refused   int
	Late      int             // answered after the deadline; must be 0
	Cold      []time.Duration // waits of served requests whose unit was not ready when they arrived, sorted
	Waits     []time.Duration // of all served requests, sorted
	IdleHours float64         // accelerator hours of ready replicas without requests, each weighted by its share of the endpoint's memory
	Loads     int
	Worth     int64 // sum of the worth of served requests
	Classes   map[string]ClassResult
}

// Quantile returns the q-quantile of sorted waits; zero if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Sum returns the sum of waits.
func Sum(waits []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, w := range waits {
		total += w
	}
	return total
}

// tick is the step of virtual time while requests wait or run or models load.
const tick = 250 * time.Millisecond

// idleTick is the longest step of virtual time while the system is idle.
const idleTick = 2 * time.Second

// unitState is the state of one unit at one endpoint.
type unitState struct {
	protocol.EngineUnit
	readyAt time.Time // end of the load
}

type endpoint struct {
	conf    bundle.Endpoint
	units   map[string]*unitState
	running int
	dirty   bool // changed since the last reported state
	version uint64
}

type request struct {
	Arrival
	at       time.Time
	deadline time.Time
	worth    int64
	cold     bool
}

type running struct {
	ends time.Time
	ep   *endpoint
	unit string
}

type run struct {
	opt       Options
	m         *placement.Machine
	now       time.Time
	endpoints []*endpoint
	queues    map[string]*admission.Queue
	requests  map[uint64]*request
	active    []running
	inFlight  map[string]int
	arrived   map[string]int
	res       Result
	nextID    uint64
	loading   int
}

// start is a Monday, midnight UTC.
var start = time.Date(2026, 11, 30, 0, 0, 0, 0, time.UTC)

// Run replays the arrivals, which must be sorted by time.
func Run(opt Options) Result {
	r := &run{
		opt: opt, now: start, queues: map[string]*admission.Queue{}, requests: map[uint64]*request{},
		inFlight: map[string]int{}, arrived: map[string]int{}, res: Result{Classes: map[string]ClassResult{}},
	}
	r.m = placement.New(placement.Options{
		Self: "replay", OrderTTL: 3 * time.Second, ResendAfter: time.Second, RetryAfter: 250 * time.Millisecond,
		Policy: opt.Policy, Eviction: opt.Eviction,
	})
	conf := placement.NewConfig(1, opt.Bundle, opt.Service)
	r.m.Step(r.now, placement.ConfigChanged{Config: conf})
	for _, e := range conf.Service.Endpoints {
		r.endpoints = append(r.endpoints, &endpoint{conf: e, units: map[string]*unitState{}, dirty: true})
	}
	r.m.Step(r.now, placement.LeaseChanged{Held: true, Fence: 1})
	next := 0
	for end := start.Add(opt.Length); r.now.Before(end); {
		for next < len(opt.Arrivals) && !start.Add(opt.Arrivals[next].At).After(r.now) {
			r.arrive(opt.Arrivals[next])
			next++
		}
		r.step()
		step := tick
		if r.idle() {
			step = idleTick
			if next < len(opt.Arrivals) {
				step = max(tick, min(step, start.Add(opt.Arrivals[next].At).Sub(r.now)))
			}
		}
		r.account(step)
		r.now = r.now.Add(step)
	}
	slices.Sort(r.res.Cold)
	slices.Sort(r.res.Waits)
	return r.res
}

func (r *run) idle() bool { return len(r.requests) == 0 && len(r.active) == 0 && r.loading == 0 }

func (r *run) arrive(a Arrival) {
	class := r.opt.Bundle.Class(a.Class)
	r.nextID++
	req := &request{Arrival: a, at: start.Add(a.At), deadline: start.Add(a.At).Add(class.Timeout.D()), worth: class.Worth, cold: !r.ready(a.Unit)}
	r.requests[r.nextID] = req
	r.arrived[a.Unit]++
	r.res.Requests++
	c := r.res.Classes[a.Class]
	c.Arrived++
	r.res.Classes[a.Class] = c
	worth := req.worth
	if r.opt.Admission == FirstComeFirstServed {
		worth = -int64(r.nextID)
	}
	r.refuse(r.queue(a.Unit).Push(r.now, admission.Item{ID: r.nextID, Worth: worth, Deadline: req.deadline}, r.estimate(a.Unit)))
}

func (r *run) queue(unit string) *admission.Queue {
	q := r.queues[unit]
	if q == nil {
		q = admission.NewQueue(r.opt.QueueLen)
		r.queues[unit] = q
	}
	return q
}

func (r *run) ready(unit string) bool {
	for _, e := range r.endpoints {
		if u := e.units[unit]; u != nil && u.Status == protocol.UnitReady {
			return true
		}
	}
	return false
}

func (r *run) estimate(unit string) admission.Estimate {
	w := r.m.Estimate(unit, r.now)
	slots := 0
	for _, e := range r.endpoints {
		if u := e.units[unit]; u != nil {
			slots += e.conf.Slots
		}
	}
	return admission.Estimate{Ready: w.Time, Service: r.opt.ServiceTime, Slots: float64(slots), RefuseReason: w.Reason, RetryAfter: w.RetryAfter}
}

func (r *run) refuse(list []admission.Refused) {
	for _, ref := range list {
		req := r.requests[ref.ID]
		delete(r.requests, ref.ID)
		r.res.Refused++
		c := r.res.Classes[req.Class]
		c.Refused++
		r.res.Classes[req.Class] = c
	}
}

// step advances the system to the present time: it ends requests, completes loads,
// makes and carries out decisions, starts requests and refuses those that cannot be
// served in time.
func (r *run) step() {
	r.finish()
	r.loading = 0
	for _, e := range r.endpoints {
		r.progress(e)
	}
	r.decide()
	r.dispatch()
	for unit, q := range r.queues {
		if q.Len() > 0 {
			r.refuse(q.Review(r.now, r.estimate(unit)))
		}
	}
}

// finish ends the requests whose time is over.
func (r *run) finish() {
	r.active = slices.DeleteFunc(r.active, func(a running) bool {
		if a.ends.After(r.now) {
			return false
		}
		a.ep.running--
		a.ep.dirty = true
		r.inFlight[a.unit]--
		if u := a.ep.units[a.unit]; u != nil {
			u.Running--
		}
		return true
	})
}

// progress completes an endpoint's loads and unloads, and reports its state to the
// placement machine if it has changed.
func (r *run) progress(e *endpoint) {
	for name, u := range e.units {
		switch {
		case u.Status == protocol.UnitLoading && !u.readyAt.After(r.now):
			u.Status = protocol.UnitReady
			e.dirty = true
		case u.Status == protocol.UnitLoading:
			r.loading++
		case u.Status == protocol.UnitUnloading && u.Running == 0:
			delete(e.units, name)
			e.dirty = true
		}
	}
	if !e.dirty {
		return
	}
	e.dirty = false
	e.version++
	s := protocol.EngineState{Endpoint: e.conf.Name, Version: e.version, MemoryMiB: e.conf.MemoryMiB, Slots: e.conf.Slots}
	for _, u := range e.units {
		s.Units = append(s.Units, u.EngineUnit)
	}
	slices.SortFunc(s.Units, func(a, b protocol.EngineUnit) int { return int(a.Seq) - int(b.Seq) })
	r.m.Step(r.now, placement.Observed{State: s, Fence: r.m.ClaimedFence(e.conf.Name), RequestedAt: r.now})
}

// decide passes the demand to the placement machine and carries out the actions that
// it returns.
func (r *run) decide() {
	demand := map[string]placement.Demand{}
	for unit, q := range r.queues {
		d := placement.Demand{Waiting: q.Len(), InFlight: r.inFlight[unit], Arrivals: r.arrived[unit]}
		for _, it := range q.Items() {
			d.Worth = max(d.Worth, r.requests[it.ID].worth)
		}
		if d != (placement.Demand{}) {
			demand[unit] = d
		}
	}
	clear(r.arrived)
	r.m.Step(r.now, placement.DemandChanged{Units: demand})
	version := storeversion.Version{Revision: 1}
	for range 4 {
		ready := r.m.Ready(r.now)
		if ready.Read {
			r.m.Step(r.now, placement.ReadDone{Version: version})
		}
		if ready.Write != nil {
			version.Revision++
			r.m.Step(r.now, placement.WriteDone{Outcome: protocol.WriteOK, Version: version})
		}
		for _, o := range ready.Orders {
			r.order(o)
		}
	}
}

func (r *run) order(o protocol.Order) {
	for _, e := range r.endpoints {
		if e.conf.Name != o.EndpointID {
			continue
		}
		e.dirty = true
		switch o.Kind {
		case protocol.OrderLoad:
			r.load(e, o)
		case protocol.OrderUnload:
			if u := e.units[o.Unit]; u != nil {
				u.Status = protocol.UnitUnloading
			}
		}
	}
	r.m.Step(r.now, placement.OrderDone{Order: o, Sent: true, OK: true})
}

func (r *run) load(e *endpoint, o protocol.Order) {
	if e.units[o.Unit] != nil {
		return
	}
	var loadTime time.Duration
	for _, u := range r.opt.Bundle.Units() {
		if u.Name == o.Unit {
			loadTime = u.Load
		}
	}
	r.res.Loads++
	r.loading++
	e.units[o.Unit] = &unitState{readyAt: r.now.Add(loadTime), EngineUnit: protocol.EngineUnit{
		Unit: o.Unit, Version: o.Version, Base: o.Base, Status: protocol.UnitLoading, MemoryMiB: o.MemoryMiB, Seq: o.Seq,
	}}
}

// dispatch starts waiting requests, the best first, while there are free slots for
// them.
func (r *run) dispatch() {
	for {
		unit, ep := r.best()
		if ep == nil {
			return
		}
		it, ok, refused := r.queue(unit).Pop(r.now, r.estimate(unit))
		r.refuse(refused)
		if !ok {
			continue
		}
		req := r.requests[it.ID]
		delete(r.requests, it.ID)
		ep.running++
		ep.units[unit].Running++
		ep.dirty = true
		r.inFlight[unit]++
		r.active = append(r.active, running{ends: r.now.Add(r.opt.ServiceTime), ep: ep, unit: unit})
		r.served(req)
	}
}

// best returns the unit whose first request is to start next, and the endpoint for it;
// a nil endpoint if no waiting request can start.
func (r *run) best() (string, *endpoint) {
	var unit string
	var at *endpoint
	var first admission.Item
	for name, q := range r.queues {
		if q.Len() == 0 {
			continue
		}
		it := q.Items()[0]
		if at != nil && (it.Worth < first.Worth || it.Worth == first.Worth && it.ID > first.ID) {
			continue
		}
		for _, e := range r.endpoints {
			if u := e.units[name]; u != nil && u.Status == protocol.UnitReady && e.running < e.conf.Slots {
				unit, at, first = name, e, it
				break
			}
		}
	}
	return unit, at
}

func (r *run) served(req *request) {
	wait := r.now.Sub(req.at)
	r.res.Served++
	r.res.Worth += req.worth
	r.res.Waits = append(r.res.Waits, wait)
	if req.cold {
		r.res.Cold = append(r.res.Cold, wait)
	}
	if r.now.Add(r.opt.ServiceTime).After(req.deadline) {
		r.res.Late++
	}
	c := r.res.Classes[req.Class]
	c.Served++
	r.res.Classes[req.Class] = c
}

// account adds the idle accelerator hours of a step: for each idle replica, its share of
// the endpoint's memory.
func (r *run) account(step time.Duration) {
	for _, e := range r.endpoints {
		for _, u := range e.units {
			if u.Running == 0 && u.Status == protocol.UnitReady {
				r.res.IdleHours += step.Hours() * float64(u.MemoryMiB) / float64(e.conf.MemoryMiB)
			}
		}
	}
}

// Seeded returns a source of random numbers that depends on the seed only.
func Seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed+1)) }

package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// replica is a model that is loaded, or being loaded, at an engine.
type replica struct {
	adapters map[string]*adapter
	// readyAt is when requests can start; it is in the past for a loaded model.
	readyAt time.Time
	// confirmed reports whether the engine has listed the model in a report since the load
	// was ordered.
	confirmed bool
	lastUse   time.Time
	lastNamed time.Time // last time that an answer directed a request here
	keepUntil time.Time // no unload before: a caller was promised the model
}

type adapter struct {
	readyAt time.Time
	lastUse time.Time
	// unloading reports that the unload was accepted. The adapter occupies its slot until a
	// report no longer lists it.
	leaving bool
}

// pendingOrder is an order whose completion has not been observed yet.
type pending struct {
	order    Order
	answered bool      // the engine carries it out
	endsAt   time.Time // expected end
	unsureAt time.Time // when the wait for an answer ended; zero before
	store    storeLoad // of a load from the store
	askedAt  time.Time // last request for the load; zero if there was none
}

func (o *pending) loadsFromStore() bool {
	return o.order.Level == Store && !o.order.Unload && o.order.Adapter == ""
}

// engineState is the planner's view of one incarnation of an engine.
type worker struct {
	life     fleet.Incarnation
	endpoint *fleet.Endpoint
	known    bool      // sequence and models are up to date
	down     bool      // does not answer; gets no orders until it reports
	silent   int       // consecutive probes without a report
	heardAt  time.Time // time of the last report
	sequence uint64
	models   map[string]*replica
	inMemory map[string]bool
	onDisk   map[string]bool

	order    *pending
	adapters []adapterWant // adapters to load, in order
	notTo    time.Time     // no order may be sent earlier
	refused  int           // consecutive orders that found the engine busy
	// unloadedAt holds when unloads were accepted, by model. Older descriptions of the
	// engine still list the model.
	unloaded map[string]time.Time
	probe    time.Time // time of the next probe; zero if none is due
	asking   bool      // a probe is in progress
	running  int       // requests that run here according to the daemons
	sent     int       // requests directed here by an answer that no daemon has reported yet
	late     []lateOrder
	// afterUnload reports that no order has been answered since the last unload.
	afterUnload bool
	// fullUntil is the time until which the engine counts as full under its rate limit.
	fullUntil time.Time
	// unknownLateOrder reports that a former coordinator may have sent an order to an
	// earlier incarnation of the engine that is not known here and may still be carried
	// out.
	unknownLate bool
}

// adapterWant is an adapter that a request waits for.
type adapterWant struct{ model, adapter string }

// wantedModel is a model to be loaded.
type wanted struct {
	asked time.Time // last request for it
	// extra reports that the model is loaded already and needs more replicas.
	extra bool
}

// reportedDemand is the last demand report of one daemon.
type demand struct {
	Demand
	at time.Time
}

// Planner plans the loaded models of one service. It is not safe for concurrent use.
//
// Invariants: an engine has at most one order whose end is unknown; an order carries the
// number of orders that its decision was based on, so that it has no effect on an engine in
// any other state; the models and adapters that an engine holds or may come to hold never
// exceed its memory and adapter slots.
type Planner struct {
	opt       Options
	conf      Config
	largest   float64 // size of the largest model, in MB
	workers   map[string]*worker
	lease     Lease
	tookOver  time.Time // time at which this daemon acquired the lease
	demands   map[string]*demand
	wants     map[string]*wanted   // models to load
	values    map[string]*value    // value of the recent requests, by model
	pressures map[string]*pressure // of models in use
	slots     []slot               // last schedule
	slotsAt   time.Time
	starts    []time.Time      // starts of loads from the store, newest last
	grownAt   time.Time        // last time that a new engine appeared
	copiesAt  time.Time        // next search for models without a nearby copy
	sorted    []*worker        // by id, so that decisions are deterministic
	draft     draft            // state of the last planning step
	places    StoreConcurrency // learned concurrency of the weight store
	// unloadTime is the learned estimate of how long engines take to carry out an unload.
	unloadTakes time.Duration
	limits      map[string]limitedLife // reported by engines, by id
	sent        []sentRequest
	watchedAt   time.Time // last update of the concurrency of loads in progress
}

// New returns a planner without any state.
func New(opt Options) *Planner {
	return &Planner{opt: opt, places: newStorePlaces(opt.InitialStoreConcurrency), workers: map[string]*worker{}, limits: map[string]limitedLife{}, demands: map[string]*demand{}, wants: map[string]*wanted{}, values: map[string]*value{}, pressures: map[string]*pressure{}}
}

// Configure sets the service to plan for.
func (p *Planner) Configure(c Config) {
	p.conf, p.largest = c, 0
	if c.Engine == nil {
		return
	}
	for _, m := range c.Engine.Models {
		p.largest = max(p.largest, m.SizeMB)
	}
}

// Lease describes whether this daemon holds the service's lease.
type Lease struct {
	Held  bool
	Fence uint64
	First bool // no daemon has held the lease before
	// OrdersFrom is the earliest time for the first order. A whole lease term then
	// separates it from the last order of the former holder.
	OrdersFrom time.Time
}

// SetLease sets whether this daemon holds the lease. When the lease is acquired, or its
// fence changes, all engines are probed again before they get orders.
func (p *Planner) SetLease(now time.Time, l Lease) {
	if l.Held && !p.lease.Held || l.Fence != p.lease.Fence {
		p.tookOver = now
		for _, w := range p.workers {
			if o := w.order; o != nil && !o.answered {
				w.mayComeLate(now, o.order)
			}
			w.order, w.adapters, w.known = nil, nil, false
			w.probe = now
		}
	}
	p.lease = l
}

// SetEndpoints replaces the list of engines by those of the current view.
func (p *Planner) SetEndpoints(now time.Time, list []*fleet.Endpoint) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		w := p.workers[e.ID]
		switch {
		case w == nil:
			w = newWorker(now, e.Incarnation())
			p.workers[e.ID] = w
			p.grownAt = now
		case e.Incarnation().Before(w.life):
			continue // the engine has reported a later incarnation itself
		case w.life.Before(e.Incarnation()):
			w = p.reborn(now, w, e.Incarnation())
		}
		known := w.endpoint != nil && w.endpoint.Version == e.Version
		w.endpoint = e
		if !known {
			p.adoptEntry(now, w)
		}
	}
	for id := range p.workers {
		if !present[id] {
			delete(p.workers, id)
		}
	}
	p.sortWorkers()
}

func newWorker(now time.Time, life fleet.Incarnation) *worker {
	return &worker{life: life, models: map[string]*replica{}, inMemory: map[string]bool{}, onDisk: map[string]bool{}, unloaded: map[string]time.Time{}, probe: now}
}

// sortEngines sets the order in which engines are visited.
func (p *Planner) sortWorkers() {
	p.sorted = p.sorted[:0]
	for _, w := range p.workers {
		p.sorted = append(p.sorted, w)
	}
	slices.SortFunc(p.sorted, func(a, b *worker) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
}

// ReceiveReport updates the state of an engine from its report.
func (p *Planner) ReceiveReport(now time.Time, r Report) {
	w := p.workers[r.Endpoint.ID]
	if w == nil || r.Endpoint.Before(w.life) {
		return
	}
	if w.life.Before(r.Endpoint) {
		w = p.rebornUnlisted(now, w, r.Endpoint)
	}
	if w.life.StartUnixMs == 0 {
		w.life = r.Endpoint
	}
	w.asking, w.down, w.silent, w.heardAt = false, false, 0, now
	w.probe = time.Time{}
	p.adopt(now, w, r)
	if !w.known || w.order != nil {
		w.probe = now.Add(reportLag)
	}
}

// ReportFailed records that an engine did not answer a probe.
func (p *Planner) ReportFailed(now time.Time, life fleet.Incarnation) {
	if w := p.workerOf(life); w != nil {
		w.asking = false
		w.silent++
		w.down = w.down || w.silent >= silentReports
		w.probe = now.Add(min(probeMost, reportLag<<min(w.silent, probeDoublings)))
	}
}

func (w *worker) level(model string) Level {
	switch {
	case w.models[model] != nil:
		return Resident
	case w.inMemory[model]:
		return Memory
	case w.onDisk[model]:
		return Disk
	}
	return Store
}

func (w *worker) usable() bool { return !w.endpoint.Leaving && !w.down }

// ReceiveDemand replaces the demand of a daemon by its new report.
func (p *Planner) ReceiveDemand(now time.Time, daemon string, d Demand) {
	d.Running = p.ofPresentLives(d.Running)
	p.countDelta(daemon, d.Running)
	p.forgetSent(now, daemon)
	p.demands[daemon] = &demand{Demand: d, at: now}
	for place, first := range d.FirstEvents {
		p.pressed(now, place.Model, first)
	}
	for place, n := range d.Running {
		w := p.workers[place.Endpoint.ID]
		if n == 0 || w == nil {
			continue
		}
		model, name, _ := strings.Cut(place.Model, "/")
		r := w.models[model]
		if r == nil {
			continue
		}
		r.lastUse = now
		if a := r.adapters[name]; a != nil {
			a.lastUse = now
		}
	}
}

// needed returns the number of replicas that the running requests of a model need.
func needed(active int, perReplica float64) int {
	switch {
	case active == 0:
		return 0
	case active < severalFrom:
		return 1
	}
	return 1 + int(math.Ceil(float64(active)/perReplica))
}

func (w *worker) plans(model, adapter string) bool {
	return slices.Contains(w.adapters, adapterWant{model, adapter})
}

// memory returns the memory in MB that the engine's models and adapters occupy, including
// those that are being loaded.
func (p *Planner) memory(w *worker) float64 {
	sum := 0.0
	for name, r := range w.models {
		m := p.conf.Engine.Models[name]
		sum += m.SizeMB + float64(len(r.adapters))*m.AdapterMB
	}
	for _, l := range w.late {
		sum += w.unplanned(l, p.conf.Engine)
	}
	if w.unknownLate {
		sum += p.largest
	}
	return sum
}

func set(list []string) map[string]bool {
	s := make(map[string]bool, len(list))
	for _, v := range list {
		s[v] = true
	}
	return s
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

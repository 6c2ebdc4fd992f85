package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// replica is a model at an engine, loaded or on its way.
type replica struct {
	adapters map[string]*adapter
	// readyAt is when requests can start; in the past for a loaded model.
	readyAt time.Time
	// confirmed says that the engine itself has named the model since the load
	// was ordered.
	confirmed bool
	lastUse   time.Time
	lastNamed time.Time // for a request, by an answer
	keepUntil time.Time // promised to a caller until then
}

type adapter struct {
	readyAt time.Time
	lastUse time.Time
	// leaving says that its unload was accepted; it holds its slot until a
	// report does not name it any more.
	leaving bool
}

// pending is an order that the engine has not been seen to complete.
type pending struct {
	order    Order
	answered bool      // accepted; now in progress
	endsAt   time.Time // expected
	unsureAt time.Time // when the answer was given up on; zero before
	store    storeLoad // of a load from the store
	askedAt  time.Time // when requests asked for the load last; zero if none did
}

func (o *pending) loadsFromStore() bool {
	return o.order.Level == Store && !o.order.Unload && o.order.Adapter == ""
}

// worker is what the planner believes of one engine, in one of its lives.
type worker struct {
	life     fleet.Incarnation
	endpoint *fleet.Endpoint
	known    bool      // its sequence and models are known
	down     bool      // it does not answer; it gets nothing until it reports
	silent   int       // reports that did not come, in a row
	heardAt  time.Time // of the last report
	sequence uint64
	models   map[string]*replica
	inMemory map[string]bool
	onDisk   map[string]bool

	order    *pending
	adapters []adapterWant // to be loaded, in order
	notTo    time.Time     // no order before then
	refused  int           // orders in a row that found the engine busy
	// unloaded is when unloads were accepted, by model; older descriptions
	// still name the model.
	unloaded map[string]time.Time
	probe    time.Time // next report is wanted then; zero: none
	asking   bool      // a report is on its way
	running  int       // requests that daemons say run here
	sent     int       // requests that an answer sent here and that no daemon has told of yet
	late     []lateOrder
	// afterUnload says that no order has been answered since the last unload.
	afterUnload bool
	// fullUntil is until when the engine counts as one without room within its limit.
	fullUntil time.Time
	// unknownLate says that a former coordinator may have sent an order to an earlier
	// life of the engine, which is not known here and may still be carried out.
	unknownLate bool
}

// adapterWant is an adapter that a request waits for.
type adapterWant struct{ model, adapter string }

// wanted is a model that is to be loaded.
type wanted struct {
	asked time.Time // by a request, last
	// extra says that the model is held already and more replicas are needed.
	extra bool
}

// demand is what one daemon said last.
type demand struct {
	Demand
	at time.Time
}

// Planner is the residency of one service. It is not safe for concurrent use.
//
// Invariants: an engine has at most one order without a known end; an order
// names the number of orders that its decision was based on, so that it has no
// effect on any other state; the models and adapters that an engine holds or
// may come to hold never exceed its memory and adapter slots.
type Planner struct {
	opt       Options
	conf      Config
	largest   float64 // model, in MB
	workers   map[string]*worker
	lease     Lease
	tookOver  time.Time // when the lease was taken
	demands   map[string]*demand
	wants     map[string]*wanted   // models to be loaded
	values    map[string]*value    // of what was wanted lately, by model
	pressures map[string]*pressure // of models in use
	slots     []slot               // the schedule as last made
	slotsAt   time.Time
	starts    []time.Time      // loads from the store, newest last
	grownAt   time.Time        // when an engine was new last
	copiesAt  time.Time        // models without a near copy are looked for then
	sorted    []*worker        // by id, so that decisions repeat
	draft     draft            // of the last step
	places    StoreConcurrency // of the weight store
	// unloadTakes is how long engines take to carry out an unload, as was learned.
	unloadTakes time.Duration
	limits      map[string]limitedLife // that engines name, by id
	sent        []sentRequest
	watchedAt   time.Time // when its loads were looked at last
}

// New returns a planner that knows nothing.
func New(opt Options) *Planner {
	return &Planner{opt: opt, places: newStorePlaces(opt.InitialStoreConcurrency), workers: map[string]*worker{}, limits: map[string]limitedLife{}, demands: map[string]*demand{}, wants: map[string]*wanted{}, values: map[string]*value{}, pressures: map[string]*pressure{}}
}

// Configure takes the service's models.
func (p *Planner) Configure(c Config) {
	p.conf, p.largest = c, 0
	if c.Engine == nil {
		return
	}
	for _, m := range c.Engine.Models {
		p.largest = max(p.largest, m.SizeMB)
	}
}

// Lease is whether this daemon holds the lease.
type Lease struct {
	Held  bool
	Fence uint64
	First bool // nobody has held it before
	// OrdersFrom is when the first order may be sent, so that a former holder's last one is a
	// whole lease term away.
	OrdersFrom time.Time
}

// Lease takes whether this daemon holds the lease.
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

// Endpoints takes the present view.
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
			continue // the engine itself has told of a later life
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

// sortWorkers makes the order in which engines are gone through.
func (p *Planner) sortWorkers() {
	p.sorted = p.sorted[:0]
	for _, w := range p.workers {
		p.sorted = append(p.sorted, w)
	}
	slices.SortFunc(p.sorted, func(a, b *worker) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
}

// Reported takes an engine's report.
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

// ReportFailed takes the failure to get a report.
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

// Demand takes what a daemon says of its requests.
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

// needed is the number of replicas that a model's running requests ask for.
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

// memory returns what the engine's models and adapters take, in MB, with
// those that are on their way.
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

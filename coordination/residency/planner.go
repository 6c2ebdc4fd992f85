package residency

import (
	"cmp"
	"slices"
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
	keepUntil time.Time // promised to a caller until then
}

type adapter struct {
	readyAt time.Time
	lastUse time.Time
}

// pending is an order that the engine has not been seen to complete.
type pending struct {
	order    Order
	level    Level
	answered bool      // accepted; now in progress
	endsAt   time.Time // expected
	unsureAt time.Time // when the answer was given up on; zero before
	askedAt  time.Time // when requests asked for the load last; zero if none did
}

func (o *pending) loadsFromStore() bool {
	return o.level == Store && !o.order.Unload && o.order.Adapter == ""
}

// worker is what the planner believes of one engine.
type worker struct {
	endpoint *fleet.Endpoint
	known    bool // its sequence and models are known
	down     bool // it does not answer; it gets nothing until it reports
	silent   int  // reports that did not come, in a row
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
	opt        Options
	conf       Config
	workers    map[string]*worker
	held       bool
	fence      uint64
	ordersFrom time.Time
	demands    map[string]*demand
	wants      map[string]*wanted // models to be loaded
	values     map[string]*value  // of what was wanted lately, by model
	slots      []slot             // the schedule as last made
	slotsAt    time.Time
	starts     []time.Time // loads from the store, newest last
	grownAt    time.Time   // when an engine was new last
	sorted     []*worker   // by id, so that decisions repeat
}

// New returns a planner that knows nothing.
func New(opt Options) *Planner {
	return &Planner{opt: opt, workers: map[string]*worker{}, demands: map[string]*demand{}, wants: map[string]*wanted{}, values: map[string]*value{}}
}

// Configure takes the service's models.
func (p *Planner) Configure(c Config) { p.conf = c }

// Lease reports whether this daemon holds the lease. No order is sent before
// from, so that a former holder's last order is a whole lease term away.
func (p *Planner) Lease(now time.Time, held bool, fence uint64, from time.Time) {
	if held && !p.held || fence != p.fence {
		for _, w := range p.workers {
			w.order, w.adapters, w.known = nil, nil, false
			w.probe = now
		}
	}
	p.held, p.fence, p.ordersFrom = held, fence, from
}

// Held reports whether the planner acts under a lease.
func (p *Planner) Held() bool { return p.held }

// Endpoints takes the present view.
func (p *Planner) Endpoints(now time.Time, list []*fleet.Endpoint) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		w := p.workers[e.ID]
		if w == nil {
			w = &worker{models: map[string]*replica{}, inMemory: map[string]bool{}, onDisk: map[string]bool{}, unloaded: map[string]time.Time{}, probe: now}
			p.workers[e.ID] = w
			p.grownAt = now
		}
		older := w.endpoint != nil && w.endpoint.Revision == e.Revision
		w.endpoint = e
		if !older {
			p.adoptEntry(now, w)
		}
	}
	for id := range p.workers {
		if !present[id] {
			delete(p.workers, id)
		}
	}
	p.sorted = p.sorted[:0]
	for _, w := range p.workers {
		p.sorted = append(p.sorted, w)
	}
	slices.SortFunc(p.sorted, func(a, b *worker) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
}

// adoptEntry takes an engine's entry in the store. An entry does not say which
// orders it knows of, so it counts only until a report has come.
func (p *Planner) adoptEntry(now time.Time, w *worker) {
	for _, m := range w.endpoint.OnDisk {
		w.onDisk[m] = true
	}
	if w.known {
		return
	}
	w.inMemory = set(w.endpoint.InMemory)
	seen := map[string]bool{}
	for _, m := range w.endpoint.Models {
		seen[m.Model] = true
		p.adoptModel(now, w, m)
	}
	for name := range w.models {
		if !seen[name] {
			delete(w.models, name)
		}
	}
}

// Reported takes an engine's report.
func (p *Planner) Reported(now time.Time, r Report) {
	w := p.workers[r.EndpointID]
	if w == nil {
		return
	}
	w.asking, w.down, w.silent = false, false, 0
	w.probe = time.Time{}
	p.adopt(now, w, r)
	if !w.known || w.order != nil {
		w.probe = now.Add(reportLag)
	}
}

// ReportFailed takes the failure to get a report.
func (p *Planner) ReportFailed(now time.Time, id string) {
	if w := p.workers[id]; w != nil {
		w.asking = false
		w.silent++
		w.down = w.down || w.silent >= silentReports
		w.probe = now.Add(min(probeMost, reportLag<<min(w.silent, probeDoublings)))
	}
}

// adopt takes a report. One from before the last accepted order says nothing.
func (p *Planner) adopt(now time.Time, w *worker, rep Report) {
	if w.known && rep.Sequence < w.sequence {
		return
	}
	newer := rep.Sequence > w.sequence || !w.known
	if o := w.order; o != nil {
		p.adoptDuring(now, w, o, rep)
		if w.order != nil {
			return
		}
	}
	// What an engine will hold after an order that this planner has not given
	// is not in the report; it becomes known when the engine is done.
	foreign := rep.Busy && newer
	w.sequence, w.known = rep.Sequence, !foreign
	w.inMemory, w.onDisk = set(rep.InMemory), set(rep.OnDisk)
	if rep.Busy {
		w.notTo = now.Add(retryBusy)
		w.probe = now.Add(reportLag)
	}
	seen := map[string]bool{}
	for _, m := range rep.Models {
		seen[m.Model] = true
		if newer || !w.stillNamed(now, m.Model, rep.Busy) {
			p.adoptModel(now, w, m)
		}
	}
	for name, r := range w.models {
		// Without an accepted order between, only a report that is younger
		// than the load tells that a model is not there.
		if !seen[name] && (newer || !rep.Busy && now.After(r.readyAt.Add(reportLag))) {
			delete(w.models, name)
		}
	}
	for _, c := range rep.Coming {
		if r := w.models[c.Model]; r != nil && r.adapters[c.Adapter] == nil {
			r.adapters[c.Adapter] = &adapter{readyAt: now.Add(adapterLoad), lastUse: now}
		}
	}
}

// stillNamed reports whether a report names a model only because the unload
// that this daemon has ordered is not done or not reported yet.
func (w *worker) stillNamed(now time.Time, model string, busy bool) bool {
	at, ok := w.unloaded[model]
	if !ok {
		return false
	}
	if busy || now.Before(at.Add(2*reportLag)) {
		return true
	}
	delete(w.unloaded, model)
	return false
}

func (p *Planner) adoptModel(now time.Time, w *worker, m fleet.Loaded) {
	r := w.models[m.Model]
	if r == nil {
		r = &replica{adapters: map[string]*adapter{}}
		w.models[m.Model] = r
	}
	r.confirmed = true
	if r.readyAt.After(now) {
		r.readyAt = now
	}
	for _, a := range m.Adapters {
		if r.adapters[a] == nil {
			r.adapters[a] = &adapter{}
		}
	}
	for a, state := range r.adapters {
		if !slices.Contains(m.Adapters, a) && now.After(state.readyAt.Add(2*time.Second)) && now.After(state.lastUse.Add(2*time.Second)) {
			delete(r.adapters, a)
		}
	}
}

// adoptDuring looks whether a report tells how the order ended.
func (p *Planner) adoptDuring(now time.Time, w *worker, o *pending, rep Report) {
	if rep.Sequence <= o.order.Expect {
		if !o.answered && !o.unsureAt.IsZero() && now.After(o.unsureAt.Add(reportLag)) {
			p.dropOrder(w) // not accepted so far; its expectation guards a repeat
		}
		return
	}
	o.answered = true
	has := slices.ContainsFunc(rep.Models, func(m fleet.Loaded) bool { return m.Model == o.order.Model })
	switch {
	case rep.Busy:
		o.endsAt = maxTime(o.endsAt, now.Add(retryBusy))
	case o.order.Unload && !has, !o.order.Unload && has:
		p.endOrder(now, w)
	case now.After(o.endsAt.Add(loadOverdue)):
		p.dropOrder(w)
	}
}

// endOrder records that the engine has completed its order.
func (p *Planner) endOrder(now time.Time, w *worker) {
	o := w.order
	w.order = nil
	w.sequence = max(w.sequence, o.order.Expect+1)
	if o.order.Adapter != "" {
		if r := w.models[o.order.Model]; r != nil && o.order.Unload {
			delete(r.adapters, o.order.Adapter)
		}
		return
	}
	if o.order.Unload {
		delete(w.models, o.order.Model)
		w.unloaded[o.order.Model] = now
		return
	}
	delete(w.unloaded, o.order.Model)
	if r := w.models[o.order.Model]; r != nil && r.readyAt.After(now) {
		r.readyAt = now
	}
	w.onDisk[o.order.Model] = true
}

// dropOrder forgets an order that has had no effect.
func (p *Planner) dropOrder(w *worker) {
	o := w.order
	w.order = nil
	if o.order.Unload {
		return
	}
	r := w.models[o.order.Model]
	switch {
	case r == nil:
	case o.order.Adapter != "":
		delete(r.adapters, o.order.Adapter)
	case !r.confirmed:
		delete(w.models, o.order.Model)
		if !o.askedAt.IsZero() && p.wants[o.order.Model] == nil {
			p.wants[o.order.Model] = &wanted{asked: o.askedAt}
		}
	}
}

// Ordered takes the outcome of an order.
func (p *Planner) Ordered(now time.Time, order Order, outcome Outcome) {
	w := p.workers[order.EndpointID]
	if w == nil || w.order == nil || w.order.order != order {
		return
	}
	switch outcome {
	case Accepted:
		p.accepted(now, w)
	case Holds:
		if w.order.order.Adapter != "" && w.order.order.Unload {
			p.accepted(now, w) // an unused adapter is unloaded at once
			return
		}
		w.order.endsAt = now
		p.endOrder(now, w)
		// Whether an order that already held was counted is not certain.
		w.known, w.probe = false, now.Add(reportLag)
	case Busy:
		p.dropOrder(w)
		w.refused++
		w.notTo = now.Add(retryBusy * time.Duration(min(w.refused, busyDoublings)))
		w.probe = now
	case Refused, Unsent:
		p.dropOrder(w)
		w.down = true
		w.notTo = now.Add(retryUnanswered)
		w.probe = now
	case Unanswered:
		p.countStart(now, w.order)
		w.order.unsureAt = now
		w.notTo = now.Add(retryUnanswered)
		w.probe = now.Add(retryUnanswered)
	}
}

// countStart counts a load from the store that has begun, or may have.
func (p *Planner) countStart(now time.Time, o *pending) {
	if o.loadsFromStore() {
		p.starts = append(p.starts, now)
	}
}

func (p *Planner) accepted(now time.Time, w *worker) {
	o := w.order
	w.refused = 0
	p.countStart(now, o)
	o.answered = true
	w.sequence = o.order.Expect + 1
	switch {
	case o.order.Adapter != "":
		p.endOrder(now, w) // the engine is not busy with it
	case o.order.Unload:
		// The next order tells by its answer whether the unload is done.
		p.endOrder(now, w)
	default:
		o.endsAt = now.Add(p.loadTime(o.level, o.order.Model, p.storeLoads()))
		if r := w.models[o.order.Model]; r != nil {
			r.readyAt = o.endsAt.Add(orderMargin)
		}
		w.probe = o.endsAt.Add(orderMargin)
	}
}

// loadTime estimates a load beside storeLoads from the store. Loads from the store slow each other down beyond
// the number that it serves at once.
func (p *Planner) loadTime(l Level, model string, storeLoads int) time.Duration {
	m := p.conf.Engine.Models[model]
	switch l {
	case Memory:
		return m.FromMemory
	case Disk:
		return m.FromDisk
	case Store:
		crowd := max(1, float64(storeLoads)/float64(max(1, p.opt.StoreAtOnce)))
		return time.Duration(float64(m.FromStore) * crowd)
	}
	return 0
}

// storeLoads counts the loads from the store that are in progress.
func (p *Planner) storeLoads() int {
	n := 0
	for _, w := range p.workers {
		if w.order != nil && w.order.loadsFromStore() {
			n++
		}
	}
	return n
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
func (p *Planner) Demand(now time.Time, daemon string, d Demand) {
	p.demands[daemon] = &demand{Demand: d, at: now}
	for place, n := range d.Running {
		w := p.workers[place.EndpointID]
		if n == 0 || w == nil {
			continue
		}
		if r := w.models[place.Model]; r != nil {
			r.lastUse = now
		}
	}
}

// needed is the number of replicas that a model's running requests ask for.
func needed(active int) int {
	switch {
	case active == 0:
		return 0
	case active < severalFrom:
		return 1
	}
	return 1 + (active+perReplica-1)/perReplica
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

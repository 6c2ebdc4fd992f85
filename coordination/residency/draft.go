package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// draft is what one step derives from the planner's state, once, and changes
// as it decides.
type draft struct {
	now      time.Time
	active   map[string]int // requests running or waiting, by model
	running  map[Place]int
	replicas map[string]int // of each model, less those that are making way
	ready    map[string]readiness
	pressed  map[string]int // replicas that a model's slow answers ask for
	runTime  time.Duration  // of a request, on average
	engines  map[*worker]*engineDraft
	store    []time.Duration // when each place of the store is free
	// storeLoads is the number of loads from the store in progress.
	storeLoads int
}

// engineDraft is the part of a draft for one engine.
type engineDraft struct {
	freeIn   time.Duration // until it has done what is ahead
	reserved float64       // memory of loads ahead, in MB
	memory   float64       // that its models and adapters take, in MB
	inUse    int           // models that requests run on or wait for
	victims  []victim
	derived  bool // victims have been found
}

// newDraft returns the draft of a step. It takes the maps of the last one, which
// is not used any more: a step comes some tens of times a second.
func (p *Planner) newDraft(now time.Time) *draft {
	d := &p.draft
	d.reset(now)
	p.sumDemand(d)
	for _, w := range p.sorted {
		d.engines[w] = &engineDraft{freeIn: w.freeIn(now), memory: p.memory(w), inUse: d.countInUse(w)}
		if w.order != nil && w.order.loadsFromStore() {
			d.store = append(d.store, w.freeIn(now))
			d.storeLoads++
		}
		p.countReplicas(d, w)
	}
	d.pressed = p.pressedReplicas(d)
	d.runTime = p.meanRunTime(d)
	for len(d.store) < p.opt.StoreAtOnce {
		d.store = append(d.store, 0)
	}
	slices.Sort(d.store)
	return d
}

func (d *draft) reset(now time.Time) {
	if d.engines == nil {
		*d = draft{active: map[string]int{}, running: map[Place]int{}, replicas: map[string]int{}, ready: map[string]readiness{}, engines: map[*worker]*engineDraft{}}
	}
	clear(d.active)
	clear(d.running)
	clear(d.replicas)
	clear(d.ready)
	clear(d.engines)
	d.now, d.store, d.storeLoads = now, d.store[:0], 0
}

// needed is the number of replicas that a model's requests ask for.
func (d *draft) needed(model string) int { return max(needed(d.active[model]), d.pressed[model]) }

// sumDemand adds up what the daemons said lately.
func (p *Planner) sumDemand(d *draft) {
	for daemon, said := range p.demands {
		if d.now.Sub(said.at) > demandLife {
			delete(p.demands, daemon)
			continue
		}
		for model, n := range said.Active {
			d.active[model] += n
		}
		for place, n := range said.Running {
			d.running[place] += n
		}
	}
}

// countReplicas counts an engine's models, also those on their way.
func (p *Planner) countReplicas(d *draft, w *worker) {
	if !w.usable() {
		return
	}
	for model, r := range w.models {
		if o := w.order; o == nil || !o.order.Unload || o.order.Adapter != "" || o.order.Model != model {
			d.replicas[model]++
		}
		if !r.readyAt.After(d.now) {
			known := d.ready[model]
			d.ready[model] = readiness{known.replicas + 1, maxTime(known.since, r.readyAt)}
		}
	}
}

// readiness is how many engines hold a model, and since when the newest does.
type readiness struct {
	replicas int
	since    time.Time
}

func (d *draft) countInUse(w *worker) int {
	n := 0
	for name := range w.models {
		if d.active[name] > 0 {
			n++
		}
	}
	return n
}

// room is what making room for a model at an engine takes.
type room struct {
	wait time.Duration // until the last model that makes way can be unloaded
	cost time.Duration // a penalty for what is lost
}

// roomFor returns what it takes to make room for a model, beside the memory
// that other loads will take; false when there will be none soon.
func (p *Planner) roomFor(d *draft, w *worker, model string) (room, bool) {
	e := d.engines[w]
	need := e.memory + e.reserved + p.conf.Engine.Models[model].SizeMB
	var r room
	if need <= p.conf.Engine.MemoryMB {
		return r, true
	}
	for _, v := range p.victimsOf(d, w) {
		need -= p.conf.Engine.Models[v.name].SizeMB
		r.cost += v.cost
		r.wait = max(r.wait, v.wait)
		if need <= p.conf.Engine.MemoryMB {
			return r, true
		}
	}
	return room{}, false
}

// victim is a model that may make way.
type victim struct {
	name string
	wait time.Duration // until it can be unloaded; zero: now
	cost time.Duration // of its loss
}

// victimsOf returns the models of an engine that may be unloaded, the cheapest
// first: replicas beyond what the demand asks for, then the longest unused.
func (p *Planner) victimsOf(d *draft, w *worker) []victim {
	e := d.engines[w]
	if e.derived {
		return e.victims
	}
	var list []victim
	for name, r := range w.models {
		if v, ok := p.victim(d, w, name, r); ok {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	e.victims, e.derived = list, true
	return list
}

const (
	// idleCost is the most that an idle model costs as a victim, so that the
	// time to a load decides first.
	idleCost = 100 * time.Millisecond
	// idleGain is the most that a long pause takes off, a thousandth of it.
	idleGain = 90 * time.Millisecond
)

// victim returns what unloading a model takes; false when it stays. A model
// that single requests use stays until they have ended: an unload would wait for
// them and keep the engine from all else.
func (p *Planner) victim(d *draft, w *worker, name string, r *replica) (victim, bool) {
	if w.order != nil && w.order.order.Model == name && w.order.order.Unload {
		return victim{}, false
	}
	v := victim{name: name, wait: p.usedFor(d, w, name, r)}
	idle := d.now.Sub(r.lastUse)
	switch {
	case d.replicas[name] > max(1, d.needed(name)):
		return v, v.wait == 0 // in use, it goes on being sent requests
	case d.active[name] == 0:
		v.cost = idleCost - max(0, min(idleGain, idle/1000))
		return v, true
	case d.active[name] < severalFrom && d.pressed[name] == 0:
		v.cost = idleCost
		return v, true
	}
	return victim{}, false
}

// usedFor estimates how long a model will still be used at an engine.
func (p *Planner) usedFor(d *draft, w *worker, name string, r *replica) time.Duration {
	t := max(0, r.keepUntil.Sub(d.now), r.readyAt.Sub(d.now), p.idleAfter()-d.now.Sub(r.lastUse))
	if d.active[name] > 0 || d.running[Place{w.endpoint.ID, name}] > 0 {
		t = max(0, r.readyAt.Sub(d.now)) + max(d.runTime, t)
	}
	return t
}

const (
	// runTimeUnknown is how long a request is taken to run while nothing is
	// known; leastRunTime and mostRunTime bound what is derived from few.
	runTimeUnknown = time.Second
	leastRunTime   = 200 * time.Millisecond
	mostRunTime    = 6 * time.Second
)

// meanRunTime returns how long requests run, by Little's law: those that run,
// over those that begin a second.
func (p *Planner) meanRunTime(d *draft) time.Duration {
	running, rate := 0, 0.0
	for place, n := range d.running {
		if !strings.Contains(place.Model, "/") { // adapters count for their model
			running += n
		}
	}
	for _, s := range p.pressures {
		rate += s.rate()
	}
	if rate < 1 {
		return runTimeUnknown
	}
	return min(mostRunTime, max(leastRunTime, time.Duration(float64(running)/rate*float64(time.Second))))
}

// idleAfter is how long after it was named for a request a model counts as idle,
// unless daemons say that requests run.
func (p *Planner) idleAfter() time.Duration { return TellSoon(len(p.demands)) + idleMargin }

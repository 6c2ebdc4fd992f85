package residency

import (
	"cmp"
	"slices"
	"time"
)

// draft is what one step derives from the planner's state, once, and changes
// as it decides.
type draft struct {
	now      time.Time
	active   map[string]int // requests running or waiting, by model
	running  map[Place]int
	replicas map[string]int // of each model, less those that are making way
	pressed  map[string]int // replicas that a model's slow answers ask for
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

func (p *Planner) newDraft(now time.Time) *draft {
	d := &draft{
		now: now, active: map[string]int{}, running: map[Place]int{}, replicas: map[string]int{},
		engines: make(map[*worker]*engineDraft, len(p.sorted)),
	}
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
	for len(d.store) < p.opt.StoreAtOnce {
		d.store = append(d.store, 0)
	}
	slices.Sort(d.store)
	return d
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
	for model := range w.models {
		if o := w.order; o == nil || !o.order.Unload || o.order.Adapter != "" || o.order.Model != model {
			d.replicas[model]++
		}
	}
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

// roomCost returns a penalty for what is lost by making room for a model,
// beside the memory that other loads will take; false when there can be no
// room now.
func (p *Planner) roomCost(d *draft, w *worker, model string) (time.Duration, bool) {
	e := d.engines[w]
	need := e.memory + e.reserved + p.conf.Engine.Models[model].SizeMB
	if need <= p.conf.Engine.MemoryMB {
		return 0, true
	}
	cost := time.Duration(0)
	for _, v := range p.victimsOf(d, w) {
		need -= p.conf.Engine.Models[v.name].SizeMB
		cost += v.cost
		if need <= p.conf.Engine.MemoryMB {
			return cost, true
		}
	}
	return 0, false
}

// victim is a model that may make way, with the cost of that.
type victim struct {
	name string
	cost time.Duration
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
		if cost, ok := p.victimCost(d, w, name, r); ok {
			list = append(list, victim{name, cost})
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
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

// victimCost returns what unloading a model costs; false when it stays.
func (p *Planner) victimCost(d *draft, w *worker, name string, r *replica) (time.Duration, bool) {
	if d.now.Before(r.keepUntil) || r.readyAt.After(d.now) || w.order != nil && w.order.order.Model == name {
		return 0, false
	}
	idle := d.now.Sub(r.lastUse)
	if idle < idleAfter || d.running[Place{w.endpoint.ID, name}] > 0 {
		return 0, false // its unload would wait for them, and keep the engine busy
	}
	switch {
	case d.replicas[name] > max(1, d.needed(name)):
		return 0, true
	case d.active[name] == 0:
		return idleCost - min(idleGain, idle/1000), true
	}
	return 0, false
}

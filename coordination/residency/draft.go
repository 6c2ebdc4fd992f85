package residency

import (
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
	replicas map[string]int       // of each model, less those that are making way
	ready    map[string]readiness // of models that are loaded
	pressed  map[string]int       // replicas that a model's slow answers ask for
	runTime  time.Duration        // of a request, on average
	// perReplica is the number of running requests that one replica is meant to carry.
	perReplica float64
	engines    map[*worker]*engineDraft
	store      []time.Duration // when each place of the store is free
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
	d.perReplica = p.perReplica()
	p.sumDemand(d)
	p.countRunning(d)
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
	for len(d.store) < p.places.Estimate {
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

// perReplica returns the number of running requests that one replica is meant to carry.
func (p *Planner) perReplica() float64 { return max(1, replicaShare*float64(p.conf.Engine.Slots)) }

// needed is the number of replicas that a model's requests ask for.
func (d *draft) needed(model string) int {
	return max(needed(d.active[model], d.perReplica), d.pressed[model])
}

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

// countRunning counts what runs at each engine; adapters count for their model.
func (p *Planner) countRunning(d *draft) {
	for _, w := range p.sorted {
		w.running = 0
	}
	p.countRunningOf(d.running, 1)
}

// countReplicas counts an engine's models, also those on their way.
func (p *Planner) countReplicas(d *draft, w *worker) {
	if !w.usable() || w.isFull(d.now) {
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

// endedAfter is how long after daemons told last that a model runs it counts as idle: a
// daemon that has just been served there may send another request without a question.
const endedAfter = tellLeast + idleMargin

// idleAfter is how long after it was named for a request a model counts as idle,
// unless daemons say that requests run.
func (p *Planner) idleAfter() time.Duration { return DemandDelay(len(p.demands)) + idleMargin }

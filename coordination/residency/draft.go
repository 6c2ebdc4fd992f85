package residency

import (
	"slices"
	"strings"
	"time"
)

// draft is the state that one planning step derives from the planner once and updates as it
// decides.
type draft struct {
	now              time.Time
	active           map[string]int // running and waiting requests, by model
	running          map[Place]int
	replicas         map[string]int       // of each model, without those being unloaded
	ready            map[string]readiness // loaded models
	pressureReplicas map[string]int       // replicas needed because of slow answers, by model
	runTime          time.Duration        // mean duration of a request
	// perReplica is the number of running requests that one replica should serve.
	perReplica  float64
	engines     map[*engineState]*engineDraft
	storeFreeIn []time.Duration // time until each of the store's concurrent loads ends; zero for unused ones
	// storeLoads is the number of loads from the store in progress.
	storeLoads int
	// storeReadyIn is the time until a model's load from the store in progress ends, by
	// model.
	storeReadyIn map[string]time.Duration
	departing    map[string]bool // models loaded at engines that are leaving
}

// engineDraft is the part of a draft that concerns one engine.
type engineDraft struct {
	freeIn       time.Duration // time until its scheduled work is done
	reserved     float64       // memory of scheduled loads, in MB
	memory       float64       // occupied by its models and adapters, in MB
	inUse        int           // models with running or waiting requests
	victims      []victim
	victimsKnown bool // victims has been computed
}

// newDraft returns the draft of a planning step. It reuses the maps of the previous draft,
// which is no longer in use, because there are some tens of steps a second.
func (p *Planner) newDraft(now time.Time) *draft {
	d := &p.draft
	d.reset(now)
	d.perReplica = p.perReplica()
	p.sumDemand(d)
	p.countRunning(d)
	for _, e := range p.sorted {
		d.engines[e] = &engineDraft{freeIn: e.freeIn(now), memory: p.memory(e), inUse: d.countInUse(e)}
		if e.order != nil && e.order.loadsFromStore() {
			d.storeFreeIn = append(d.storeFreeIn, e.freeIn(now))
			d.storeLoads++
			d.addStoreLoad(e.order.order.Model, e.freeIn(now))
		}
		p.countReplicas(d, e)
	}
	d.pressureReplicas = p.replicasForPressure(d)
	d.runTime = p.meanRunTime(d)
	for len(d.storeFreeIn) < p.store.Estimate {
		d.storeFreeIn = append(d.storeFreeIn, 0)
	}
	slices.Sort(d.storeFreeIn)
	return d
}

func (d *draft) reset(now time.Time) {
	if d.engines == nil {
		*d = draft{active: map[string]int{}, running: map[Place]int{}, replicas: map[string]int{}, ready: map[string]readiness{}, engines: map[*engineState]*engineDraft{}, storeReadyIn: map[string]time.Duration{}, departing: map[string]bool{}}
	}
	clear(d.active)
	clear(d.running)
	clear(d.replicas)
	clear(d.ready)
	clear(d.engines)
	clear(d.storeReadyIn)
	clear(d.departing)
	d.now, d.storeFreeIn, d.storeLoads = now, d.storeFreeIn[:0], 0
}

// addStoreLoad adds a load from the store that ends after the given time.
func (d *draft) addStoreLoad(model string, readyIn time.Duration) {
	if before, ok := d.storeReadyIn[model]; !ok || readyIn < before {
		d.storeReadyIn[model] = readyIn
	}
}

// awaitsStore reports whether all replicas of a model are still being loaded, one of them
// from the store.
func (d *draft) awaitsStore(model string) bool {
	_, loading := d.storeReadyIn[model]
	return loading && d.replicas[model] == 1
}

// perReplica returns the number of running requests that one replica should serve.
func (p *Planner) perReplica() float64 { return max(1, replicaShare*float64(p.conf.Engine.Slots)) }

// needed returns the number of replicas that the requests of a model need.
func (d *draft) needed(model string) int {
	return max(needed(d.active[model], d.perReplica), d.pressureReplicas[model])
}

// sumDemand adds up the valid demand reports of all daemons and drops expired ones.
func (p *Planner) sumDemand(d *draft) {
	for daemon, report := range p.demands {
		if d.now.Sub(report.at) > demandTTL {
			delete(p.demands, daemon)
			continue
		}
		for model, n := range report.Active {
			d.active[model] += n
		}
		for place, n := range report.Running {
			d.running[place] += n
		}
	}
}

// countRunning counts the running requests of each engine and their work, and updates its speed;
// requests for an adapter count for its model.
func (p *Planner) countRunning(d *draft) {
	for _, e := range p.sorted {
		e.running, e.work, e.speed = 0, EngineWork{}, p.knownSpeed(d.now, e)
	}
	p.addRunning(d.running, 1)
	for _, report := range p.demands {
		p.addWork(report.Work, 1)
	}
}

// countReplicas counts the models of an engine, including those that are being loaded.
func (p *Planner) countReplicas(d *draft, e *engineState) {
	if e.endpoint.Leaving {
		for model := range e.models {
			d.departing[model] = true
		}
	}
	if !e.usable() || e.isFull(d.now) {
		return
	}
	for model, r := range e.models {
		if o := e.order; o == nil || !o.order.Unload || o.order.Adapter != "" || o.order.Model != model {
			d.replicas[model]++
		}
		if !r.readyAt.After(d.now) {
			counted := d.ready[model]
			d.ready[model] = readiness{counted.replicas + 1, maxTime(counted.since, r.readyAt)}
		}
	}
}

// readiness holds how many engines have a model loaded, and when the newest of them was
// ready.
type readiness struct {
	replicas int
	since    time.Time
}

func (d *draft) countInUse(e *engineState) int {
	n := 0
	for name := range e.models {
		if d.active[name] > 0 {
			n++
		}
	}
	return n
}

const (
	// defaultRunTime is the assumed duration of a request while nothing is known;
	// minRunTime and maxRunTime limit the estimate from a few requests.
	defaultRunTime = time.Second
	minRunTime     = 200 * time.Millisecond
	maxRunTime     = 6 * time.Second
)

// meanRunTime returns the mean duration of a request by Little's law: the number of running
// requests divided by the requests started per second.
func (p *Planner) meanRunTime(d *draft) time.Duration {
	running, rate := 0, 0.0
	for place, n := range d.running {
		if !strings.Contains(place.Model, "/") { // requests for an adapter count for its model
			running += n
		}
	}
	for _, s := range p.pressures {
		rate += s.rate()
	}
	if rate < 1 {
		return defaultRunTime
	}
	return min(maxRunTime, max(minRunTime, time.Duration(float64(running)/rate*float64(time.Second))))
}

// idleAfterRun is how long after the last report of a running request a model counts as
// idle. Until then, a daemon whose request was just served there may send another one
// without a Want call.
const idleAfterRun = minDemandDelay + idleMargin

// idleAfterAnswer returns how long after an answer directed a request to a model the model
// counts as idle, unless daemons report running requests.
func (p *Planner) idleAfterAnswer() time.Duration { return DemandDelay(len(p.demands)) + idleMargin }

package residency

import (
	"cmp"
	"slices"
	"time"
)

// room describes the unloads that make room for a model at an engine.
type room struct {
	unloads int           // number of victims
	wait    time.Duration // time until the last victim can be unloaded
	drain   time.Duration // time until the requests that run on victims have ended after that
	cost    time.Duration // penalty for the loss of the victims
}

// roomFor returns how to make room for a model in addition to the memory reserved for
// scheduled loads. It returns false if there will be no room soon.
func (p *Planner) roomFor(d *draft, e *engineState, model string) (room, bool) {
	ed := d.engines[e]
	need := ed.memory + ed.reserved + p.conf.Engine.Models[model].SizeMB
	var r room
	if need <= p.conf.Engine.MemoryMB {
		return r, true
	}
	for _, v := range p.victimsOf(d, e) {
		need -= p.conf.Engine.Models[v.name].SizeMB
		r.unloads++
		r.cost += v.cost
		r.wait = max(r.wait, v.wait)
		r.drain += v.drain
		if need <= p.conf.Engine.MemoryMB {
			return r, true
		}
	}
	return room{}, false
}

// victim is a model that may be unloaded.
type victim struct {
	name  string
	wait  time.Duration // time until it can be unloaded; zero if now
	drain time.Duration // duration of the unload, which waits for running requests
	cost  time.Duration // cost of its loss
}

// victimsOf returns the models of an engine that may be unloaded, the cheapest first:
// replicas beyond the number needed, then the least recently used models, then replicas
// beyond the number needed on which requests run.
func (p *Planner) victimsOf(d *draft, e *engineState) []victim {
	ed := d.engines[e]
	if ed.victimsKnown {
		return ed.victims
	}
	list := make([]victim, 0, len(e.models))
	for name, r := range e.models {
		if v, ok := p.victim(d, e, name, r); ok {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	ed.victims, ed.victimsKnown = list, true
	return list
}

const (
	// maxIdleCost is the maximum cost of an idle model as a victim. It is low, so that the
	// time until the load comes first.
	maxIdleCost = 100 * time.Millisecond
	// maxIdleDiscount limits the reduction of that cost, which is a thousandth of the idle
	// time.
	maxIdleDiscount = 90 * time.Millisecond
)

// victim returns what the unload of a model takes, or false if the model must stay. A model
// that only a few requests use stays until they have ended: its unload would wait for them
// and block all other orders to the engine.
func (p *Planner) victim(d *draft, e *engineState, name string, r *replica) (victim, bool) {
	if e.order != nil && e.order.order.Model == name && e.order.order.Unload {
		return victim{}, false
	}
	v := victim{name: name, wait: p.inUseFor(d, e, name, r)}
	idle := d.now.Sub(r.lastUse)
	switch {
	case d.replicas[name] > max(1, d.needed(name)):
		if v.wait > 0 && p.mayDrain(d, name, r) {
			return victim{name: name, cost: d.runTime, drain: d.runTime}, true
		}
		return v, v.wait == 0 // otherwise only if unused: a replica in use keeps receiving requests
	case d.active[name] == 0:
		v.cost = maxIdleCost - max(0, min(maxIdleDiscount, idle/1000))
		return v, true
	case d.active[name] < secondReplicaFrom && d.pressureReplicas[name] == 0:
		v.cost = maxIdleCost
		return v, true
	}
	return victim{}, false
}

// mayDrain reports whether a replica beyond the number needed may be unloaded while requests
// run there. Replicas of a busy model are never unused, since daemons distribute its
// requests over all of them. A replica stays if an answer has just directed a request to
// it, if it has not had time to show its effect, or if the model's answers are slow with all
// its replicas: the number needed follows slow answers only one at a time.
func (p *Planner) mayDrain(d *draft, name string, r *replica) bool {
	answered := max(r.keepUntil.Sub(d.now), p.idleAfterAnswer()-d.now.Sub(r.lastAnswered))
	if s := p.pressures[name]; s != nil && s.slow >= normalShare*s.count {
		return false
	}
	return d.active[name] >= secondReplicaFrom && answered <= 0 && d.now.Sub(r.readyAt) > replicaSettleTime
}

// inUseFor estimates how long a model will still be used at an engine.
func (p *Planner) inUseFor(d *draft, e *engineState, name string, r *replica) time.Duration {
	t := max(0, r.keepUntil.Sub(d.now), r.readyAt.Sub(d.now), p.idleAfterAnswer()-d.now.Sub(r.lastAnswered), idleAfterRun-d.now.Sub(r.lastUse))
	if d.active[name] > 0 || d.running[Place{e.incarnation, name}] > 0 {
		t = max(0, r.readyAt.Sub(d.now)) + max(d.runTime, t)
	}
	return t
}

package residency

import (
	"cmp"
	"slices"
	"time"
)

// scheduledLoad is the planned load of a wanted model.
type scheduledLoad struct {
	wantedUnit
	extra   bool
	engine  *engineState
	level   Level
	readyIn time.Duration
}

// schedule computes a new schedule. It assigns each wanted model, the most valuable first,
// to the engine that can have it ready soonest. A model is bound to an engine only when its
// order is sent, so a faster option that appears before then is used.
func (p *Planner) schedule(d *draft) {
	p.loads, p.scheduledAt = p.loads[:0], d.now
	for _, w := range p.wantedModels(d) {
		if s, ok := p.placeModel(d, w.wantedUnit); ok {
			s.extra = p.wants[w.wantedUnit].extra
			p.loads = append(p.loads, s)
		}
	}
}

// weightedModel is a wanted model and its weight in the schedule.
type weightedModel struct {
	wantedUnit
	weight float64
}

// compareWeights sorts the largest weight first.
func compareWeights(a, b weightedModel) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.model, b.model), cmp.Compare(a.only.Software, b.only.Software))
}

// wantedModels returns the models to load, the most valuable first, and drops those that
// are no longer requested.
func (p *Planner) wantedModels(d *draft) []weightedModel {
	now := d.now
	list := make([]weightedModel, 0, len(p.wants))
	for unit, w := range p.wants {
		_, declared := p.conf.Engine.Models[unit.model]
		held := !w.extra && p.held(d, unit)
		if !declared || held || now.After(maxTime(w.requestedAt.Add(wantTTL), w.returnsBy)) {
			delete(p.wants, unit)
			continue
		}
		list = append(list, weightedModel{unit, p.weight(d, unit)})
	}
	slices.SortFunc(list, compareWeights)
	return list[:min(len(list), maxScheduled)]
}

// held reports whether a wanted model is loaded or being loaded where it is wanted. While its only
// load reads from the store, an engine with a copy may still have it ready before.
func (p *Planner) held(d *draft, unit wantedUnit) bool {
	if !unit.only.Bound {
		return d.replicas[unit.model] > 0 && !d.awaitsStore(unit.model)
	}
	return slices.ContainsFunc(p.sorted, func(e *engineState) bool {
		return e.usable() && e.models[unit.model] != nil && unit.only.accepts(e)
	})
}

// weight returns the value of loading a wanted model. The value of one more replica of a
// busy model is that of its running requests, scaled by the utilization of its replicas:
// daemons that find the model loaded send no Want call for it.
func (p *Planner) weight(d *draft, unit wantedUnit) float64 {
	model := unit.model
	if !p.wants[unit].extra {
		return p.value(d.now, model) * p.wants[unit].urgency(d.now, p.conf.Engine.Models[model].LoadFromDisk)
	}
	active, replicas := float64(d.active[model]), float64(d.replicas[model])
	if replicas == 0 {
		return busyWeight * active // the last replica is leaving
	}
	full := min(1, active/replicas/d.perReplica)
	return max(busyWeight*active*full*full, p.pressureWeight(d.now, model))
}

// placeModel chooses the engine that has the model ready first. Engines without a copy need
// at least the time of a load from the store, so they are considered only if all others
// take longer. A model that is being loaded from the store is only placed at an engine with
// a copy that has it ready before: such engines may have had no room when the load began.
func (p *Planner) placeModel(d *draft, unit wantedUnit) (scheduledLoad, bool) {
	model := unit.model
	best, cost := p.soonest(d, unit, scheduledLoad{}, 0, func(l Level) bool { return l != Store })
	if !unit.only.Bound && d.awaitsStore(model) && (best.engine == nil || cost >= d.storeReadyIn[model]) {
		return scheduledLoad{}, false
	}
	if best.engine == nil && p.awaitsCopy(d.now, unit) {
		return scheduledLoad{}, false
	}
	if best.engine == nil || cost >= p.conf.Engine.Models[model].LoadFromStore {
		best, _ = p.soonest(d, unit, best, cost, func(l Level) bool { return l == Store })
	}
	if best.engine == nil {
		return best, false
	}
	ed := d.engines[best.engine]
	ed.freeIn = best.readyIn
	ed.reserved += p.conf.Engine.Models[model].SizeMB
	if best.level == Store {
		d.storeFreeIn[0] = best.readyIn
		slices.Sort(d.storeFreeIn)
	}
	return best, true
}

// soonest returns the load of least cost at the engines whose copy of the model has a level
// that match accepts, or best if none costs less.
func (p *Planner) soonest(d *draft, unit wantedUnit, best scheduledLoad, bestCost time.Duration, match func(Level) bool) (scheduledLoad, time.Duration) {
	model := unit.model
	for _, e := range p.sorted {
		if !e.usable() || !unit.only.accepts(e) || !e.synced || e.models[model] != nil || !match(e.level(model)) {
			continue
		}
		r, ok := p.roomFor(d, e, model)
		if !ok {
			continue
		}
		penalty := r.cost + p.loadCost(d.now, e)
		s := scheduledLoad{wantedUnit: unit, engine: e, level: e.level(model)}
		startIn := max(d.engines[e].freeIn, r.wait) + r.drain
		if s.level == Store {
			startIn = max(startIn, d.storeFreeIn[0])
			penalty += time.Duration(d.engines[e].inUse) * activeCost
		}
		s.readyIn = startIn + p.loadTime(s.level, model, d.storeLoads) + orderMargin
		if cost := s.readyIn + penalty; best.engine == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, bestCost
}

// storeDelayDivisor is the ratio of the time of a load from the store to the time that a model
// waits for room at an engine with a copy before such a load. With loads of 10.2 s, a delay of
// 3 s left 1 of 7 of the requests refused that a load without delay left.
const storeDelayDivisor = 3

// awaitsCopy reports whether a model waits for room at an engine with a copy. Placements there
// become free within seconds, while a load from the store occupies an engine for longer, and
// with it the copies of other models. One more replica waits in any case: the need for it often
// ends before a load from the store does.
func (p *Planner) awaitsCopy(now time.Time, unit wantedUnit) bool {
	w, model := p.wants[unit], unit.model
	if now.Sub(w.wantedSince) >= p.conf.Engine.Models[model].LoadFromStore/storeDelayDivisor {
		return false
	}
	return w.extra && !p.draft.departing[model] || slices.ContainsFunc(p.sorted, func(e *engineState) bool {
		return e.usable() && unit.only.accepts(e) && e.models[model] == nil && e.level(model) != Store
	})
}

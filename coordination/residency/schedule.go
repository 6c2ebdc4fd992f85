package residency

import (
	"cmp"
	"slices"
	"time"
)

// scheduledLoad is the planned load of a wanted model.
type slot struct {
	model   string
	extra   bool
	w       *worker
	level   Level
	readyIn time.Duration
}

// schedule computes a new schedule. It assigns each wanted model, the most valuable first,
// to the engine that can have it ready soonest. A model is bound to an engine only when its
// order is sent, so a faster option that appears before then is used.
func (p *Planner) schedule(d *draft) {
	p.slots, p.slotsAt = p.slots[:0], d.now
	for _, model := range p.wantedModels(d) {
		if s, ok := p.place(d, model); ok {
			s.extra = p.wants[model].extra
			p.slots = append(p.slots, s)
		}
	}
}

// wantedModels returns the models to load, the most valuable first, and drops those that
// are no longer requested.
func (p *Planner) wantedModels(d *draft) []string {
	now := d.now
	var list []string
	for model, w := range p.wants {
		_, declared := p.conf.Engine.Models[model]
		held := !w.extra && d.replicas[model] > 0
		if !declared || held || now.Sub(w.asked) > wantLife {
			delete(p.wants, model)
			continue
		}
		list = append(list, model)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.weight(d, b), p.weight(d, a)), cmp.Compare(a, b))
	})
	return list[:min(len(list), scheduleMost)]
}

// weight returns the value of loading a wanted model. The value of one more replica of a
// busy model is that of its running requests, scaled by the utilization of its replicas:
// daemons that find the model loaded send no Want call for it.
func (p *Planner) weight(d *draft, model string) float64 {
	if !p.wants[model].extra {
		return p.value(d.now, model)
	}
	active, replicas := float64(d.active[model]), float64(max(1, d.replicas[model]))
	full := min(1, active/replicas/d.perReplica)
	return max(busyWeight*active*full*full, p.pressureWeight(d.now, model))
}

// placeModel chooses the engine that has the model ready first. Engines without a copy need
// at least the time of a load from the store, so they are considered only if all others
// take longer.
func (p *Planner) place(d *draft, model string) (slot, bool) {
	best, cost := p.soonest(d, model, slot{}, 0, func(l Level) bool { return l != Store })
	if best.w == nil || cost >= p.conf.Engine.Models[model].LoadFromStore {
		best, _ = p.soonest(d, model, best, cost, func(l Level) bool { return l == Store })
	}
	if best.w == nil {
		return best, false
	}
	e := d.engines[best.w]
	e.freeIn = best.readyIn
	e.reserved += p.conf.Engine.Models[model].SizeMB
	if best.level == Store {
		d.store[0] = best.readyIn
		slices.Sort(d.store)
	}
	return best, true
}

// soonest returns the load of least cost at the engines whose copy of the model has a level
// that match accepts, or best if none costs less.
func (p *Planner) soonest(d *draft, model string, best slot, bestCost time.Duration, asked func(Level) bool) (slot, time.Duration) {
	for _, w := range p.sorted {
		if !w.usable() || !w.known || w.models[model] != nil || !asked(w.level(model)) {
			continue
		}
		r, ok := p.roomFor(d, w, model)
		if !ok {
			continue
		}
		penalty := r.cost + p.loadCost(w)
		s := slot{model: model, w: w, level: w.level(model)}
		startIn := max(d.engines[w].freeIn, r.wait)
		if s.level == Store {
			startIn = max(startIn, d.store[0])
			penalty += time.Duration(d.engines[w].inUse) * activeCost
		}
		s.readyIn = startIn + p.loadTime(s.level, model, d.storeLoads) + orderMargin
		if cost := s.readyIn + penalty; best.w == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, bestCost
}

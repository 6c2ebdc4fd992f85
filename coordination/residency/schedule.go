package residency

import (
	"cmp"
	"slices"
	"time"
)

// slot is when and where a wanted model will be loaded.
type slot struct {
	model   string
	extra   bool
	w       *worker
	level   Level
	readyIn time.Duration
}

// schedule decides from scratch, most wanted first, which engine will have
// each wanted model ready soonest. Nothing is bound to an engine before its
// order is sent, so a better way that opens is taken.
func (p *Planner) schedule(d *draft) {
	p.slots, p.slotsAt = p.slots[:0], d.now
	for _, model := range p.wantedModels(d) {
		if s, ok := p.place(d, model); ok {
			s.extra = p.wants[model].extra
			p.slots = append(p.slots, s)
		}
	}
}

// wantedModels returns the models to be loaded, the most wanted first, and
// forgets those that nobody asks for any more.
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

// weight is what loading a wanted model is worth. One more replica of a busy
// model is worth what its requests weigh that run now, the more the fuller its
// replicas are: daemons that find it loaded do not ask for it.
func (p *Planner) weight(d *draft, model string) float64 {
	if !p.wants[model].extra {
		return p.value(d.now, model)
	}
	active, replicas := float64(d.active[model]), float64(max(1, d.replicas[model]))
	full := min(1, active/replicas/d.perReplica)
	return max(busyWeight*active*full*full, p.pressureWeight(d.now, model))
}

// place chooses the engine that will have the model ready first. One without a copy is no
// sooner than a load from the store takes, and is only looked at where the others are later.
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

// soonest returns the slot of least cost at the engines whose copy of the model lies at a
// level that is asked for, or best if none costs less.
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

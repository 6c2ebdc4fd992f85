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
	startIn time.Duration
	readyIn time.Duration
}

// draft is a schedule in the making.
type draft struct {
	freeIn   map[*worker]time.Duration // when an engine has done what is ahead
	reserved map[*worker]float64       // memory of loads ahead, in MB
	store    []time.Duration           // when each place of the store is free
}

// schedule decides from scratch, most wanted first, which engine will have
// each wanted model ready soonest. Nothing is bound to an engine before its
// order is sent, so a better way that opens is taken.
func (p *Planner) schedule(now time.Time) {
	p.slots, p.slotsAt = p.slots[:0], now
	d := p.newDraft(now)
	active := p.active(now)
	for _, model := range p.wantedModels(now) {
		if s, ok := p.place(now, d, model, active); ok {
			s.extra = p.wants[model].extra
			p.slots = append(p.slots, s)
		}
	}
}

func (p *Planner) newDraft(now time.Time) *draft {
	d := &draft{freeIn: map[*worker]time.Duration{}, reserved: map[*worker]float64{}}
	for _, w := range p.workers {
		d.freeIn[w] = w.freeIn(now)
		if w.order != nil && w.order.loadsFromStore() {
			d.store = append(d.store, w.freeIn(now))
		}
	}
	places := max(1, p.opt.StoreAtOnce) + urgentBeyond
	for len(d.store) < places {
		d.store = append(d.store, 0)
	}
	slices.Sort(d.store)
	return d
}

// wantedModels returns the models to be loaded, the most wanted first, and
// forgets those that nobody asks for any more.
func (p *Planner) wantedModels(now time.Time) []string {
	var list []string
	for model, w := range p.wants {
		_, declared := p.conf.Engine.Models[model]
		held := !w.extra && p.replicas(model) > 0
		if !declared || held || now.Sub(w.asked) > wantLife {
			delete(p.wants, model)
			continue
		}
		list = append(list, model)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.weight(now, b), p.weight(now, a)), cmp.Compare(a, b))
	})
	return list[:min(len(list), scheduleMost)]
}

// weight is what loading a wanted model is worth.
func (p *Planner) weight(now time.Time, model string) float64 {
	if p.wants[model].extra {
		return extraWeight * p.value(now, model)
	}
	return p.value(now, model)
}

// place chooses the engine that will have the model ready first.
func (p *Planner) place(now time.Time, d *draft, model string, active map[string]int) (slot, bool) {
	best := slot{}
	bestCost := time.Duration(0)
	for _, id := range p.ids() {
		w := p.workers[id]
		if !w.usable() || !w.known || w.models[model] != nil {
			continue
		}
		penalty, ok := p.roomCost(now, w, model, d.reserved[w])
		if !ok {
			continue
		}
		s := slot{model: model, w: w, level: w.level(model), startIn: d.freeIn[w]}
		if s.level == Store {
			s.startIn = max(s.startIn, d.store[0])
			penalty += time.Duration(p.inUse(w, active)) * activeCost
		}
		s.readyIn = s.startIn + p.loadTime(s.level, model) + orderMargin
		if cost := s.readyIn + penalty; best.w == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best.w == nil {
		return best, false
	}
	d.freeIn[best.w] = best.readyIn
	d.reserved[best.w] += p.conf.Engine.Models[model].SizeMB
	if best.level == Store {
		d.store[0] = best.readyIn
		slices.Sort(d.store)
	}
	return best, true
}

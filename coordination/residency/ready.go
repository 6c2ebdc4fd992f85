package residency

import (
	"cmp"
	"slices"
	"time"
)

// Ready returns the orders to send and the engines to probe.
func (p *Planner) Ready(now time.Time) Ready {
	var r Ready
	if p.conf.Engine == nil {
		return r
	}
	for _, w := range p.sorted {
		p.passTime(now, w)
		if p.lease.Held && !w.asking && !w.probe.IsZero() && !now.Before(w.probe) {
			w.asking = true
			r.Probes = append(r.Probes, w.life)
		}
	}
	p.watchStore(now)
	if !p.lease.Held || now.Before(p.lease.OrdersFrom) {
		return r
	}
	d := p.newDraft(now)
	p.wantReplicas(d)
	p.schedule(d)
	for _, w := range p.sorted {
		if o, ok := p.adapterNext(now, w); ok {
			r.Orders = append(r.Orders, o)
		}
	}
	for _, s := range p.slots {
		if o, ok := p.modelNext(d, s); ok {
			r.Orders = append(r.Orders, o)
		}
	}
	r.Orders = append(r.Orders, p.copies(d)...)
	p.slots = nil
	return r
}

// free reports whether an order may be sent to an engine now.
func (p *Planner) free(now time.Time, w *worker) bool {
	return w.order == nil && w.known && w.usable() && !now.Before(w.notTo)
}

// advance completes loads from nearby copies when their declared time has passed. Loads
// from the store take longer beside others, so they are complete only when the engine
// reports it.
func (p *Planner) passTime(now time.Time, w *worker) {
	w.forgetLate(now)
	w.unknownLate = p.mayHaveUnknownLate(now, w)
	o := w.order
	if o == nil || !o.answered || o.order.Unload || o.order.Adapter != "" || now.Before(o.endsAt.Add(orderMargin)) {
		return
	}
	if o.order.Level != Store {
		p.endOrder(now, w)
		w.probe = now.Add(reportLag)
		return
	}
	if r := w.models[o.order.Model]; r != nil && !r.readyAt.After(now) && !r.confirmed {
		r.readyAt = now.Add(reportLag)
	}
	if w.probe.IsZero() {
		w.probe = now
	}
}

// nextAdapterOrder returns the order for the next adapter that a request waits for.
func (p *Planner) adapterNext(now time.Time, w *worker) (Order, bool) {
	for len(w.adapters) > 0 && p.free(now, w) {
		a := w.adapters[0]
		r := w.models[a.model]
		if r == nil || r.adapters[a.adapter] != nil {
			w.adapters = w.adapters[1:] // the model was removed, or the adapter is loaded already
			continue
		}
		return p.adapterOrder(now, w, a)
	}
	return Order{}, false
}

// nextModelOrder returns the next order towards loading a wanted model if its engine is
// free: an unload that makes room, or the load itself.
func (p *Planner) modelNext(d *draft, s slot) (Order, bool) {
	if !p.free(d.now, s.w) {
		return Order{}, false
	}
	if s.level == Store && !p.mayLoadFromStore(d.now) {
		return Order{}, false
	}
	o, ok := p.modelOrder(d, s.w, s.model, !s.extra)
	if ok && !o.Unload && !s.extra {
		s.w.order.askedAt = p.wants[s.model].asked
	}
	return o, ok
}

// modelOrder returns the order to unload a victim if the engine has no room for a model, or
// else the order to load the model.
func (p *Planner) modelOrder(d *draft, w *worker, model string, urgent bool) (Order, bool) {
	now := d.now
	if p.memory(w)+p.conf.Engine.Models[model].SizeMB > p.conf.Engine.MemoryMB {
		victims := p.victimsOf(d, w)
		if len(victims) == 0 || victims[0].wait > 0 {
			return Order{}, false
		}
		// Prevents the unload of another replica of the same model in this step.
		d.replicas[victims[0].name]--
		for _, e := range d.engines {
			e.derived = false
		}
		return p.send(now, w, Order{Unload: true, Model: victims[0].name}, Resident), true
	}
	o := p.send(now, w, Order{Model: model}, w.level(model))
	r := &replica{adapters: map[string]*adapter{}, readyAt: w.order.endsAt.Add(orderMargin), lastUse: now, lastNamed: now, keepUntil: w.order.endsAt}
	if urgent {
		r.keepUntil = now.Add(keepFor(w.order.endsAt.Sub(now)))
	}
	w.models[model] = r
	return o, true
}

// mayLoadFromStore reports whether the concurrency and rate limits of the store permit
// another load.
func (p *Planner) mayLoadFromStore(now time.Time) bool {
	if p.storeLoads() >= p.places.Estimate {
		return false
	}
	p.starts = slices.DeleteFunc(p.starts, func(t time.Time) bool { return now.Sub(t) > p.opt.RateWindow })
	allowed := p.conf.Engine.LoadsPerSecond * p.opt.RateWindow.Seconds() * min(1, p.opt.RateFactor)
	return p.conf.Engine.LoadsPerSecond <= 0 || float64(len(p.starts)) < allowed
}

// adapterOrder returns the order to unload an adapter if the engine has no room for another
// one, or else the order to load the adapter.
func (p *Planner) adapterOrder(now time.Time, w *worker, a adapterWant) (Order, bool) {
	if w.heldAdapters() >= p.conf.Engine.AdapterSlots || p.memory(w)+p.conf.Engine.Models[a.model].AdapterMB > p.conf.Engine.MemoryMB {
		model, name, ok := oldestAdapter(w, now)
		if !ok {
			w.adapters = w.adapters[1:]
			return Order{}, false
		}
		if model == "" {
			return Order{}, false // an adapter is being unloaded
		}
		return p.send(now, w, Order{Unload: true, Model: model, Adapter: name}, Resident), true
	}
	w.adapters = w.adapters[1:]
	w.models[a.model].adapters[a.adapter] = &adapter{readyAt: now.Add(adapterLoad), lastUse: now}
	return p.send(now, w, Order{Model: a.model, Adapter: a.adapter}, Resident), true
}

// adapterIdle is how long an adapter must be unused before it may be unloaded.
const adapterIdle = time.Second

// lruAdapter returns the least recently used adapter. If an adapter is being unloaded
// already, it returns ok and empty names.
func oldestAdapter(w *worker, now time.Time) (model, name string, ok bool) {
	oldest := now.Add(-adapterIdle)
	for m, r := range w.models {
		for a, state := range r.adapters {
			if state.leaving {
				return "", "", true
			}
			if state.lastUse.Before(oldest) && state.readyAt.Before(now) {
				oldest, model, name, ok = state.lastUse, m, a, true
			}
		}
	}
	return model, name, ok
}

func (p *Planner) send(now time.Time, w *worker, o Order, level Level) Order {
	o.Endpoint, o.Address = w.life, w.endpoint.Address
	o.Expect, o.Holder, o.Fence, o.Level = w.sequence, p.opt.Holder, p.lease.Fence, level
	end := now
	if !o.Unload && o.Adapter == "" {
		end = now.Add(p.loadTime(level, o.Model, p.storeLoads()))
	}
	w.order = &pending{order: o, endsAt: end}
	return o
}

// wantReplicas adds wants for models whose running requests need more replicas, and removes
// those of models that have enough replicas, loaded or being loaded.
func (p *Planner) wantReplicas(d *draft) {
	for model, w := range p.wants {
		if w.extra && d.replicas[model] >= d.needed(model) {
			delete(p.wants, model)
		}
	}
	for model := range d.active {
		have := d.replicas[model]
		if _, ok := p.conf.Engine.Models[model]; !ok || have == 0 || have >= d.needed(model) {
			continue
		}
		if p.wants[model] == nil {
			p.wants[model] = &wanted{extra: true}
		}
		p.wants[model].asked = d.now
	}
}

// copyMissing loads models without a copy at any engine while the store has spare
// concurrency, so that later loads take only the time of a load from disk. One concurrent
// load is left for requested models. Otherwise a store with a low concurrency would have
// none to spare for the seconds of a load, and the replica of a model that demand has
// shifted to would be delayed by as much.
func (p *Planner) copies(d *draft) []Order {
	const keptPlaces = 1
	now := d.now
	if now.Sub(p.grownAt) < settleFor || now.Before(p.copiesAt) {
		return nil
	}
	free := p.places.Estimate - keptPlaces - p.storeLoads()
	for _, s := range p.slots {
		if s.level == Store {
			free--
		}
	}
	if free <= 0 {
		return nil
	}
	p.copiesAt = now.Add(copiesEvery)
	var orders []Order
	for _, model := range p.missing(now) {
		if free <= 0 {
			break
		}
		w := p.quietEngine(d, model)
		if w == nil || !p.mayLoadFromStore(now) {
			break
		}
		if o, ok := p.modelOrder(d, w, model, false); ok {
			orders = append(orders, o)
			free--
		}
	}
	return orders
}

// missingModels returns the models without a copy at any usable engine, the most valuable
// first.
func (p *Planner) missing(now time.Time) []string {
	near := map[string]bool{}
	for _, w := range p.sorted {
		if w.usable() {
			w.near(near)
		}
	}
	var list []string
	for name := range p.conf.Engine.Models {
		if !near[name] && p.wants[name] == nil {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.value(now, b), p.value(now, a)), cmp.Compare(a, b))
	})
	return list
}

// addCopies adds the models of which an engine has a copy to set.
func (w *worker) near(set map[string]bool) {
	for name := range w.models {
		set[name] = true
	}
	for name := range w.inMemory {
		set[name] = true
	}
	for name := range w.onDisk {
		set[name] = true
	}
}

// leastUsedEngine returns the engine whose occupation by a load from the store costs least.
// It has nothing scheduled, and the fewest models that are in use there or that only it has
// a copy of.
func (p *Planner) quietEngine(d *draft, model string) *worker {
	var best *worker
	bestOnly := 0
	for _, w := range p.sorted {
		if !p.free(d.now, w) || p.scheduled(w) {
			continue
		}
		if r, ok := p.roomFor(d, w, model); !ok || r.wait > 0 {
			continue
		}
		if only := p.onlyHere(w) + d.engines[w].inUse; best == nil || only < bestOnly {
			best, bestOnly = w, only
		}
	}
	return best
}

// scheduled reports whether the schedule has a load at an engine.
func (p *Planner) scheduled(w *worker) bool {
	return slices.ContainsFunc(p.slots, func(s slot) bool { return s.w == w })
}

// onlyCopies counts the models that are not loaded and whose only copy is at the engine.
func (p *Planner) onlyHere(w *worker) int {
	n := 0
	for name := range w.onDisk {
		if w.models[name] != nil {
			continue
		}
		elsewhere := false
		for _, other := range p.workers {
			if other != w && other.usable() && other.level(name) != Store {
				elsewhere = true
				break
			}
		}
		if !elsewhere {
			n++
		}
	}
	return n
}

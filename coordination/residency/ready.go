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
	p.pruneUnlisted(now)
	for _, e := range p.sorted {
		p.advance(now, e)
		if p.lease.Held && !e.probing && !e.probeAt.IsZero() && !now.Before(e.probeAt) {
			e.probing = true
			r.Probes = append(r.Probes, e.incarnation)
		}
	}
	p.watchStore(now)
	if !p.lease.Held || now.Before(p.lease.OrdersFrom) {
		return r
	}
	d := p.newDraft(now)
	p.wantReplicas(d)
	p.schedule(d)
	for _, e := range p.sorted {
		if o, ok := p.nextAdapterOrder(now, e); ok {
			r.Orders = append(r.Orders, o)
		}
	}
	for _, s := range p.loads {
		if o, ok := p.nextModelOrder(d, s); ok {
			r.Orders = append(r.Orders, o)
		}
	}
	r.Orders = append(r.Orders, p.copyMissing(d)...)
	r.Orders = append(r.Orders, p.fillNew(d)...)
	p.loads = nil
	return r
}

// free reports whether an order may be sent to an engine now.
func (p *Planner) free(now time.Time, e *engineState) bool {
	return e.order == nil && e.synced && e.usable() && !now.Before(e.noOrderBefore)
}

// advance completes loads from nearby copies when their declared time has passed. Loads
// from the store take longer beside others, so they are complete only when the engine
// reports it.
func (p *Planner) advance(now time.Time, e *engineState) {
	e.late.prune(now)
	e.unknownLateOrder = p.mayHaveUnknownLate(now, e)
	o := e.order
	if o != nil && !o.accepted && !o.order.Unload && o.order.Adapter == "" {
		// The load begins when the engine reads the order, which a pause may delay beyond the declared time of the load.
		if r := e.models[o.order.Model]; r != nil && !r.confirmed {
			r.readyAt = maxTime(r.readyAt, now.Add(2*orderMargin))
		}
	}
	if o == nil || !o.accepted || o.order.Unload || o.order.Adapter != "" || now.Before(o.endsAt.Add(orderMargin)) {
		return
	}
	if o.order.Level != Store {
		p.completeOrder(now, e)
		e.probeAt = now.Add(reportLag)
		return
	}
	if r := e.models[o.order.Model]; r != nil && !r.readyAt.After(now) && !r.confirmed {
		r.readyAt = now.Add(reportLag)
	}
	if e.probeAt.IsZero() {
		e.probeAt = now
	}
}

// nextAdapterOrder returns the order for the next adapter that a request waits for.
func (p *Planner) nextAdapterOrder(now time.Time, e *engineState) (Order, bool) {
	for len(e.adapterQueue) > 0 && p.free(now, e) {
		a := e.adapterQueue[0]
		r := e.models[a.model]
		if r == nil || r.adapters[a.adapter] != nil {
			e.adapterQueue = e.adapterQueue[1:] // the model was removed, or the adapter is loaded already
			continue
		}
		return p.adapterOrder(now, e, a)
	}
	return Order{}, false
}

// nextModelOrder returns the next order towards loading a wanted model if its engine is
// free: an unload that makes room, or the load itself.
func (p *Planner) nextModelOrder(d *draft, s scheduledLoad) (Order, bool) {
	if !p.free(d.now, s.engine) {
		return Order{}, false
	}
	if s.level == Store && !p.mayLoadFromStore(d.now) {
		return Order{}, false
	}
	o, ok := p.modelOrder(d, s.engine, s.model, !s.extra)
	if ok && !o.Unload && !s.extra {
		s.engine.order.requestedAt = p.wants[s.wantedUnit].requestedAt
	}
	return o, ok
}

// modelOrder returns the order to unload a victim if the engine has no room for a model, or
// else the order to load the model.
func (p *Planner) modelOrder(d *draft, e *engineState, model string, urgent bool) (Order, bool) {
	now := d.now
	if p.memory(e)+p.conf.Engine.Models[model].SizeMB > p.conf.Engine.MemoryMB {
		victims := p.victimsOf(d, e)
		if len(victims) == 0 || victims[0].wait > 0 {
			return Order{}, false
		}
		// Prevents the unload of another replica of the same model in this step.
		d.replicas[victims[0].name]--
		for _, ed := range d.engines {
			ed.victimsKnown = false
		}
		o := p.send(now, e, Order{Unload: true, Model: victims[0].name}, Resident)
		e.order.drain = victims[0].drain
		return o, true
	}
	if !p.fitsAfterRestart(e, Order{Model: model}) {
		return Order{}, false
	}
	o := p.send(now, e, Order{Model: model}, e.level(model))
	r := &replica{adapters: map[string]*adapter{}, readyAt: e.order.endsAt.Add(orderMargin), lastUse: now, lastAnswered: now, keepUntil: e.order.endsAt}
	if urgent {
		r.keepUntil = now.Add(keepFor(e.order.endsAt.Sub(now)))
	}
	e.models[model] = r
	return o, true
}

// mayLoadFromStore reports whether the concurrency and rate limits of the store permit
// another load.
func (p *Planner) mayLoadFromStore(now time.Time) bool {
	if p.storeLoads() >= p.store.Estimate || p.mayHaveUnknownStarts(now) {
		return false
	}
	p.storeStarts = slices.DeleteFunc(p.storeStarts, func(t time.Time) bool { return now.Sub(t) > p.opt.RateWindow })
	allowed := p.conf.Engine.LoadsPerSecond * p.opt.RateWindow.Seconds() * min(1, p.opt.RateFactor)
	return p.conf.Engine.LoadsPerSecond <= 0 || float64(len(p.storeStarts)+p.uncountedStarts()) < allowed
}

// takeoverReports is how long a planner that takes over waits for the first report of each engine before it loads from the
// store: reports show the orders in progress.
const takeoverReports = time.Second

// mayHaveUnknownStarts reports whether the planner before may have begun loads that no report has shown yet.
func (p *Planner) mayHaveUnknownStarts(now time.Time) bool {
	if p.lease.First || now.Sub(p.tookOver) >= takeoverReports {
		return false
	}
	for _, e := range p.engines {
		if e.usable() && !e.reported {
			return true
		}
	}
	return false
}

// adapterOrder returns the order to unload an adapter if the engine has no room for another
// one, or else the order to load the adapter.
func (p *Planner) adapterOrder(now time.Time, e *engineState, a adapterWant) (Order, bool) {
	if e.heldAdapters() >= p.conf.Engine.AdapterSlots || p.memory(e)+p.conf.Engine.Models[a.model].AdapterMB > p.conf.Engine.MemoryMB {
		model, name, ok := lruAdapter(e, now)
		if !ok {
			e.adapterQueue = e.adapterQueue[1:]
			return Order{}, false
		}
		if model == "" {
			return Order{}, false // an adapter is being unloaded
		}
		return p.send(now, e, Order{Unload: true, Model: model, Adapter: name}, Resident), true
	}
	if !p.fitsAfterRestart(e, Order{Model: a.model, Adapter: a.adapter}) {
		return Order{}, false
	}
	e.adapterQueue = e.adapterQueue[1:]
	e.models[a.model].adapters[a.adapter] = &adapter{readyAt: now.Add(adapterLoad), lastUse: now}
	return p.send(now, e, Order{Model: a.model, Adapter: a.adapter}, Resident), true
}

// adapterIdle is how long an adapter must be unused before it may be unloaded.
const adapterIdle = time.Second

// lruAdapter returns the least recently used adapter. If an adapter is being unloaded
// already, it returns ok and empty names.
func lruAdapter(e *engineState, now time.Time) (model, name string, ok bool) {
	oldest := now.Add(-adapterIdle)
	for m, r := range e.models {
		for a, state := range r.adapters {
			if state.unloading {
				return "", "", true
			}
			if state.lastUse.Before(oldest) && state.readyAt.Before(now) {
				oldest, model, name, ok = state.lastUse, m, a, true
			}
		}
	}
	return model, name, ok
}

func (p *Planner) send(now time.Time, e *engineState, o Order, level Level) Order {
	o.Endpoint, o.Address = e.incarnation, e.endpoint.Address
	p.serial++
	o.serial = p.serial
	o.Expect, o.Holder, o.Fence, o.Level = e.sequence, p.opt.Holder, p.lease.Fence, level
	end := now
	if !o.Unload && o.Adapter == "" {
		end = now.Add(p.loadTime(level, o.Model, p.storeLoads()))
	}
	e.order = &pendingOrder{order: o, endsAt: end}
	return o
}

// wantReplicas adds wants for models whose running requests need more replicas, also those
// whose only replicas are at engines that are leaving. Daemons send requests there until the
// engine is gone, without a Want call. It removes
// those of models that have enough replicas, loaded or being loaded.
func (p *Planner) wantReplicas(d *draft) {
	for unit, w := range p.wants {
		if w.extra && d.replicas[unit.model] >= d.needed(unit.model) {
			delete(p.wants, unit)
		}
	}
	for model := range d.active {
		have := d.replicas[model]
		if _, ok := p.conf.Engine.Models[model]; !ok || have == 0 && !d.departing[model] || have >= d.needed(model) {
			continue
		}
		unit := anywhere(model)
		if p.wants[unit] == nil {
			p.wants[unit] = &wantedModel{extra: true, wantedSince: d.now}
		}
		p.wants[unit].requestedAt = d.now
	}
}

// reservedStoreLoads is the number of concurrent loads of the store that are left for
// requested models.
const reservedStoreLoads = 1

// copyMissing loads models without a copy at any engine while the store has spare
// concurrency, so that later loads take only the time of a load from disk. One concurrent
// load is left for requested models. Otherwise a store with a low concurrency would have
// none to spare for the seconds of a load, and the replica of a model that demand has
// shifted to would be delayed by as much.
func (p *Planner) copyMissing(d *draft) []Order {
	now := d.now
	if now.Sub(p.engineAddedAt) < settleTime || now.Before(p.nextCopiesAt) {
		return nil
	}
	free := p.store.Estimate - reservedStoreLoads - p.storeLoads()
	for _, s := range p.loads {
		if s.level == Store {
			free--
		}
	}
	if free <= 0 {
		return nil
	}
	p.nextCopiesAt = now.Add(copyInterval)
	var orders []Order
	for _, model := range p.missingModels(now) {
		if free <= 0 {
			break
		}
		e := p.leastUsedEngine(d, model)
		if e == nil || !p.mayLoadFromStore(now) {
			break
		}
		if o, ok := p.modelOrder(d, e, model, false); ok {
			orders = append(orders, o)
			free--
		}
	}
	return orders
}

// missingModels returns the models without a copy at any engine that is usable or briefly
// silent, the most valuable first.
func (p *Planner) missingModels(now time.Time) []string {
	nearby := map[string]bool{}
	for _, e := range p.sorted {
		if e.expected(now) {
			e.addCopies(nearby)
		}
	}
	var list []string
	for name := range p.conf.Engine.Models {
		if !nearby[name] && p.wants[anywhere(name)] == nil {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.value(now, b), p.value(now, a)), cmp.Compare(a, b))
	})
	return list
}

// addCopies adds the models of which an engine has a copy to set.
func (e *engineState) addCopies(set map[string]bool) {
	for name := range e.models {
		set[name] = true
	}
	for name := range e.inMemory {
		set[name] = true
	}
	for name := range e.onDisk {
		set[name] = true
	}
}

// expected reports whether an engine is usable, or silent so briefly that it may be sound.
func (e *engineState) expected(now time.Time) bool {
	return e.usable() || e.brieflySilent(now)
}

// leastUsedEngine returns the engine whose occupation by a load from the store costs least.
// It has nothing scheduled, and the fewest models that are in use there or that only it has
// a copy of. No model is unloaded for a copy that any engine has room for, though that engine
// may take no orders just now.
func (p *Planner) leastUsedEngine(d *draft, model string) *engineState {
	anyRoom := slices.ContainsFunc(p.sorted, func(e *engineState) bool { return e.expected(d.now) && p.hasRoom(d, e, model) })
	var best *engineState
	bestOnly := 0
	for _, e := range p.sorted {
		if !p.free(d.now, e) || p.scheduled(e) {
			continue
		}
		if r, ok := p.roomFor(d, e, model); !ok || r.wait > 0 || r.unloads > 0 && anyRoom {
			continue
		}
		if only := p.onlyCopies(e) + d.engines[e].inUse; best == nil || only < bestOnly {
			best, bestOnly = e, only
		}
	}
	return best
}

// scheduled reports whether the schedule has a load at an engine.
func (p *Planner) scheduled(e *engineState) bool {
	return slices.ContainsFunc(p.loads, func(s scheduledLoad) bool { return s.engine == e })
}

// scheduledModel reports whether the schedule has a load of a model.
func (p *Planner) scheduledModel(model string) bool {
	return slices.ContainsFunc(p.loads, func(s scheduledLoad) bool { return s.model == model })
}

// onlyCopies counts the models that are not loaded and whose only copy is at the engine.
func (p *Planner) onlyCopies(e *engineState) int {
	n := 0
	for name := range e.onDisk {
		if e.models[name] != nil {
			continue
		}
		elsewhere := false
		for _, other := range p.engines {
			if other != e && other.usable() && other.level(name) != Store {
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

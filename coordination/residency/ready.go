package residency

import (
	"cmp"
	"slices"
	"time"
)

// Ready returns the orders to send and the reports to ask for.
func (p *Planner) Ready(now time.Time) Ready {
	var r Ready
	if p.conf.Engine == nil {
		return r
	}
	for _, id := range p.ids() {
		w := p.workers[id]
		p.passTime(now, w)
		if p.held && !w.asking && !w.probe.IsZero() && !now.Before(w.probe) {
			w.asking = true
			r.Probes = append(r.Probes, id)
		}
	}
	if !p.held || now.Before(p.ordersFrom) {
		return r
	}
	p.planReplicas(now)
	p.planCopies(now)
	for _, w := range p.byValue(now) {
		if o, ok := p.nextOrder(now, w); ok {
			r.Orders = append(r.Orders, o)
		}
	}
	return r
}

// passTime ends loads from near copies by the clock; loads from the store,
// whose time depends on others, wait for the engine's word.
func (p *Planner) passTime(now time.Time, w *worker) {
	o := w.order
	if o == nil || !o.answered || o.order.Unload || o.order.Adapter != "" || now.Before(o.endsAt.Add(orderMargin)) {
		return
	}
	if o.level != Store {
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

// byValue returns the engines that have something planned, those with the most
// wanted model first, so that it gets the store's places.
func (p *Planner) byValue(now time.Time) []*worker {
	type ranked struct {
		w     *worker
		first planned
	}
	var list []ranked
	for _, id := range p.ids() {
		if w := p.workers[id]; len(w.plan) > 0 {
			list = append(list, ranked{w, p.sortedPlan(now, w)[0]})
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return p.comparePlanned(now, a.first, b.first) })
	out := make([]*worker, len(list))
	for i := range list {
		out[i] = list[i].w
	}
	return out
}

// comparePlanned puts adapters first, which take milliseconds, then what
// requests wait for, the most wanted first.
func (p *Planner) comparePlanned(now time.Time, a, b planned) int {
	return cmp.Or(
		-compareBool(a.adapter != "", b.adapter != ""),
		-compareBool(a.urgent, b.urgent),
		cmp.Compare(p.value(now, b.model), p.value(now, a.model)),
		a.since.Compare(b.since),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// sortedPlan returns an engine's plan in the order in which it is carried out.
func (p *Planner) sortedPlan(now time.Time, w *worker) []planned {
	plan := slices.Clone(w.plan)
	slices.SortStableFunc(plan, func(a, b planned) int { return p.comparePlanned(now, a, b) })
	return plan
}

// nextOrder returns the order that brings an engine's plan forward.
func (p *Planner) nextOrder(now time.Time, w *worker) (Order, bool) {
	if w.order != nil || !w.known || !w.usable() || now.Before(w.notTo) {
		return Order{}, false
	}
	for _, pl := range p.sortedPlan(now, w) {
		if p.planDone(w, pl) {
			w.unplan(pl)
			continue
		}
		if pl.adapter != "" {
			if r := w.models[pl.model]; !r.confirmed && r.readyAt.After(now) {
				continue // its model comes first
			}
			return p.adapterOrder(now, w, pl)
		}
		if w.level(pl.model) == Store && !p.mayLoadFromStore(now, pl.urgent) {
			continue
		}
		return p.modelOrder(now, w, pl)
	}
	return Order{}, false
}

func (w *worker) unplan(pl planned) {
	w.plan = slices.DeleteFunc(w.plan, func(x planned) bool { return x == pl })
}

func (p *Planner) planDone(w *worker, pl planned) bool {
	if _, ok := p.conf.Engine.Models[pl.model]; !ok {
		return true
	}
	r := w.models[pl.model]
	if pl.adapter == "" {
		return r != nil
	}
	return r == nil || r.adapters[pl.adapter] != nil
}

// modelOrder makes room, or loads.
func (p *Planner) modelOrder(now time.Time, w *worker, pl planned) (Order, bool) {
	m := p.conf.Engine.Models[pl.model]
	if p.memory(w)+m.SizeMB > p.conf.Engine.MemoryMB {
		victims := p.victims(now, w)
		if len(victims) == 0 {
			w.unplan(pl)
			return Order{}, false
		}
		return p.send(now, w, Order{Unload: true, Model: victims[0].name}, Resident), true
	}
	level := w.level(pl.model)
	w.unplan(pl)
	o := p.send(now, w, Order{Model: pl.model}, level)
	w.models[pl.model] = &replica{adapters: map[string]*adapter{}, readyAt: w.order.endsAt.Add(orderMargin), lastUse: now, keepUntil: keepFrom(w.order.endsAt, pl.urgent)}
	return o, true
}

// keepFrom returns until when a new replica is kept for those that wait.
func keepFrom(ready time.Time, urgent bool) time.Time {
	if urgent {
		return ready.Add(promiseFor)
	}
	return ready
}

// mayLoadFromStore keeps to the store's places and to its rate of loads.
func (p *Planner) mayLoadFromStore(now time.Time, urgent bool) bool {
	places := max(1, p.opt.StoreAtOnce)
	if urgent {
		places += urgentBeyond
	}
	if p.storeLoads() >= places {
		return false
	}
	p.starts = slices.DeleteFunc(p.starts, func(t time.Time) bool { return now.Sub(t) > p.opt.RateWindow })
	allowed := p.conf.Engine.LoadsPerSecond * p.opt.RateWindow.Seconds() * min(1, p.opt.RateFactor)
	return p.conf.Engine.LoadsPerSecond <= 0 || float64(len(p.starts)) < allowed
}

// adapterOrder makes room among the adapters, or loads one.
func (p *Planner) adapterOrder(now time.Time, w *worker, pl planned) (Order, bool) {
	r := w.models[pl.model]
	m := p.conf.Engine.Models[pl.model]
	held := 0
	for _, x := range w.models {
		held += len(x.adapters)
	}
	if held >= p.conf.Engine.AdapterSlots || p.memory(w)+m.AdapterMB > p.conf.Engine.MemoryMB {
		model, name, ok := oldestAdapter(w, now)
		if !ok {
			w.unplan(pl)
			return Order{}, false
		}
		return p.send(now, w, Order{Unload: true, Model: model, Adapter: name}, Resident), true
	}
	w.unplan(pl)
	o := p.send(now, w, Order{Model: pl.model, Adapter: pl.adapter}, Resident)
	r.adapters[pl.adapter] = &adapter{readyAt: now.Add(adapterLoad), lastUse: now}
	return o, true
}

// adapterIdle is how long an adapter must be unused before it makes way.
const adapterIdle = time.Second

func oldestAdapter(w *worker, now time.Time) (model, name string, ok bool) {
	oldest := now.Add(-adapterIdle)
	for m, r := range w.models {
		for a, state := range r.adapters {
			if state.lastUse.Before(oldest) && state.readyAt.Before(now) {
				oldest, model, name, ok = state.lastUse, m, a, true
			}
		}
	}
	return model, name, ok
}

func (p *Planner) send(now time.Time, w *worker, o Order, level Level) Order {
	o.EndpointID, o.Address = w.endpoint.ID, w.endpoint.Address
	o.Expect, o.Holder, o.Fence = w.sequence, p.opt.Holder, p.fence
	end := now
	if !o.Unload && o.Adapter == "" {
		end = now.Add(p.loadTime(level, o.Model))
	}
	w.order = &pending{order: o, level: level, endsAt: end}
	return o
}

// planReplicas plans loads for models whose running requests ask for more
// replicas than there are.
func (p *Planner) planReplicas(now time.Time) {
	for model, n := range p.active(now) {
		if _, ok := p.conf.Engine.Models[model]; !ok || p.replicas(model) >= needed(n) {
			continue
		}
		if w, _ := p.bestEngine(now, model, ""); w != nil {
			w.plan = append(w.plan, planned{model: model, urgent: n > perReplica, since: now})
		}
	}
}

// planCopies brings models that no engine has a copy of near, while the store
// has places free: afterwards they are a disk's load time away.
func (p *Planner) planCopies(now time.Time) {
	if now.Sub(p.grownAt) < settleFor {
		return
	}
	free := max(1, p.opt.StoreAtOnce) - p.storeLoads()
	for _, w := range p.workers {
		for _, pl := range w.plan {
			if pl.adapter == "" && w.level(pl.model) == Store {
				free--
			}
		}
	}
	if free <= 0 {
		return
	}
	for _, model := range p.missing(now) {
		w := p.quietEngine(now, model)
		if w == nil {
			return
		}
		w.plan = append(w.plan, planned{model: model, since: now})
		if free--; free <= 0 {
			return
		}
	}
}

// missing returns the models without a copy at any usable engine, the most
// wanted first.
func (p *Planner) missing(now time.Time) []string {
	var list []string
	for name := range p.conf.Engine.Models {
		found := false
		for _, w := range p.workers {
			if w.usable() && (w.level(name) != Store || w.plans(name, "")) {
				found = true
				break
			}
		}
		if !found {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.value(now, b), p.value(now, a)), cmp.Compare(a, b))
	})
	return list
}

// quietEngine returns the engine that is missed least while it loads from the
// store: it has nothing planned and the fewest models that are in use there or
// that only it can bring back.
func (p *Planner) quietEngine(now time.Time, model string) *worker {
	var best *worker
	bestOnly := 0
	active := p.active(now)
	for _, id := range p.ids() {
		w := p.workers[id]
		if !w.usable() || !w.known || w.order != nil || len(w.plan) > 0 || now.Before(w.notTo) {
			continue
		}
		if _, ok := p.roomCost(now, w, model); !ok {
			continue
		}
		if only := p.onlyHere(w) + p.inUse(w, active); best == nil || only < bestOnly {
			best, bestOnly = w, only
		}
	}
	return best
}

// onlyHere counts the models that are not loaded and have their only copy at
// the engine.
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

package residency

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Want returns where to send a request for a model, and plans a load if no engine holds the
// model.
func (p *Planner) Want(now time.Time, want Want) Answer {
	if p.conf.Engine == nil {
		return Answer{Refused: RefusedNoModel}
	}
	if _, ok := p.conf.Engine.Models[want.Model]; !ok {
		return Answer{Refused: RefusedNoModel}
	}
	p.wanted(now, want)
	if !want.MissingAt.IsZero() {
		p.absent(now, want)
	}
	if want.Unreachable {
		p.unreachable(now, want.Avoid)
	}
	p.full(now, want.Full)
	if a, ok := p.wantResident(now, want); ok {
		return a
	}
	if !p.lease.Held {
		return Answer{Refused: RefusedNoCoordinator}
	}
	a, ok := p.wantLoad(now, want)
	if !ok {
		a = Answer{Refused: RefusedNoRoom, ReadyIn: p.roomIn()}
	}
	if wait := p.lease.OrdersFrom.Sub(now); wait > 0 {
		a.ReadyIn += wait
	}
	return a
}

// observeUnreachable records that a daemon cannot connect to an engine. The engine is
// probed immediately, and a single missing report is then enough to count it as down.
func (p *Planner) unreachable(now time.Time, life fleet.Incarnation) {
	w := p.workerOf(life)
	if w == nil || w.down || now.Sub(w.heardAt) < reportLag {
		return
	}
	w.silent = max(w.silent, silentReports-1)
	w.probe = now
}

// observeMissing records that an engine has answered that it does not hold a model or
// adapter which it was expected to hold. The engine is probed to find out what it does
// hold.
func (p *Planner) absent(now time.Time, want Want) {
	w := p.workerOf(want.MissingAt)
	if w == nil {
		return
	}
	r := w.models[want.Model]
	if r == nil || r.readyAt.After(now) {
		return
	}
	if a := r.adapters[want.Adapter]; a != nil && want.Adapter != "" {
		// The adapter may be loading and occupy its slot, so only a report removes it.
		a.readyAt = maxTime(a.readyAt, now.Add(2*adapterLoad))
		w.probe = now
		return
	}
	r.readyAt = now.Add(reportLag)
	w.probe = now
}

// findResident returns an engine that holds the model or is loading it.
func (p *Planner) wantResident(now time.Time, want Want) (Answer, bool) {
	var best *worker
	bestCost := time.Duration(0)
	for _, w := range p.sorted {
		r := w.models[want.Model]
		if r == nil || !w.usable() || w.isFull(now) {
			continue
		}
		cost, ok := p.residentCost(now, w, r, want)
		cost += p.loadCost(w)
		if want.Avoid.Matches(w.life) {
			cost += avoidedCost
		}
		if ok && (best == nil || cost < bestCost || cost == bestCost && r.lastUse.Before(best.models[want.Model].lastUse)) {
			best, bestCost = w, cost
		}
	}
	if best == nil {
		return Answer{}, false
	}
	r := best.models[want.Model]
	r.lastUse, r.lastNamed = now, now
	startsIn := p.startsIn(best)
	p.sentTo(now, best, want.Daemon)
	a := Answer{Endpoint: best.life, Level: Resident, StartsIn: startsIn, ReadyIn: max(0, r.readyAt.Sub(now))}
	if want.Avoid.Matches(best.life) {
		a.ReadyIn = max(a.ReadyIn, avoidedPause)
	}
	if want.Adapter != "" {
		a.ReadyIn = max(a.ReadyIn, p.wantAdapter(now, best, r, want))
	}
	r.keepUntil = maxTime(r.keepUntil, now.Add(keepFor(a.ReadyIn)))
	return a, true
}

// keepFor returns how long a model stays loaded for a request that can start in readyIn.
func keepFor(readyIn time.Duration) time.Duration {
	if readyIn > returnsAfter {
		return readyIn + keepReturning
	}
	return readyIn + keepWaiting
}

// residentCost returns the cost of an engine that holds the model: engines that are ready
// come first, and those with the adapter come before others. It returns false if the engine
// lacks the adapter and cannot be ordered to load it.
func (p *Planner) residentCost(now time.Time, w *worker, r *replica, want Want) (time.Duration, bool) {
	cost := max(0, r.readyAt.Sub(now))
	if want.Adapter == "" {
		return cost, true
	}
	if a := r.adapters[want.Adapter]; a != nil && !a.leaving {
		return max(cost, a.readyAt.Sub(now)), true
	}
	// An engine accepts no adapter while it carries out another order.
	cost = max(cost, w.freeIn(now))
	if w.plans(want.Model, want.Adapter) {
		return cost + adapterLoad, true
	}
	if !p.lease.Held {
		return 0, false
	}
	// Engines with fewer adapters come first, to spread adapters evenly.
	return cost + adapterLoad + time.Duration(w.heldAdapters()+len(w.adapters))*time.Millisecond, true
}

// heldAdapters counts the occupied adapter slots of the engine, including those of orders
// that may still arrive.
func (w *worker) heldAdapters() int {
	n := 0
	for _, r := range w.models {
		n += len(r.adapters)
	}
	for _, l := range w.late {
		if l.order.Adapter != "" && !l.order.Endpoint.Matches(w.life) {
			n++
		}
	}
	if w.unknownLate {
		n++
	}
	return n
}

// planAdapter queues the load of the adapter if it is missing, and returns the time until
// the adapter is ready.
func (p *Planner) wantAdapter(now time.Time, w *worker, r *replica, want Want) time.Duration {
	if a := r.adapters[want.Adapter]; a != nil {
		if a.leaving {
			return reportLag // the unload must complete before the adapter can be loaded again
		}
		a.lastUse = now
		return max(0, a.readyAt.Sub(now))
	}
	if !w.plans(want.Model, want.Adapter) {
		w.adapters = append(w.adapters, adapterWant{want.Model, want.Adapter})
	}
	return max(w.freeIn(now), p.lease.OrdersFrom.Sub(now)) + adapterLoad
}

// freeIn estimates how long the engine's order in progress will take. An engine that has
// refused orders is busy for longer than estimated.
func (w *worker) freeIn(now time.Time) time.Duration {
	t := max(0, w.notTo.Sub(now), retryBusy*time.Duration(min(w.refused, refusedMost)))
	if w.order != nil {
		t = max(t, w.order.endsAt.Sub(now))
	}
	return t
}

// planLoad adds the model to the wanted models, and returns where and when it will be
// ready.
func (p *Planner) wantLoad(now time.Time, want Want) (Answer, bool) {
	w := p.wants[want.Model]
	if w == nil {
		w = &wanted{}
		p.wants[want.Model] = w
		p.slots = nil
	}
	w.asked, w.extra = now, false
	if p.slots == nil || now.Sub(p.slotsAt) > scheduleLife {
		p.schedule(p.newDraft(now))
	}
	for _, s := range p.slots {
		if s.model == want.Model {
			return Answer{Endpoint: s.w.life, Level: s.level, ReadyIn: s.readyIn}, true
		}
	}
	return Answer{}, false
}

// roomIn estimates when there will be room for a model that the schedule has no engine for:
// the first engine to finish its scheduled work runs requests for a while before it loads
// another model.
func (p *Planner) roomIn() time.Duration {
	first := time.Duration(-1)
	for _, w := range p.sorted {
		if e := p.draft.engines[w]; e != nil && w.usable() && w.known && (first < 0 || e.freeIn < first) {
			first = e.freeIn
		}
	}
	return max(p.idleAfter(), first+p.draft.runTime)
}

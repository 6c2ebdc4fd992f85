package residency

import (
	"slices"
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
	p.addValue(now, want)
	if !want.MissingAt.IsZero() {
		p.observeMissing(now, want)
	}
	if want.Unreachable {
		p.observeUnreachable(now, want.Avoid)
	}
	p.markFull(now, want.Full)
	if a, ok := p.findResident(now, want); ok {
		if a.ReadyIn > returnThreshold && want.Adapter == "" && p.lease.Held {
			return p.overtakeLoad(now, want, a)
		}
		return a
	}
	if !p.lease.Held {
		return Answer{Refused: RefusedNoCoordinator}
	}
	if want.Only.Bound && !slices.ContainsFunc(p.sorted, func(e *engineState) bool { return e.usable() && want.Only.accepts(e) }) {
		return Answer{Refused: RefusedNoEngines}
	}
	a, ok := p.planLoad(now, want)
	if !ok {
		a = Answer{Refused: RefusedNoRoom, ReadyIn: p.roomIn(want.Only)}
		if w := p.wants[wantedUnit{want.Model, want.Only}]; w != nil {
			w.returnsBy = maxTime(w.returnsBy, now.Add(a.ReadyIn+keepForReturning))
		}
	}
	if wait := p.lease.OrdersFrom.Sub(now); wait > 0 {
		a.ReadyIn += wait
	}
	return a
}

// observeUnreachable records that a daemon cannot connect to an engine. The engine is
// probed immediately, and a single missing report is then enough to count it as down.
func (p *Planner) observeUnreachable(now time.Time, incarnation fleet.Incarnation) {
	e := p.engineOf(incarnation)
	if e == nil || e.down || now.Sub(e.reportedAt) < reportLag {
		return
	}
	e.missedReports = max(e.missedReports, maxMissedReports-1)
	e.probeAt = now
}

// observeMissing records that an engine has answered that it does not hold a model or
// adapter which it was expected to hold. The engine is probed to find out what it does
// hold.
func (p *Planner) observeMissing(now time.Time, want Want) {
	e := p.engineOf(want.MissingAt)
	if e == nil {
		return
	}
	r := e.models[want.Model]
	if r == nil || r.readyAt.After(now) {
		return
	}
	if a := r.adapters[want.Adapter]; a != nil && want.Adapter != "" {
		// The adapter may be loading and occupy its slot, so only a report removes it.
		a.readyAt = maxTime(a.readyAt, now.Add(2*adapterLoad))
		e.probeAt = now
		return
	}
	r.readyAt = now.Add(reportLag)
	e.probeAt = now
}

// findResident returns an engine that holds the model or is loading it.
func (p *Planner) findResident(now time.Time, want Want) (Answer, bool) {
	var best *engineState
	bestCost := time.Duration(0)
	d := p.promptWorkOf(now, want)
	for _, e := range p.sorted {
		r := e.models[want.Model]
		if r == nil || !e.usable() || e.isFull(now) || !want.Only.accepts(e) {
			continue
		}
		cost, ok := p.residentCost(now, e, r, want)
		cost += p.directCost(now, e, &d)
		if want.Avoid.Matches(e.incarnation) {
			cost += avoidedCost
		}
		if ok && (best == nil || cost < bestCost || cost == bestCost && r.lastUse.Before(best.models[want.Model].lastUse)) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Answer{}, false
	}
	r := best.models[want.Model]
	r.lastUse, r.lastAnswered = now, now
	startsIn := p.startsIn(best)
	p.addSent(now, best, want)
	p.noteDirected(now, best, want, &d)
	a := Answer{Endpoint: best.incarnation, Level: Resident, StartsIn: startsIn, ReadyIn: max(0, r.readyAt.Sub(now))}
	if want.Avoid.Matches(best.incarnation) {
		a.ReadyIn = max(a.ReadyIn, avoidedPause)
	}
	if want.Adapter != "" {
		a.ReadyIn = max(a.ReadyIn, p.planAdapter(now, best, r, want))
	}
	r.keepUntil = maxTime(r.keepUntil, now.Add(keepFor(a.ReadyIn)))
	return a, true
}

// overtakeLoad plans a load from a nearby copy for a request whose model is ready only after
// loading. It returns the earlier of the two.
func (p *Planner) overtakeLoad(now time.Time, want Want, loading Answer) Answer {
	if a, ok := p.planLoad(now, want); ok && a.ReadyIn < loading.ReadyIn {
		return a
	}
	return loading
}

// keepFor returns how long a model stays loaded for a request that can start in readyIn.
func keepFor(readyIn time.Duration) time.Duration {
	if readyIn > returnThreshold {
		return readyIn + keepForReturning
	}
	return readyIn + keepForWaiting
}

// residentCost returns the cost of an engine that holds the model: engines that are ready
// come first, and those with the adapter come before others. It returns false if the engine
// lacks the adapter and cannot be ordered to load it.
func (p *Planner) residentCost(now time.Time, e *engineState, r *replica, want Want) (time.Duration, bool) {
	cost := max(0, r.readyAt.Sub(now))
	if want.Adapter == "" {
		return cost, true
	}
	if a := r.adapters[want.Adapter]; a != nil && !a.unloading {
		return max(cost, a.readyAt.Sub(now)), true
	}
	// An engine accepts no adapter while it carries out another order.
	cost = max(cost, e.freeIn(now))
	if e.queued(want.Model, want.Adapter) {
		return cost + adapterLoad, true
	}
	if !p.lease.Held {
		return 0, false
	}
	// Engines with fewer adapters come first, to spread adapters evenly.
	return cost + adapterLoad + time.Duration(e.heldAdapters()+len(e.adapterQueue))*time.Millisecond, true
}

// heldAdapters counts the occupied adapter slots of the engine, including those of orders
// that may still arrive.
func (e *engineState) heldAdapters() int {
	n := 0
	for _, r := range e.models {
		n += len(r.adapters)
	}
	n += e.unplannedAdapters()
	if e.unknownLateOrder {
		n++
	}
	return n
}

// planAdapter queues the load of the adapter if it is missing, and returns the time until
// the adapter is ready.
func (p *Planner) planAdapter(now time.Time, e *engineState, r *replica, want Want) time.Duration {
	if a := r.adapters[want.Adapter]; a != nil {
		if a.unloading {
			return reportLag // the unload must complete before the adapter can be loaded again
		}
		a.lastUse = now
		return max(0, a.readyAt.Sub(now))
	}
	if !e.queued(want.Model, want.Adapter) {
		e.adapterQueue = append(e.adapterQueue, adapterWant{want.Model, want.Adapter})
	}
	return max(e.freeIn(now), p.lease.OrdersFrom.Sub(now)) + adapterLoad
}

// freeIn estimates how long the engine's order in progress will take. An engine that has
// refused orders is busy for longer than estimated.
func (e *engineState) freeIn(now time.Time) time.Duration {
	t := max(0, e.noOrderBefore.Sub(now), busyRetryDelay*time.Duration(min(e.busyCount, maxBusyEstimate)))
	if e.order != nil {
		t = max(t, e.order.endsAt.Sub(now))
	}
	return t
}

// planLoad adds the model to the wanted models, and returns where and when it will be
// ready.
func (p *Planner) planLoad(now time.Time, want Want) (Answer, bool) {
	unit := wantedUnit{want.Model, want.Only}
	w := p.wants[unit]
	if w == nil {
		w = &wantedModel{wantedSince: now}
		p.wants[unit] = w
		p.loads = nil
	}
	w.requestedAt, w.extra = now, false
	w.addSlack(now, want)
	if p.loads == nil || now.Sub(p.scheduledAt) > scheduleTTL {
		p.schedule(p.newDraft(now))
	}
	for _, s := range p.loads {
		if s.wantedUnit == unit {
			return Answer{Endpoint: s.engine.incarnation, Level: s.level, ReadyIn: s.readyIn}, true
		}
	}
	return Answer{}, false
}

// roomIn estimates when there will be room for a model that the schedule has no engine for:
// the first engine that may serve the request to finish its scheduled work runs requests for a
// while before it loads another model.
func (p *Planner) roomIn(only SoftwareFilter) time.Duration {
	first := time.Duration(-1)
	for _, e := range p.sorted {
		if ed := p.draft.engines[e]; ed != nil && e.usable() && e.synced && only.accepts(e) && (first < 0 || ed.freeIn < first) {
			first = ed.freeIn
		}
	}
	return max(p.idleAfterAnswer(), first+p.draft.runTime)
}

package residency

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// adoptEntry updates an engine's state from its entry in the store. An entry does not state
// which orders it includes, so it counts only until the first report.
func (p *Planner) adoptEntry(now time.Time, e *engineState) {
	for _, m := range e.endpoint.OnDisk {
		e.onDisk[m] = true
	}
	if e.synced {
		return
	}
	e.inMemory = set(e.endpoint.InMemory)
	seen := map[string]bool{}
	for _, m := range e.endpoint.Models {
		seen[m.Model] = true
		p.adoptModel(now, e, m)
	}
	for name := range e.models {
		if !seen[name] {
			delete(e.models, name)
		}
	}
}

// adopt updates an engine's state from a report. A report from before the last accepted
// order is discarded.
func (p *Planner) adopt(now time.Time, e *engineState, rep Report) {
	if proven := e.countedAt.Add(2 * reportLag); e.synced && rep.Sequence < e.sequence && now.Before(proven) {
		if e.busyCount > 0 {
			e.probeAt = proven // the count may be wrong, as the engine has refused an order
		}
		return
	}
	if rep.Sequence < e.sequence {
		p.noteRestart(e, rep)
		e.synced = false // also if the order in progress keeps this report from being adopted
	}
	newer := rep.Sequence != e.sequence || !e.synced
	if o := e.order; o != nil {
		p.adoptDuringOrder(now, e, o, rep)
		if e.order != nil {
			return
		}
	}
	// The report does not include the effect of an order from another planner. The state
	// becomes known when the engine has completed that order.
	foreign := rep.Busy && newer
	if foreign && !e.foreignCounted {
		// The order may be a load from the store that the planner before has begun within the window.
		p.storeStarts, e.foreignCounted = append(p.storeStarts, now), true
	}
	e.reported = true
	e.sequence, e.synced = rep.Sequence, !foreign
	e.inMemory, e.onDisk = set(rep.InMemory), set(rep.OnDisk)
	if rep.Busy {
		e.noOrderBefore = now.Add(busyRetryDelay)
		e.probeAt = now.Add(reportLag)
	}
	seen := map[string]bool{}
	for _, m := range rep.Models {
		seen[m.Model] = true
		if newer || !e.stillListed(now, m.Model, rep.Busy) {
			p.adoptModel(now, e, m)
		}
	}
	for name, r := range e.models {
		// If no order was accepted since, only a report that is newer than the load proves
		// that a model is not loaded.
		if seen[name] || !newer && (rep.Busy || !now.After(r.readyAt.Add(reportLag))) {
			continue
		}
		if !newer {
			p.noteRestart(e, rep) // no order has removed the model
		}
		delete(e.models, name)
	}
	adoptLoading(now, e, rep.LoadingAdapters)
}

// adoptLoading adds the adapters that are being loaded, which occupy their slots.
func adoptLoading(now time.Time, e *engineState, loading []AdapterRef) {
	for _, a := range loading {
		r := e.models[a.Model]
		if r == nil {
			continue
		}
		if r.adapters[a.Adapter] == nil {
			r.adapters[a.Adapter] = &adapter{lastUse: now}
		}
		r.adapters[a.Adapter].readyAt = now.Add(adapterLoad)
	}
}

// stillListed reports whether a report lists a model only because the unload that this
// planner has ordered is not completed or not reported yet.
func (e *engineState) stillListed(now time.Time, model string, busy bool) bool {
	at, ok := e.unloadedAt[model]
	if !ok {
		return false
	}
	if busy || now.Before(at.Add(2*reportLag)) {
		return true
	}
	delete(e.unloadedAt, model)
	return false
}

func (p *Planner) adoptModel(now time.Time, e *engineState, m fleet.LoadedModel) {
	r := e.models[m.Model]
	if r == nil {
		r = &replica{adapters: map[string]*adapter{}}
		e.models[m.Model] = r
	}
	r.confirmed = true
	if r.readyAt.After(now) {
		r.readyAt = now
	}
	for _, a := range m.Adapters {
		if r.adapters[a] == nil {
			r.adapters[a] = &adapter{}
		}
	}
	for name, a := range r.adapters {
		// A report that includes all accepted orders lists each adapter as loaded or being
		// loaded. An adapter that was ordered just now may be newer than the report.
		if !slices.Contains(m.Adapters, name) && (a.unloading || now.After(a.readyAt.Add(reportLag))) {
			delete(r.adapters, name)
		}
	}
}

// adoptDuringOrder ends the order in progress if a report shows how. The count of a report shows that
// orders were accepted, but not which: one that was given up may expect the same count, and may take effect
// in place of the order in progress. Only what the engine holds once it is not busy decides.
func (p *Planner) adoptDuringOrder(now time.Time, e *engineState, o *pendingOrder, rep Report) {
	switch {
	case rep.Sequence <= o.order.Expect:
		if o.absentFrom(now) {
			p.dropOrder(e) // not accepted so far; Expect prevents a second execution
		} else if o.unanswered() {
			p.extendOrder(now, e, o)
		}
	case rep.Busy:
		p.learnStoreConcurrency(now, o, false)
		p.extendOrder(now, e, o)
	case o.shownBy(rep):
		p.learnStoreConcurrency(now, o, true)
		p.completeOrder(now, e)
	case o.unanswered(), o.accepted && rep.Sequence > o.order.Expect+1:
		p.dropOrder(e) // others were accepted in its place, or after it
	case o.accepted && now.After(o.endsAt.Add(loadTimeout)):
		p.dropOrder(e)
	}
}

// extendOrder moves the expected end of an order that a busy or silent engine may be carrying out. Until the next report is
// due, its model does not count as loaded: the engine may be carrying out another order, or have received none.
func (p *Planner) extendOrder(now time.Time, e *engineState, o *pendingOrder) {
	o.endsAt = maxTime(o.endsAt, now.Add(busyRetryDelay))
	if r := e.models[o.order.Model]; r != nil && !o.accepted && !r.confirmed {
		r.readyAt = maxTime(r.readyAt, maxTime(o.endsAt, now.Add(reportLag)).Add(orderMargin))
	}
}

// shownBy reports whether a report of an engine that is not busy shows the effect of the order.
func (o *pendingOrder) shownBy(rep Report) bool {
	i := slices.IndexFunc(rep.Models, func(m fleet.LoadedModel) bool { return m.Model == o.order.Model })
	present := i >= 0
	if o.order.Adapter != "" {
		ref := AdapterRef{o.order.Model, o.order.Adapter}
		present = present && slices.Contains(rep.Models[i].Adapters, ref.Adapter) || slices.Contains(rep.LoadingAdapters, ref)
	}
	return present != o.order.Unload
}

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
	if e.synced && rep.Sequence < e.sequence {
		return
	}
	newer := rep.Sequence > e.sequence || !e.synced
	if o := e.order; o != nil {
		p.adoptDuringOrder(now, e, o, rep)
		if e.order != nil {
			return
		}
	}
	// The report does not include the effect of an order from another planner. The state
	// becomes known when the engine has completed that order.
	foreign := rep.Busy && newer
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
		if !seen[name] && (newer || !rep.Busy && now.After(r.readyAt.Add(reportLag))) {
			delete(e.models, name)
		}
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

// adoptDuringOrder checks whether a report shows how the order in progress ended.
func (p *Planner) adoptDuringOrder(now time.Time, e *engineState, o *pendingOrder, rep Report) {
	if rep.Sequence <= o.order.Expect {
		if !o.accepted && !o.unansweredAt.IsZero() && now.After(o.unansweredAt.Add(reportLag)) {
			p.dropOrder(e) // not accepted so far; Expect prevents a second execution
		}
		return
	}
	o.accepted = true
	has := slices.ContainsFunc(rep.Models, func(m fleet.LoadedModel) bool { return m.Model == o.order.Model })
	switch {
	case rep.Busy:
		p.learnStoreConcurrency(now, o, false)
		o.endsAt = maxTime(o.endsAt, now.Add(busyRetryDelay))
	case o.order.Unload && !has, !o.order.Unload && has:
		p.learnStoreConcurrency(now, o, true)
		p.completeOrder(now, e)
	case now.After(o.endsAt.Add(loadTimeout)):
		p.dropOrder(e)
	}
}

package residency

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// adoptEntry updates an engine's state from its entry in the store. An entry does not state
// which orders it includes, so it counts only until the first report.
func (p *Planner) adoptEntry(now time.Time, w *worker) {
	for _, m := range w.endpoint.OnDisk {
		w.onDisk[m] = true
	}
	if w.known {
		return
	}
	w.inMemory = set(w.endpoint.InMemory)
	seen := map[string]bool{}
	for _, m := range w.endpoint.Models {
		seen[m.Model] = true
		p.adoptModel(now, w, m)
	}
	for name := range w.models {
		if !seen[name] {
			delete(w.models, name)
		}
	}
}

// adopt updates an engine's state from a report. A report from before the last accepted
// order is discarded.
func (p *Planner) adopt(now time.Time, w *worker, rep Report) {
	if w.known && rep.Sequence < w.sequence {
		return
	}
	newer := rep.Sequence > w.sequence || !w.known
	if o := w.order; o != nil {
		p.adoptDuring(now, w, o, rep)
		if w.order != nil {
			return
		}
	}
	// The report does not include the effect of an order from another planner. The state
	// becomes known when the engine has completed that order.
	foreign := rep.Busy && newer
	w.sequence, w.known = rep.Sequence, !foreign
	w.inMemory, w.onDisk = set(rep.InMemory), set(rep.OnDisk)
	if rep.Busy {
		w.notTo = now.Add(retryBusy)
		w.probe = now.Add(reportLag)
	}
	seen := map[string]bool{}
	for _, m := range rep.Models {
		seen[m.Model] = true
		if newer || !w.stillNamed(now, m.Model, rep.Busy) {
			p.adoptModel(now, w, m)
		}
	}
	for name, r := range w.models {
		// If no order was accepted since, only a report that is newer than the load proves
		// that a model is not loaded.
		if !seen[name] && (newer || !rep.Busy && now.After(r.readyAt.Add(reportLag))) {
			delete(w.models, name)
		}
	}
	adoptComing(now, w, rep.LoadingAdapters)
}

// adoptLoading adds the adapters that are being loaded, which occupy their slots.
func adoptComing(now time.Time, w *worker, coming []AdapterRef) {
	for _, c := range coming {
		r := w.models[c.Model]
		if r == nil {
			continue
		}
		if r.adapters[c.Adapter] == nil {
			r.adapters[c.Adapter] = &adapter{lastUse: now}
		}
		r.adapters[c.Adapter].readyAt = now.Add(adapterLoad)
	}
}

// stillListed reports whether a report lists a model only because the unload that this
// planner has ordered is not completed or not reported yet.
func (w *worker) stillNamed(now time.Time, model string, busy bool) bool {
	at, ok := w.unloaded[model]
	if !ok {
		return false
	}
	if busy || now.Before(at.Add(2*reportLag)) {
		return true
	}
	delete(w.unloaded, model)
	return false
}

func (p *Planner) adoptModel(now time.Time, w *worker, m fleet.LoadedModel) {
	r := w.models[m.Model]
	if r == nil {
		r = &replica{adapters: map[string]*adapter{}}
		w.models[m.Model] = r
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
		if !slices.Contains(m.Adapters, name) && (a.leaving || now.After(a.readyAt.Add(reportLag))) {
			delete(r.adapters, name)
		}
	}
}

// adoptDuringOrder checks whether a report shows how the order in progress ended.
func (p *Planner) adoptDuring(now time.Time, w *worker, o *pending, rep Report) {
	if rep.Sequence <= o.order.Expect {
		if !o.answered && !o.unsureAt.IsZero() && now.After(o.unsureAt.Add(reportLag)) {
			p.dropOrder(w) // not accepted so far; Expect prevents a second execution
		}
		return
	}
	o.answered = true
	has := slices.ContainsFunc(rep.Models, func(m fleet.LoadedModel) bool { return m.Model == o.order.Model })
	switch {
	case rep.Busy:
		p.learnPlaces(now, o, false)
		o.endsAt = maxTime(o.endsAt, now.Add(retryBusy))
	case o.order.Unload && !has, !o.order.Unload && has:
		p.learnPlaces(now, o, true)
		p.endOrder(now, w)
	case now.After(o.endsAt.Add(loadOverdue)):
		p.dropOrder(w)
	}
}

package residency

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// adoptEntry takes an engine's entry in the store. An entry does not say which
// orders it knows of, so it counts only until a report has come.
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

// adopt takes a report. One from before the last accepted order says nothing.
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
	// What an engine will hold after an order that this planner has not given
	// is not in the report; it becomes known when the engine is done.
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
		// Without an accepted order between, only a report that is younger
		// than the load tells that a model is not there.
		if !seen[name] && (newer || !rep.Busy && now.After(r.readyAt.Add(reportLag))) {
			delete(w.models, name)
		}
	}
	adoptComing(now, w, rep.LoadingAdapters)
}

// adoptComing takes the adapters on their way, which hold their slots.
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

// stillNamed reports whether a report names a model only because the unload
// that this daemon has ordered is not done or not reported yet.
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
		// A report that knows of every accepted order names each adapter, or
		// has it on its way; one that was just ordered may be younger.
		if !slices.Contains(m.Adapters, name) && (a.leaving || now.After(a.readyAt.Add(reportLag))) {
			delete(r.adapters, name)
		}
	}
}

// adoptDuring looks whether a report tells how the order ended.
func (p *Planner) adoptDuring(now time.Time, w *worker, o *pending, rep Report) {
	if rep.Sequence <= o.order.Expect {
		if !o.answered && !o.unsureAt.IsZero() && now.After(o.unsureAt.Add(reportLag)) {
			p.dropOrder(w) // not accepted so far; its expectation guards a repeat
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

package residency

import "time"

// completeOrder records that the engine has completed its order.
func (p *Planner) endOrder(now time.Time, w *worker) {
	o := w.order
	w.order = nil
	w.sequence = max(w.sequence, o.order.Expect+1)
	if o.order.Adapter != "" {
		if r := w.models[o.order.Model]; r != nil && o.order.Unload {
			delete(r.adapters, o.order.Adapter)
		}
		return
	}
	if o.order.Unload {
		delete(w.models, o.order.Model)
		w.unloaded[o.order.Model] = now
		w.notTo, w.afterUnload = maxTime(w.notTo, now.Add(p.unloadTakes)), true
		return
	}
	delete(w.unloaded, o.order.Model)
	if r := w.models[o.order.Model]; r != nil && r.readyAt.After(now) {
		r.readyAt = now
	}
	w.onDisk[o.order.Model] = true
}

// dropOrder discards an order that has had no effect.
func (p *Planner) dropOrder(w *worker) {
	o := w.order
	w.order = nil
	if o.order.Unload {
		return
	}
	r := w.models[o.order.Model]
	switch {
	case r == nil:
	case o.order.Adapter != "":
		delete(r.adapters, o.order.Adapter)
	case !r.confirmed:
		delete(w.models, o.order.Model)
		if !o.askedAt.IsZero() && p.wants[o.order.Model] == nil {
			p.wants[o.order.Model] = &wanted{asked: o.askedAt}
		}
	}
}

// ObserveOutcome records the outcome of an order.
func (p *Planner) ObserveOutcome(now time.Time, order Order, outcome Outcome) {
	w := p.workers[order.Endpoint.ID]
	if w == nil {
		return
	}
	w.noteLate(now, order, outcome)
	if w.order == nil || w.order.order != order {
		return
	}
	p.learnUnload(w, outcome)
	switch outcome {
	case Accepted:
		if w.order.order.Adapter != "" && w.order.order.Unload {
			p.adapterLeaves(now, w)
			return
		}
		p.accepted(now, w)
	case AlreadyDone:
		if w.order.order.Adapter != "" && w.order.order.Unload {
			p.accepted(now, w) // an unused adapter is unloaded immediately
			return
		}
		w.order.endsAt = now
		p.endOrder(now, w)
		// It is not certain whether the engine counted the order.
		w.known, w.probe = false, now.Add(reportLag)
	case Busy:
		p.dropOrder(w)
		w.refused++
		w.notTo = now.Add(retryBusy * time.Duration(min(w.refused, busyDoublings)))
		w.probe = now
	case Refused, Unsent:
		p.dropOrder(w)
		w.down = true
		w.notTo = now.Add(retryUnanswered)
		w.probe = now
	case Unanswered:
		p.countStart(now, w.order)
		w.order.unsureAt = now
		w.notTo = now.Add(retryUnanswered)
		w.probe = now.Add(retryUnanswered)
	}
}

const (
	// maxUnloadTime limits the estimate of how long an engine takes to unload a model
	// without running requests. The estimate can only be learned from the answer to the
	// next order, since no report shows when an unload is complete.
	unloadMost = 400 * time.Millisecond
	// unloadStep is the step by which the estimate changes. unloadBusyShare is the target
	// share of orders after an unload that find it incomplete: each of them costs a call
	// and the delay after it.
	unloadStep    = 20 * time.Millisecond
	unloadRefused = 0.05
)

// learnUnload updates the estimate of the unload time from the first order after an unload:
// a busy engine shows that the order was sent too early.
func (p *Planner) learnUnload(w *worker, outcome Outcome) {
	if !w.afterUnload {
		return
	}
	w.afterUnload = false
	switch outcome {
	case Busy:
		p.unloadTakes += time.Duration(float64(unloadStep) * (1 - unloadRefused))
	case Accepted:
		p.unloadTakes -= time.Duration(float64(unloadStep) * unloadRefused)
	}
	p.unloadTakes = min(unloadMost, max(0, p.unloadTakes))
}

// adapterUnloadAccepted records the accepted unload of an adapter that requests still use.
// Its slot is free once a report no longer lists it.
func (p *Planner) adapterLeaves(now time.Time, w *worker) {
	o := w.order.order
	w.order, w.refused = nil, 0
	w.sequence = o.Expect + 1
	w.probe = now.Add(reportLag)
	if r := w.models[o.Model]; r != nil && r.adapters[o.Adapter] != nil {
		r.adapters[o.Adapter].leaving = true
	}
}

// countStart counts a load from the store that has started or may have started.
func (p *Planner) countStart(now time.Time, o *pending) {
	if o.loadsFromStore() {
		p.starts = append(p.starts, now)
	}
}

func (p *Planner) accepted(now time.Time, w *worker) {
	o := w.order
	w.refused = 0
	p.countStart(now, o)
	o.answered = true
	w.sequence = o.order.Expect + 1
	switch {
	case o.order.Adapter != "", o.order.Unload:
		// Loading an adapter does not make the engine busy. Whether an unload is complete
		// shows in the answer to the next order.
		p.endOrder(now, w)
	default:
		o.store.began = now
		o.endsAt = now.Add(p.loadTime(o.order.Level, o.order.Model, p.storeLoads()))
		if r := w.models[o.order.Model]; r != nil {
			r.readyAt = o.endsAt.Add(orderMargin)
		}
		w.probe = o.endsAt.Add(orderMargin)
	}
}

// loadTime estimates the duration of a load while storeLoads loads from the store are in
// progress. These slow each other down beyond the number that the store serves at full
// speed.
func (p *Planner) loadTime(l Level, model string, storeLoads int) time.Duration {
	m := p.conf.Engine.Models[model]
	switch l {
	case Memory:
		return m.LoadFromMemory
	case Disk:
		return m.LoadFromDisk
	case Store:
		crowd := max(1, float64(storeLoads)/float64(p.places.Estimate))
		return time.Duration(float64(m.LoadFromStore) * crowd)
	}
	return 0
}

// storeLoads returns the number of loads from the store in progress.
func (p *Planner) storeLoads() int {
	n := 0
	for _, w := range p.workers {
		if w.order != nil && w.order.loadsFromStore() {
			n++
		}
	}
	return n
}

package residency

import "time"

// completeOrder records that the engine has completed its order.
func (p *Planner) completeOrder(now time.Time, e *engineState) {
	o := e.order
	e.order = nil
	e.countOrder(now, o.order)
	if o.order.Adapter != "" {
		if r := e.models[o.order.Model]; r != nil && o.order.Unload {
			delete(r.adapters, o.order.Adapter)
		}
		return
	}
	if o.order.Unload {
		delete(e.models, o.order.Model)
		e.unloadedAt[o.order.Model] = now
		// The end of running requests says nothing about the unload time of idle models.
		e.noOrderBefore, e.afterUnload = maxTime(e.noOrderBefore, now.Add(max(o.drain, p.unloadTime))), o.drain == 0
		return
	}
	delete(e.unloadedAt, o.order.Model)
	if r := e.models[o.order.Model]; r != nil && r.readyAt.After(now) {
		r.readyAt = now
	}
	e.onDisk[o.order.Model] = true
}

// countOrder counts an order that the engine has accepted. It may have answered an order that was done
// already without counting it: its reports show that some time later.
func (e *engineState) countOrder(now time.Time, o Order) {
	if e.sequence <= o.Expect {
		e.sequence, e.countedAt = o.Expect+1, now
	}
}

// dropOrder discards an order that has had no effect.
func (p *Planner) dropOrder(e *engineState) {
	o := e.order
	e.order = nil
	if o.order.Unload {
		return
	}
	r := e.models[o.order.Model]
	switch {
	case r == nil:
	case o.order.Adapter != "":
		delete(r.adapters, o.order.Adapter)
	case !r.confirmed:
		delete(e.models, o.order.Model)
		if !o.requestedAt.IsZero() && p.wants[anywhere(o.order.Model)] == nil {
			p.wants[anywhere(o.order.Model)] = &wantedModel{requestedAt: o.requestedAt, wantedSince: o.requestedAt}
		}
	}
}

// ObserveOutcome records the outcome of an order.
func (p *Planner) ObserveOutcome(now time.Time, order Order, outcome Outcome) {
	e := p.engines[order.Endpoint.ID]
	if e == nil {
		p.observeUnlisted(now, order, outcome)
		return
	}
	e.late.observe(now, order, outcome)
	if e.order == nil || e.order.order != order {
		return
	}
	p.learnUnload(e, outcome)
	switch outcome {
	case Accepted:
		if e.order.order.Adapter != "" && e.order.order.Unload {
			p.adapterUnloadAccepted(now, e)
			return
		}
		p.orderAccepted(now, e)
	case AlreadyDone:
		if e.order.order.Adapter != "" && e.order.order.Unload {
			p.orderAccepted(now, e) // an unused adapter is unloaded immediately
			return
		}
		e.order.endsAt = now
		p.completeOrder(now, e)
		// It is not certain whether the engine counted the order.
		e.synced, e.probeAt = false, now.Add(reportLag)
	case Busy:
		p.dropOrder(e)
		e.busyCount++
		e.noOrderBefore = now.Add(busyRetryDelay * time.Duration(min(e.busyCount, maxBusyMultiple)))
		e.probeAt = now
	case Refused, Unsent:
		p.dropOrder(e)
		e.down = true
		e.noteSilence(now)
		e.noOrderBefore = now.Add(unansweredRetryDelay)
		e.probeAt = now
	case Unanswered:
		p.countStart(now, e.order)
		e.order.unansweredAt = now
		p.extendOrder(now, e, e.order)
		e.noOrderBefore = now.Add(unansweredRetryDelay)
		e.probeAt = now.Add(unansweredRetryDelay)
	}
}

const (
	// maxUnloadTime limits the estimate of how long an engine takes to unload a model
	// without running requests. The estimate can only be learned from the answer to the
	// next order, since no report shows when an unload is complete.
	maxUnloadTime = 400 * time.Millisecond
	// unloadStep is the step by which the estimate changes. unloadBusyShare is the target
	// share of orders after an unload that find it incomplete: each of them costs a call
	// and the delay after it.
	unloadStep      = 20 * time.Millisecond
	unloadBusyShare = 0.05
)

// learnUnload updates the estimate of the unload time from the first order after an unload:
// a busy engine shows that the order was sent too early.
func (p *Planner) learnUnload(e *engineState, outcome Outcome) {
	if !e.afterUnload {
		return
	}
	e.afterUnload = false
	switch outcome {
	case Busy:
		p.unloadTime += time.Duration(float64(unloadStep) * (1 - unloadBusyShare))
	case Accepted:
		p.unloadTime -= time.Duration(float64(unloadStep) * unloadBusyShare)
	}
	p.unloadTime = min(maxUnloadTime, max(0, p.unloadTime))
}

// adapterUnloadAccepted records the accepted unload of an adapter that requests still use.
// Its slot is free once a report no longer lists it.
func (p *Planner) adapterUnloadAccepted(now time.Time, e *engineState) {
	o := e.order.order
	e.order, e.busyCount = nil, 0
	e.countOrder(now, o)
	e.probeAt = now.Add(reportLag)
	if r := e.models[o.Model]; r != nil && r.adapters[o.Adapter] != nil {
		r.adapters[o.Adapter].unloading = true
	}
}

// countStart counts a load from the store that has started or may have started.
func (p *Planner) countStart(now time.Time, o *pendingOrder) {
	if o.loadsFromStore() {
		p.storeStarts = append(p.storeStarts, now)
		o.startCounted = true
	}
}

// uncountedStarts returns the number of loads from the store that were sent and are not among storeStarts yet.
func (p *Planner) uncountedStarts() int {
	n := 0
	for _, e := range p.engines {
		if e.order != nil && e.order.loadsFromStore() && !e.order.startCounted {
			n++
		}
	}
	return n
}

func (p *Planner) orderAccepted(now time.Time, e *engineState) {
	o := e.order
	e.busyCount = 0
	p.countStart(now, o)
	o.accepted = true
	e.countOrder(now, o.order)
	switch {
	case o.order.Adapter != "", o.order.Unload:
		// Loading an adapter does not make the engine busy. Whether an unload is complete
		// shows in the answer to the next order.
		p.completeOrder(now, e)
	default:
		o.store.began = now
		o.endsAt = now.Add(p.loadTime(o.order.Level, o.order.Model, p.storeLoads()))
		if r := e.models[o.order.Model]; r != nil {
			r.readyAt = o.endsAt.Add(orderMargin)
		}
		e.probeAt = o.endsAt.Add(orderMargin)
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
		crowd := max(1, float64(storeLoads)/float64(p.store.Estimate))
		return time.Duration(float64(m.LoadFromStore) * crowd)
	}
	return 0
}

// storeLoads returns the number of loads from the store in progress.
func (p *Planner) storeLoads() int {
	n := 0
	for _, e := range p.engines {
		if e.order != nil && e.order.loadsFromStore() {
			n++
		}
	}
	return n
}

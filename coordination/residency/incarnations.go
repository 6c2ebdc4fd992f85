package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// lateOrder is an unanswered order. The engine may carry it out seconds later, even in its
// next incarnation, which counts orders from zero again and so can reach the count that the
// order expects.
type lateOrder struct {
	order Order
	until time.Time // the order cannot arrive any later
	// restarted reports that the engine may have started again since, without telling its start.
	restarted bool
}

// toEarlier reports whether the order may have been sent to an earlier incarnation of the engine.
func (l lateOrder) toEarlier(e *engineState) bool {
	return l.restarted || !l.order.Endpoint.Matches(e.incarnation)
}

// noteRestart records that the engine may have started again without telling its start.
func (e *engineState) noteRestart() {
	for i := range e.lateOrders {
		e.lateOrders[i].restarted = true
	}
}

// unplannedMemory returns the memory, in MB, that the effect of an order to an earlier
// incarnation would need in addition to everything planned for this one.
func (e *engineState) unplannedMemory(l lateOrder, engine *routing.Engine) float64 {
	m := engine.Models[l.order.Model]
	switch {
	case l.order.Unload, !l.toEarlier(e):
		return 0
	case l.order.Adapter != "":
		return m.AdapterMB
	}
	return m.SizeMB
}

// recordLate processes the outcome of an order: an unanswered order may arrive late, and an
// accepted order to an earlier incarnation may have been accepted by the present one
// instead.
func (e *engineState) recordLate(now time.Time, o Order, outcome Outcome) {
	e.lateOrders = slices.DeleteFunc(e.lateOrders, func(l lateOrder) bool { return l.order == o })
	if outcome == Unanswered || outcome == Accepted && !o.Endpoint.Matches(e.incarnation) {
		e.addLateOrder(now, o)
	}
}

// addLateOrder records an order that the engine may still carry out, unless it is recorded already.
func (e *engineState) addLateOrder(now time.Time, o Order) {
	if slices.ContainsFunc(e.lateOrders, func(l lateOrder) bool { return l.order == o }) {
		return
	}
	e.lateOrders = append(e.lateOrders, lateOrder{order: o, until: now.Add(lateOrderTTL)})
}

// pruneLate drops late orders that can have no effect any more: their time has passed, or
// this incarnation has accepted more orders than they expect. An order to this same
// incarnation is kept until its time has passed, since the next incarnation may reach the
// expected count.
func (e *engineState) pruneLate(now time.Time) {
	e.lateOrders = slices.DeleteFunc(e.lateOrders, func(l lateOrder) bool {
		counted := e.synced && e.sequence > l.order.Expect && l.toEarlier(e)
		return counted || !now.Before(l.until)
	})
}

// clockSlack is how far an engine's clock may be ahead of this host's, apart from clock
// jumps.
const clockSlack = time.Second

// mayHaveUnknownLate reports whether an order of a former coordinator may still arrive at
// an engine that has started since the order was sent. An engine that holds more models
// than it was ever ordered to load has not restarted, because engines restart empty.
// Keeping the memory for one model free costs an engine that holds three models a third of
// its room, so it is done only for engines that may have started recently enough.
func (p *Planner) mayHaveUnknownLate(now time.Time, e *engineState) bool {
	if p.lease.First || e.incarnation.StartUnixMs == 0 || now.Sub(p.tookOver) >= lateOrderTTL || uint64(len(e.models)) > e.sequence {
		return false
	}
	return now.Sub(time.UnixMilli(e.incarnation.StartUnixMs)) < lateOrderTTL+clockSlack
}

// replaceIncarnation replaces an engine's state by that of its next incarnation. Only two
// things are carried over: the copies on its disk, which its first report confirms, and the
// orders to the previous incarnation that may still arrive. No order is sent before that
// report.
func (p *Planner) replaceIncarnation(now time.Time, e *engineState, incarnation fleet.Incarnation) *engineState {
	next := newEngineState(now, incarnation)
	next.endpoint, next.onDisk = e.endpoint, maps.Clone(e.onDisk)
	next.lateOrders = e.lateOrders
	if o := e.order; o != nil && !o.accepted {
		next.addLateOrder(now, o.order)
	}
	p.engines[incarnation.ID] = next
	p.forgetGone()
	p.loads = nil
	return next
}

// replaceUnlistedIncarnation is like replaceIncarnation, for a new incarnation that the
// store does not list yet. Its report came from the address in the previous entry.
func (p *Planner) replaceUnlistedIncarnation(now time.Time, e *engineState, incarnation fleet.Incarnation) *engineState {
	next := p.replaceIncarnation(now, e, incarnation)
	entry := *e.endpoint
	entry.StartUnixMs, entry.Models, entry.Leaving, entry.Remaining = incarnation.StartUnixMs, nil, false, 0
	next.endpoint = &entry
	p.sortEngines()
	return next
}

// engineOf returns the engine of an incarnation, or nil if it is unknown or has a different
// incarnation.
func (p *Planner) engineOf(incarnation fleet.Incarnation) *engineState {
	if e := p.engines[incarnation.ID]; e != nil && e.incarnation.Matches(incarnation) {
		return e
	}
	return nil
}

// ofCurrentIncarnations drops requests that run at earlier incarnations of engines, and
// maps the others to the incarnations that are known here.
func (p *Planner) ofCurrentIncarnations(running map[Place]int) map[Place]int {
	out := make(map[Place]int, len(running))
	for place, n := range running {
		if e := p.engines[place.Endpoint.ID]; e != nil {
			if !e.incarnation.Matches(place.Endpoint) {
				continue
			}
			place.Endpoint = e.incarnation
		}
		out[place] += n
	}
	return out
}

package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// lateOrder is an unanswered order. The engine may carry it out seconds later, even in a later
// incarnation, which counts orders from zero again and so can reach the count that the order expects.
// Only time proves that it has no effect any more: a count beyond the expected one proves this for one
// incarnation.
type lateOrder struct {
	order Order
	until time.Time // the order cannot arrive any later
}

// lateOrders are the unanswered orders to the incarnations of one engine.
type lateOrders struct {
	incarnation fleet.Incarnation // the present one, or the last one that was listed
	// firstSerial is the serial of the first order that was certainly sent to this incarnation.
	firstSerial uint64
	list        []lateOrder
}

// observe processes the outcome of an order: an unanswered order may arrive late, and an accepted
// order to an earlier incarnation may have been accepted by the present one instead.
func (l *lateOrders) observe(now time.Time, o Order, outcome Outcome) {
	l.list = slices.DeleteFunc(l.list, func(known lateOrder) bool { return known.order == o })
	if outcome == Unanswered || outcome == Accepted && l.toEarlier(o) {
		l.add(now, o)
	}
}

// add records an order that the engine may still carry out.
func (l *lateOrders) add(now time.Time, o Order) {
	l.list = append(l.list, lateOrder{order: o, until: now.Add(lateOrderTTL)})
}

// prune drops the orders whose time has passed.
func (l *lateOrders) prune(now time.Time) {
	l.list = slices.DeleteFunc(l.list, func(known lateOrder) bool { return !now.Before(known.until) })
}

// toEarlier reports whether an order may have been sent to an earlier incarnation.
func (l *lateOrders) toEarlier(o Order) bool {
	return o.serial < l.firstSerial || !o.Endpoint.Matches(l.incarnation)
}

// unplanned returns the late loads that the present incarnation, which has counted a number of orders,
// may still carry out in addition to those planned for it.
func (l *lateOrders) unplanned(counted uint64) possibleLoads {
	possible := possibleLoads{}
	for _, known := range l.list {
		if known.order.Expect >= counted && l.toEarlier(known.order) {
			possible.add(known.order)
		}
	}
	return possible
}

// afterRestart returns the late loads that an incarnation after the present one may carry out, with an
// order that is about to be sent.
func (l *lateOrders) afterRestart(next Order) possibleLoads {
	possible := possibleLoads{}
	for _, known := range l.list {
		possible.add(known.order)
	}
	possible.add(next)
	return possible
}

// possibleLoads are loads that an engine may carry out, by the count that they expect: of those that
// expect the same one, it carries out one at most.
type possibleLoads map[uint64][]Order

func (l possibleLoads) add(o Order) {
	if !o.Unload {
		l[o.Expect] = append(l[o.Expect], o)
	}
}

// memory returns the most memory, in MB, that the loads need.
func (l possibleLoads) memory(engine *routing.Engine) float64 {
	sum := 0.0
	for _, orders := range l {
		most := 0.0
		for _, o := range orders {
			size := engine.Models[o.Model].SizeMB
			if o.Adapter != "" {
				size = engine.Models[o.Model].AdapterMB
			}
			most = max(most, size)
		}
		sum += most
	}
	return sum
}

// adapters returns the most adapters that the loads add.
func (l possibleLoads) adapters() int {
	n := 0
	for _, orders := range l {
		if slices.ContainsFunc(orders, func(o Order) bool { return o.Adapter != "" }) {
			n++
		}
	}
	return n
}

// counted returns the number of orders that the present incarnation has certainly counted.
func (e *engineState) counted() uint64 {
	if !e.synced {
		return 0
	}
	return e.sequence
}

// unplannedMemory returns the memory, in MB, that late orders to earlier incarnations may need in
// addition to everything planned for this one.
func (e *engineState) unplannedMemory(engine *routing.Engine) float64 {
	if len(e.late.list) == 0 {
		return 0
	}
	return e.late.unplanned(e.counted()).memory(engine)
}

// unplannedAdapters returns the number of adapters that late orders to earlier incarnations may load.
func (e *engineState) unplannedAdapters() int {
	if len(e.late.list) == 0 {
		return 0
	}
	return e.late.unplanned(e.counted()).adapters()
}

// fitsAfterRestart reports whether a load may be sent: if it is late, and the engine starts again, it and
// the other late orders must fit into the engine without any planning.
func (p *Planner) fitsAfterRestart(e *engineState, o Order) bool {
	if len(e.late.list) == 0 {
		return true
	}
	o.Expect = e.sequence
	possible := e.late.afterRestart(o)
	return possible.memory(p.conf.Engine) <= p.conf.Engine.MemoryMB && possible.adapters() <= p.conf.Engine.AdapterSlots
}

// noteRestart records that an engine may have started again, unless its report tells the known start.
func (p *Planner) noteRestart(e *engineState, rep Report) {
	if rep.Endpoint.StartUnixMs == 0 {
		e.late.firstSerial = p.serial + 1
	}
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
	next := p.newEngineState(now, incarnation)
	next.endpoint, next.onDisk = e.endpoint, maps.Clone(e.onDisk)
	e.giveUpOrder(now)
	next.late.list = e.late.list
	p.engines[incarnation.ID] = next
	p.forgetGone()
	p.loads = nil
	return next
}

// giveUpOrder records the order in progress as late if it has not been answered.
func (e *engineState) giveUpOrder(now time.Time) {
	if o := e.order; o != nil && !o.accepted && !slices.ContainsFunc(e.late.list, func(l lateOrder) bool { return l.order == o.order }) {
		e.late.add(now, o.order)
	}
}

// removeEngine forgets an engine that is not listed any more, except for its late orders: its entry
// may have run out, and it may come back under its id while they can still arrive.
func (p *Planner) removeEngine(now time.Time, id string) {
	e := p.engines[id]
	e.giveUpOrder(now)
	if len(e.late.list) > 0 {
		p.unlisted[id] = &e.late
	}
	delete(p.engines, id)
}

// observeUnlisted processes the outcome of an order to an engine that is not listed any more.
func (p *Planner) observeUnlisted(now time.Time, o Order, outcome Outcome) {
	late := p.unlisted[o.Endpoint.ID]
	if late == nil {
		late = &lateOrders{incarnation: o.Endpoint, firstSerial: p.serial + 1}
		p.unlisted[o.Endpoint.ID] = late
	}
	late.observe(now, o, outcome)
}

// returnedEngine returns the state of an engine that is listed, and was not before or no longer.
func (p *Planner) returnedEngine(now time.Time, incarnation fleet.Incarnation) *engineState {
	e := p.newEngineState(now, incarnation)
	if late := p.unlisted[incarnation.ID]; late != nil {
		e.late.list = late.list
		if late.incarnation.StartUnixMs != 0 && late.incarnation == incarnation {
			e.late.firstSerial = late.firstSerial // it is the same incarnation
		}
		delete(p.unlisted, incarnation.ID)
	}
	return e
}

// pruneUnlisted forgets the late orders of unlisted engines whose time has passed.
func (p *Planner) pruneUnlisted(now time.Time) {
	for id, late := range p.unlisted {
		if late.prune(now); len(late.list) == 0 {
			delete(p.unlisted, id)
		}
	}
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

package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// lateOrder is an unanswered order. The engine may carry it out seconds later, also in its
// next incarnation: that one counts orders from zero again and so can reach the count that
// the order expects.
type lateOrder struct {
	order Order
	until time.Time // the order cannot arrive any later
}

// unplannedMemory returns the memory, in MB, that the effect of an order to an earlier
// incarnation would need in addition to everything planned for this one.
func (w *worker) unplanned(l lateOrder, engine *routing.Engine) float64 {
	m := engine.Models[l.order.Model]
	switch {
	case l.order.Unload, l.order.Endpoint.Matches(w.life):
		return 0
	case l.order.Adapter != "":
		return m.AdapterMB
	}
	return m.SizeMB
}

// recordLate processes the outcome of an order: an unanswered one may arrive late, and one
// that was sent to an earlier incarnation and accepted may have been accepted by this one.
func (w *worker) noteLate(now time.Time, o Order, outcome Outcome) {
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool { return l.order == o })
	if outcome == Unanswered || outcome == Accepted && !o.Endpoint.Matches(w.life) {
		w.mayComeLate(now, o)
	}
}

// addLateOrder records an order that the engine may still carry out.
func (w *worker) mayComeLate(now time.Time, o Order) {
	w.late = append(w.late, lateOrder{o, now.Add(lateOrderLife)})
}

// pruneLate drops late orders that can have no effect any more: those whose time has
// passed, and those whose expected count this incarnation has exceeded. An order to this
// same incarnation is kept until its time has passed, since the next incarnation may reach
// the expected count.
func (w *worker) forgetLate(now time.Time) {
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool {
		counted := w.known && w.sequence > l.order.Expect && !l.order.Endpoint.Matches(w.life)
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
func (p *Planner) mayHaveUnknownLate(now time.Time, w *worker) bool {
	if p.lease.First || w.life.StartUnixMs == 0 || now.Sub(p.tookOver) >= lateOrderLife || uint64(len(w.models)) > w.sequence {
		return false
	}
	return now.Sub(time.UnixMilli(w.life.StartUnixMs)) < lateOrderLife+clockSlack
}

// replaceIncarnation replaces an engine's state by that of its next incarnation. Only two
// things are carried over: the copies on its disk, which its first report confirms, and the
// orders to the previous incarnation that may still arrive. No order is sent before that
// report.
func (p *Planner) reborn(now time.Time, w *worker, life fleet.Incarnation) *worker {
	next := newWorker(now, life)
	next.endpoint, next.onDisk = w.endpoint, maps.Clone(w.onDisk)
	next.late = w.late
	if o := w.order; o != nil && !o.answered {
		next.mayComeLate(now, o.order)
	}
	p.workers[life.ID] = next
	p.slots = nil
	return next
}

// replaceUnlistedIncarnation does the same before the store lists the new incarnation. The
// report came from the address in the last entry.
func (p *Planner) rebornUnlisted(now time.Time, w *worker, life fleet.Incarnation) *worker {
	next := p.reborn(now, w, life)
	entry := *w.endpoint
	entry.StartUnixMs, entry.Models, entry.Leaving, entry.Remaining = life.StartUnixMs, nil, false, 0
	next.endpoint = &entry
	p.sortWorkers()
	return next
}

// engineOf returns the engine of an incarnation, or nil if it is unknown or has a different
// incarnation.
func (p *Planner) workerOf(life fleet.Incarnation) *worker {
	if w := p.workers[life.ID]; w != nil && w.life.Matches(life) {
		return w
	}
	return nil
}

// ofCurrentIncarnations drops requests that run at earlier incarnations of engines, and
// maps the others to the incarnations that are known here.
func (p *Planner) ofPresentLives(running map[Place]int) map[Place]int {
	out := make(map[Place]int, len(running))
	for place, n := range running {
		if w := p.workers[place.Endpoint.ID]; w != nil {
			if !w.life.Matches(place.Endpoint) {
				continue
			}
			place.Endpoint = w.life
		}
		out[place] += n
	}
	return out
}

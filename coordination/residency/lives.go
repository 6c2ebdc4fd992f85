package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// lateOrder is an order without an answer: the engine may carry it out seconds
// later, also in its next life, which counts orders from zero again and so comes by
// the count that the order expects.
type lateOrder struct {
	order Order
	until time.Time // it cannot come any more
}

// unplanned returns the memory, in MB, that the effect of an order to an earlier life
// would need beside all that was planned for this one.
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

// noteLate takes the outcome of an order: without an answer it may come late, and one
// that was decided on for an earlier life and accepted may be this life's.
func (w *worker) noteLate(now time.Time, o Order, outcome Outcome) {
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool { return l.order == o })
	if outcome == Unanswered || outcome == Accepted && !o.Endpoint.Matches(w.life) {
		w.mayComeLate(now, o)
	}
}

// mayComeLate remembers an order that the engine may still carry out.
func (w *worker) mayComeLate(now time.Time, o Order) {
	w.late = append(w.late, lateOrder{o, now.Add(lateOrderLife)})
}

// forgetLate drops the late orders that can have no effect any more: their time is
// over, or this life has counted beyond what they expect. One of this same life is kept
// for its time, since the next life may count up to it.
func (w *worker) forgetLate(now time.Time) {
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool {
		counted := w.known && w.sequence > l.order.Expect && !l.order.Endpoint.Matches(w.life)
		return counted || !now.Before(l.until)
	})
}

// clockSlack is by how much an engine's clock may be ahead of this host's, beside a jump.
const clockSlack = time.Second

// mayHaveUnknownLate reports whether an order of a former coordinator may still come to
// an engine that has started since it was sent. An engine that holds more than it was ever
// ordered to load has not started again: those begin empty. Keeping a model's memory free
// takes a place of three, so it is not done for any that may be old enough.
func (p *Planner) mayHaveUnknownLate(now time.Time, w *worker) bool {
	if p.lease.First || w.life.StartUnixMs == 0 || now.Sub(p.tookOver) >= lateOrderLife || uint64(len(w.models)) > w.sequence {
		return false
	}
	return now.Sub(time.UnixMilli(w.life.StartUnixMs)) < lateOrderLife+clockSlack
}

// reborn replaces what is believed of an engine by what is known of its next life:
// nothing, but for the copies on its disk, which its first report confirms, and for
// orders of the life before that may still come. No order is sent before that report.
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

// rebornUnlisted does so before the store tells of the new life: the report came from
// the address that the last entry names.
func (p *Planner) rebornUnlisted(now time.Time, w *worker, life fleet.Incarnation) *worker {
	next := p.reborn(now, w, life)
	entry := *w.endpoint
	entry.StartUnixMs, entry.Models, entry.Leaving, entry.Remaining = life.StartUnixMs, nil, false, 0
	next.endpoint = &entry
	p.sortWorkers()
	return next
}

// workerOf returns the engine of an incarnation; nil if it is unknown or lives
// another life.
func (p *Planner) workerOf(life fleet.Incarnation) *worker {
	if w := p.workers[life.ID]; w != nil && w.life.Matches(life) {
		return w
	}
	return nil
}

// ofPresentLives leaves out what runs at earlier lives of engines, and names the
// others by the lives that are known here.
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

// Package admission holds one unit's waiting requests in order of worth. It
// refuses a request as soon as the request cannot be answered before its
// deadline any more. It does no I/O and reads no clock.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID       uint64
	Worth    int64 // higher is served first
	Deadline time.Time
}

// Estimate is the expected service of a unit.
type Estimate struct {
	// Ready is the time until the unit can take its first request.
	Ready time.Duration
	// Service is the time one request takes.
	Service time.Duration
	// Slots is how many requests this daemon can run at once on average: its
	// share of the unit's slots. A value of 0 or less counts as 1. The current
	// credit is a worse measure, since credit moves between daemons from one
	// report to the next.
	Slots float64
	// RefuseReason, if not empty, is why no request can be served. RetryAfter is
	// the retry delay then.
	RefuseReason string
	RetryAfter   time.Duration
}

// Reasons for which the queue itself refuses a request.
const (
	// ReasonDeadline: the request cannot be answered before its deadline.
	ReasonDeadline = "deadline-cannot-be-met"
	// ReasonQueueFull: the queue is full of requests that come before this one.
	ReasonQueueFull = "queue-full"
	// ReasonOutranked: a request that comes before this one took its place.
	ReasonOutranked = "outranked"
)

// Refused is a request that is refused and has to be answered now.
type Refused struct {
	Item
	Reason     string
	RetryAfter time.Duration
}

// Queue is a bounded queue in order of worth, then deadline, then ID. It is not
// safe for concurrent use.
type Queue struct {
	limit int
	items []Item // best first
}

// NewQueue returns a queue of at most limit items.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Items returns the waiting requests, best first. The slice is only valid until
// the next call that changes the queue.
func (q *Queue) Items() []Item { return q.items }

func before(a, b Item) int {
	return cmp.Or(cmp.Compare(b.Worth, a.Worth), a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
}

// Push adds a request and returns the requests that are refused as a result,
// which may include the new one.
func (q *Queue) Push(now time.Time, it Item, est Estimate) []Refused {
	i, _ := slices.BinarySearchFunc(q.items, it, before)
	if i >= q.limit {
		return []Refused{{it, ReasonQueueFull, q.waitAt(len(q.items), est)}}
	}
	q.items = slices.Insert(q.items, i, it)
	var refused []Refused
	if len(q.items) > q.limit {
		last := q.items[q.limit]
		q.items = q.items[:q.limit]
		refused = append(refused, Refused{last, ReasonOutranked, q.waitAt(q.limit, est)})
	}
	return append(refused, q.Review(now, est)...)
}

// Pop removes and returns the best request that can still be answered in time
// if it starts now. It also removes and refuses the better ones that cannot.
func (q *Queue) Pop(now time.Time, est Estimate) (it Item, ok bool, refused []Refused) {
	for len(q.items) > 0 {
		it = q.items[0]
		q.items = slices.Delete(q.items, 0, 1)
		if !now.Add(est.Service).After(it.Deadline) {
			return it, true, refused
		}
		refused = append(refused, Refused{it, ReasonDeadline, est.Service})
	}
	return Item{}, false, refused
}

// Remove removes a request that its caller no longer waits for, and reports
// whether it was in the queue.
func (q *Queue) Remove(id uint64) bool {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(it Item) bool { return it.ID == id })
	return len(q.items) < before
}

// Review removes and refuses each request that cannot be answered in time under
// est.
func (q *Queue) Review(now time.Time, est Estimate) []Refused {
	var refused []Refused
	kept := q.items[:0]
	for _, it := range q.items {
		wait := q.waitAt(len(kept), est)
		switch {
		case est.RefuseReason != "":
			refused = append(refused, Refused{it, est.RefuseReason, est.RetryAfter})
		case now.Add(wait + est.Service).After(it.Deadline):
			refused = append(refused, Refused{it, ReasonDeadline, wait})
		default:
			kept = append(kept, it)
		}
	}
	q.items = kept
	return refused
}

// waitAt is the expected wait of the request at a position: the time until
// the unit is ready, then one service time for each full round ahead of it.
func (q *Queue) waitAt(position int, est Estimate) time.Duration {
	slots := est.Slots
	if slots <= 0 {
		slots = 1
	}
	return est.Ready + time.Duration(float64(position)/slots)*est.Service
}

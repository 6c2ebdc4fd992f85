package backpressure

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Request is a request that may go to an endpoint. The more urgent comes first, then the one whose
// caller gives up first: a retrying caller thereby comes before callers that arrived later.
type Request struct {
	Rank     int // 0 is the most urgent
	Deadline time.Time
	Waiter   *Waiter // its position in the queue; nil if it does not wait
}

func (r Request) before(other Request) bool {
	return r.Rank < other.Rank || r.Rank == other.Rank && r.Deadline.Before(other.Deadline)
}

// Waiter is a request that waits at this daemon for one endpoint.
type Waiter struct {
	request     Request
	incarnation fleet.Incarnation
}

// Incarnation returns the endpoint that the request waits for.
func (w *Waiter) Incarnation() fleet.Incarnation { return w.incarnation }

// reservation is a caller that was told when to retry.
type reservation struct {
	request Request
	retryAt time.Time
}

// queue holds the requests that wait at this daemon for one endpoint, and the callers that were
// told when to retry.
type queue struct {
	waiting  []*Waiter     // sorted by priority of the requests
	reserved []reservation // sorted by retry time
}

const (
	// maxReservations bounds the reservations for one endpoint.
	maxReservations = 1024
	// maxTurn bounds the time that one request takes to move up in a queue, where the rate is next
	// to nothing or unknown.
	maxTurn = time.Minute
)

// ahead returns how many of the waiting requests come before a request.
func (q *queue) ahead(r Request) int {
	if i := slices.Index(q.waiting, r.Waiter); i >= 0 {
		return i
	}
	if i := slices.IndexFunc(q.waiting, func(w *Waiter) bool { return r.before(w.request) }); i >= 0 {
		return i
	}
	return len(q.waiting)
}

// turn returns when an endpoint that opens at the given time takes a request, after all requests
// that come before it, at a rate in requests a second.
func (q *queue) turn(now, opens time.Time, r Request, rate float64) time.Time {
	each := maxTurn
	if rate > 0 {
		each = min(each, time.Duration(float64(time.Second)/rate))
	}
	at := opens.Add(time.Duration(q.ahead(r)) * each)
	for _, res := range q.reserved {
		if res.retryAt.After(at.Add(each)) {
			break
		}
		if res.retryAt.After(now) && res.request.before(r) {
			at = at.Add(each)
		}
	}
	return at
}

func (q *queue) enqueue(inc fleet.Incarnation, r Request) *Waiter {
	w := &Waiter{request: Request{Rank: r.Rank, Deadline: r.Deadline}, incarnation: inc}
	q.waiting = slices.Insert(q.waiting, q.ahead(r), w)
	return w
}

func (q *queue) dequeue(w *Waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiter) bool { return other == w })
}

// reserve records a caller that was told when to retry, unless it gives up before or there are too
// many.
func (q *queue) reserve(now time.Time, r Request, retryAt time.Time) {
	q.reserved = slices.DeleteFunc(q.reserved, func(res reservation) bool { return !res.retryAt.After(now) })
	if !retryAt.Before(r.Deadline) || len(q.reserved) >= maxReservations {
		return
	}
	i, _ := slices.BinarySearchFunc(q.reserved, retryAt, func(res reservation, at time.Time) int { return res.retryAt.Compare(at) })
	q.reserved = slices.Insert(q.reserved, i, reservation{Request{Rank: r.Rank, Deadline: r.Deadline}, retryAt})
}

// ordered reports whether the endpoint takes requests in the order of its queue. While it accepts
// all requests it does not.
func (e *entry) ordered(now time.Time) bool {
	return e.resuming || e.limit.Limited || e.rejections.known(now)
}

// EstimateWait returns the time until an endpoint takes a request, at this daemon's share of the
// rate that the endpoint accepts, in requests a second.
func (t *Tracker) EstimateWait(now time.Time, inc fleet.Incarnation, r Request, rate float64) time.Duration {
	e := t.find(inc)
	if e == nil {
		return 0
	}
	defer e.mu.Unlock()
	d := e.decide(now)
	if !e.ordered(now) {
		return d.OpensIn
	}
	return e.queue.turn(now, now.Add(d.OpensIn), r, rate).Sub(now)
}

// Enqueue adds a request to the queue of an endpoint. The caller must call Dequeue.
func (t *Tracker) Enqueue(now time.Time, inc fleet.Incarnation, r Request) *Waiter {
	e := t.findOrAdd(now, inc)
	if e == nil {
		return &Waiter{incarnation: inc}
	}
	defer e.mu.Unlock()
	return e.queue.enqueue(inc, r)
}

// Dequeue removes a request from its queue.
func (t *Tracker) Dequeue(w *Waiter) {
	e := t.find(w.incarnation)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.queue.dequeue(w)
}

// ReserveRetry records that a caller was told to retry after a time.
func (t *Tracker) ReserveRetry(now time.Time, inc fleet.Incarnation, r Request, in time.Duration) {
	e := t.find(inc)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.queue.reserve(now, r, now.Add(in))
}

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

func (a Request) before(b Request) bool {
	return a.Rank < b.Rank || a.Rank == b.Rank && a.Deadline.Before(b.Deadline)
}

// Waiter is a request that waits at this daemon for one endpoint.
type Waiter struct {
	ask  Request
	life fleet.Incarnation
}

// Incarnation returns the endpoint that the request waits for.
func (p *Waiter) Incarnation() fleet.Incarnation { return p.life }

// reservation is a caller that was told when to retry.
type promise struct {
	ask  Request
	back time.Time
}

// queue holds the requests that wait at this daemon for one endpoint, and the callers that were
// told when to retry.
type line struct {
	waiting  []*Waiter // sorted by priority of the requests
	promised []promise // sorted by retry time
}

const (
	// maxReservations bounds the reservations for one endpoint.
	promisesMost = 1024
	// maxTurn bounds the time that one request takes to move up in a queue, where the rate is next
	// to nothing or unknown.
	slowestTurn = time.Minute
)

// ahead returns how many of the waiting requests come before a request.
func (l *line) ahead(a Request) int {
	if i := slices.Index(l.waiting, a.Waiter); i >= 0 {
		return i
	}
	if i := slices.IndexFunc(l.waiting, func(p *Waiter) bool { return a.before(p.ask) }); i >= 0 {
		return i
	}
	return len(l.waiting)
}

// turn returns when an endpoint that opens at the given time takes a request, after all requests
// that come before it, at a rate in requests a second.
func (l *line) turn(now, opens time.Time, a Request, rate float64) time.Time {
	each := slowestTurn
	if rate > 0 {
		each = min(each, time.Duration(float64(time.Second)/rate))
	}
	at := opens.Add(time.Duration(l.ahead(a)) * each)
	for _, p := range l.promised {
		if p.back.After(at.Add(each)) {
			break
		}
		if p.back.After(now) && p.ask.before(a) {
			at = at.Add(each)
		}
	}
	return at
}

func (l *line) join(life fleet.Incarnation, a Request) *Waiter {
	p := &Waiter{ask: Request{Rank: a.Rank, Deadline: a.Deadline}, life: life}
	l.waiting = slices.Insert(l.waiting, l.ahead(a), p)
	return p
}

func (l *line) quit(p *Waiter) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Waiter) bool { return other == p })
}

// reserve records a caller that was told when to retry, unless it gives up before or there are too
// many.
func (l *line) promise(now time.Time, a Request, back time.Time) {
	l.promised = slices.DeleteFunc(l.promised, func(p promise) bool { return !p.back.After(now) })
	if !back.Before(a.Deadline) || len(l.promised) >= promisesMost {
		return
	}
	i, _ := slices.BinarySearchFunc(l.promised, back, func(p promise, at time.Time) int { return p.back.Compare(at) })
	l.promised = slices.Insert(l.promised, i, promise{Request{Rank: a.Rank, Deadline: a.Deadline}, back})
}

// ordered reports whether the endpoint takes requests in the order of its queue. While it accepts
// all requests it does not.
func (e *entry) orders() bool { return e.resuming || e.limit.Limited }

// EstimateWait returns the time until an endpoint takes a request, at this daemon's share of the
// rate that the endpoint accepts, in requests a second.
func (b *Tracker) EstimateWait(now time.Time, life fleet.Incarnation, a Request, rate float64) time.Duration {
	e := b.find(life)
	if e == nil {
		return 0
	}
	defer e.mu.Unlock()
	d := e.decide(now)
	if !e.orders() {
		return d.OpensIn
	}
	return e.line.turn(now, now.Add(d.OpensIn), a, rate).Sub(now)
}

// Enqueue adds a request to the queue of an endpoint. The caller must call Dequeue.
func (b *Tracker) Enqueue(now time.Time, life fleet.Incarnation, a Request) *Waiter {
	e := b.take(now, life)
	if e == nil {
		return &Waiter{life: life}
	}
	defer e.mu.Unlock()
	return e.line.join(life, a)
}

// Dequeue removes a request from its queue.
func (b *Tracker) Dequeue(p *Waiter) {
	e := b.find(p.life)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.line.quit(p)
}

// ReserveRetry records that a caller was told to retry after a time.
func (b *Tracker) ReserveRetry(now time.Time, life fleet.Incarnation, a Request, in time.Duration) {
	e := b.find(life)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.line.promise(now, a, now.Add(in))
}

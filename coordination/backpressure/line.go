package backpressure

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Ask is a request that would go to an endpoint. The more urgent comes first, then the one whose
// caller leaves first: a caller that comes back goes before those that came after it.
type Request struct {
	Rank     int // 0 is first
	Deadline time.Time
	Waiter   *Waiter // in the line, if it waits; nil otherwise
}

func (a Request) before(b Request) bool {
	return a.Rank < b.Rank || a.Rank == b.Rank && a.Deadline.Before(b.Deadline)
}

// Place is the place of a request that waits at this daemon for one endpoint.
type Waiter struct {
	ask  Request
	life fleet.Incarnation
}

// Life returns the endpoint that is waited for.
func (p *Waiter) Incarnation() fleet.Incarnation { return p.life }

// promise is a caller that was told when to come back.
type promise struct {
	ask  Request
	back time.Time
}

// line is who waits at this daemon for one endpoint, and who was sent away.
type line struct {
	waiting  []*Waiter // first come first, in the order of their asks
	promised []promise // by the time to come back
}

const (
	// promisesMost bounds the callers of one endpoint that are remembered when they are sent away.
	promisesMost = 1024
	// slowestTurn bounds the time that one request takes to move up in a line, where the rate
	// is next to nothing or unknown.
	slowestTurn = time.Minute
)

// ahead returns how many of those that wait come before a request.
func (l *line) ahead(a Request) int {
	if i := slices.Index(l.waiting, a.Waiter); i >= 0 {
		return i
	}
	if i := slices.IndexFunc(l.waiting, func(p *Waiter) bool { return a.before(p.ask) }); i >= 0 {
		return i
	}
	return len(l.waiting)
}

// turn returns when a request is taken by an endpoint that opens at some time, after all that come
// before it, at a rate in requests a second.
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

// promise remembers a caller that was told when to come back, if it may.
func (l *line) promise(now time.Time, a Request, back time.Time) {
	l.promised = slices.DeleteFunc(l.promised, func(p promise) bool { return !p.back.After(now) })
	if !back.Before(a.Deadline) || len(l.promised) >= promisesMost {
		return
	}
	i, _ := slices.BinarySearchFunc(l.promised, back, func(p promise, at time.Time) int { return p.back.Compare(at) })
	l.promised = slices.Insert(l.promised, i, promise{Request{Rank: a.Rank, Deadline: a.Deadline}, back})
}

// orders reports whether requests go to an endpoint in the order of its line: not while it takes
// all that come.
func (e *entry) orders() bool { return e.resuming || e.limit.Limited }

// Turn returns the time until a request is taken by an endpoint, at this daemon's part of the rate
// that the endpoint takes, in requests a second.
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

// Join lets a request wait for an endpoint. It must quit.
func (b *Tracker) Enqueue(now time.Time, life fleet.Incarnation, a Request) *Waiter {
	e := b.take(now, life)
	if e == nil {
		return &Waiter{life: life}
	}
	defer e.mu.Unlock()
	return e.line.join(life, a)
}

// Quit ends the wait of a request.
func (b *Tracker) Dequeue(p *Waiter) {
	e := b.find(p.life)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.line.quit(p)
}

// Promise notes that a caller was told to come back after a time.
func (b *Tracker) ReserveRetry(now time.Time, life fleet.Incarnation, a Request, in time.Duration) {
	e := b.find(life)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.line.promise(now, a, now.Add(in))
}

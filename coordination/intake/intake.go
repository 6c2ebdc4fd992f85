// Package intake decides how long a caller's connection may be idle, and how long and large the head of a request may be.
// It does no I/O and reads no clock.
package intake

import "time"

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTime bounds the time from the first byte of a head to its end.
	HeadTime time.Duration
	// IdleTime bounds the time without a byte before a request; zero: no bound.
	IdleTime time.Duration
}

// widest returns the larger of each limit.
func widest(a, b Limits) Limits {
	return Limits{max(a.HeadBytes, b.HeadBytes), max(a.HeadTime, b.HeadTime), max(a.IdleTime, b.IdleTime)}
}

// idleMargin is added to IdleTime: a caller counts it from the arrival of an answer, and its next request travels, too.
const idleMargin = time.Second

// Verdict is what becomes of a connection.
type Verdict int

// The verdicts on a connection.
const (
	// Open: it may send.
	Open Verdict = iota
	// Expired: it has been idle for too long.
	Expired
	// HeadTooSlow: a head has begun and is not complete in time.
	HeadTooSlow
	// HeadTooLarge: a head is not complete after the bytes that it may have.
	HeadTooLarge
)

type phase int

const (
	idle phase = iota
	head
	serving
)

// Connection is the state of a caller's connection. A new one is idle.
type Connection struct {
	phase  phase
	limits Limits
	since  time.Time // when the phase began
	until  time.Time // the end of an idle connection; zero: none
	bytes  int       // of the head
	// stopping: the server stops.
	stopping bool
	// earlier are limits that were in force before, for heads that begin until their notice is over.
	earlier Earlier
}

// headNoticeShare is the share of the notice of a change that holds for heads. The notice is the time within which a change must
// be in force, and a part of it passes before the daemon learns of the change.
const headNoticeShare = 0.5

// Earlier are the wider limits of heads that callers may still go by after a change.
type Earlier struct {
	limits Limits
	until  time.Time
}

// Replace returns the earlier limits once limits in force are replaced.
func (e Earlier) Replace(now time.Time, replaced Limits, notice time.Duration) Earlier {
	return Earlier{e.widen(now, replaced), now.Add(time.Duration(headNoticeShare * float64(notice)))}
}

// widen returns the limits of a head that begins now, where l are in force.
func (e Earlier) widen(now time.Time, l Limits) Limits {
	if !now.Before(e.until) {
		return l
	}
	return Limits{max(l.HeadBytes, e.limits.HeadBytes), max(l.HeadTime, e.limits.HeadTime), l.IdleTime}
}

// stoppingIdle is how long a connection may be idle while the server stops: for a request that is on its way.
const stoppingIdle = 100 * time.Millisecond

// BeginIdle begins the time before the next request. e are the limits that were in force before l.
func (c *Connection) BeginIdle(now time.Time, l Limits, e Earlier) {
	*c = Connection{phase: idle, limits: l, since: now, stopping: c.stopping, earlier: e}
	switch {
	case c.stopping:
		c.until = now.Add(stoppingIdle)
	case l.IdleTime > 0:
		c.until = now.Add(l.IdleTime + idleMargin)
	}
}

// Stop records that the server stops. A head that has begun may end, and its request is served.
func (c *Connection) Stop(now time.Time) {
	c.stopping = true
	if c.phase == idle {
		c.until = now.Add(stoppingIdle)
	}
}

// Receive records that n bytes have arrived. The first ones after idle time begin a head.
func (c *Connection) Receive(now time.Time, n int) {
	if n == 0 || c.phase == serving {
		return
	}
	c.BeginHead(now)
	c.bytes += n
}

// BeginHead records that a head has begun of which no byte was received since the idle time began: a caller may send it
// before the answer to the request before it.
func (c *Connection) BeginHead(now time.Time) {
	if c.phase == idle {
		c.phase, c.since, c.limits = head, now, c.earlier.widen(now, c.limits)
	}
}

// BeginRequest records that a head is complete. No limit of this package holds until the request has ended.
func (c *Connection) BeginRequest() { c.phase = serving }

// Change brings other limits into force, and e as the earlier ones. A head that has begun keeps the wider ones. An idle connection has the new idle time from now on, at least
// notice, but no less than the old one if the new one is longer.
func (c *Connection) Change(now time.Time, l Limits, e Earlier, notice time.Duration) {
	switch c.phase {
	case head:
		c.limits = widest(c.limits, l)
	case idle:
		c.limits, c.earlier = l, e
		if c.stopping {
			return
		}
		c.until = c.changedEnd(now, l, notice)
	}
}

// changedEnd returns the end of an idle connection under new limits; zero for none.
func (c *Connection) changedEnd(now time.Time, l Limits, notice time.Duration) time.Time {
	if l.IdleTime == 0 {
		return time.Time{}
	}
	longer := c.since.Add(l.IdleTime + idleMargin)
	if !c.until.IsZero() && longer.After(c.until) {
		return longer
	}
	shorter := now.Add(max(l.IdleTime, notice) + idleMargin)
	if !c.until.IsZero() && c.until.Before(shorter) {
		return c.until
	}
	return shorter
}

// Deadline returns when Check must be asked again if nothing arrives; zero: not at all.
func (c *Connection) Deadline() time.Time {
	switch c.phase {
	case idle:
		return c.until
	case head:
		return c.since.Add(c.limits.HeadTime)
	}
	return time.Time{}
}

// Check returns the verdict on a connection that has to read on.
func (c *Connection) Check(now time.Time) Verdict {
	deadline := c.Deadline()
	late := !deadline.IsZero() && !now.Before(deadline)
	switch {
	case c.phase == head && c.bytes >= c.limits.HeadBytes:
		return HeadTooLarge
	case c.phase == head && late:
		return HeadTooSlow
	case late:
		return Expired
	}
	return Open
}

// HeadLimit returns the bound of the head that is read or was read last, in bytes.
func (c *Connection) HeadLimit() int { return c.limits.HeadBytes }

// IsIdle reports whether no head has begun.
func (c *Connection) IsIdle() bool { return c.phase == idle }

// ReadsHead reports whether the connection is idle or in a head.
func (c *Connection) ReadsHead() bool { return c.phase != serving }

// The rest of a refused request is read and discarded for as long as the request itself would have had, within these
// bounds. While the daemon stops it is the lower one: such a request keeps it from stopping.
const (
	minDiscardTime = 2 * time.Second
	maxDiscardTime = 10 * time.Second
)

// DiscardTime returns how long the rest of a refused request is read and discarded, which had the given time left. Its caller may
// read the refusal only after it has sent everything.
func DiscardTime(stopping bool, left time.Duration) time.Duration {
	if stopping {
		return minDiscardTime
	}
	return min(max(left, minDiscardTime), maxDiscardTime)
}

// Package buffering bounds the bytes that a daemon holds for callers: the bodies of requests, and
// the parts of answers that their callers have not read yet. It decides which bytes fit, which
// caller is closed for the others, and when a refused caller may return. It does no I/O and reads
// no clock.
package buffering

import "time"

const (
	// largeBody is the size from which the body of a request counts as large.
	largeBody = 64 << 10
	// largeShare is the share of the limit up to which large bodies are admitted. The rest is for
	// small bodies and for answers, so that large bodies do not crowd them out.
	largeShare = 0.75
	// minBlocked is how long a write to a caller must have been blocked before the caller can be
	// closed for others: shorter pauses occur at callers that read normally.
	minBlocked = 250 * time.Millisecond
	// initialHold is the assumed time for which a request holds bytes until one has ended, and
	// holdStep the weight of one request in the moving average.
	initialHold = time.Second
	holdStep    = 0.05
	// minRetry and maxRetry bound the retry-after of a refused body.
	minRetry = 300 * time.Millisecond
	maxRetry = 5 * time.Second
	// minUnread and maxUnread bound the time for which a caller may leave an answer unread. Engines
	// cut off a response that remains unread for some seconds; the caller is closed before that.
	minUnread = time.Second
	maxUnread = 3 * time.Second
)

// UnreadTimeout returns how long a caller of a route may leave an answer unread before it is closed:
// half of the time that callers of the route wait themselves, within bounds.
func UnreadTimeout(maxWait time.Duration) time.Duration {
	return min(max(maxWait/2, minUnread), maxUnread)
}

// Holder is a request that holds bytes.
type Holder struct {
	held         int64
	since        time.Time // when it began to hold bytes
	blockedSince time.Time // when the present write to the caller began; zero if there is none
	evicted      bool
}

// Evicted reports whether the caller was closed to make room.
func (h *Holder) Evicted() bool { return h.evicted }

// Ledger counts the bytes held by all requests of a daemon. It is not safe for concurrent use.
type Ledger struct {
	limit    int64 // zero: unlimited
	held     int64
	meanHold time.Duration
	holders  map[*Holder]struct{}
}

// New returns a ledger with a limit in bytes; zero means no limit.
func New(limit int64) *Ledger {
	return &Ledger{limit: max(0, limit), meanHold: initialHold, holders: map[*Holder]struct{}{}}
}

// Decision says whether bytes may be held.
type Decision struct {
	Admitted   bool
	Evict      *Holder       // the caller to close now; nil for none
	RetryAfter time.Duration // when a refused caller may return
}

// Held returns the bytes held by all requests.
func (l *Ledger) Held() int64 { return l.held }

// HoldBody decides whether n more bytes of a request's body may be held. size is the size of the
// whole body as far as it is known.
func (l *Ledger) HoldBody(now time.Time, h *Holder, n, size int64) Decision {
	bound := l.limit
	if size >= largeBody {
		bound = int64(largeShare * float64(l.limit))
	}
	return l.hold(now, h, n, bound)
}

// HoldAnswer decides whether n more bytes of an answer may be held.
func (l *Ledger) HoldAnswer(now time.Time, h *Holder, n int64) Decision {
	return l.hold(now, h, n, l.limit)
}

// hold admits n more bytes of a holder if all bytes then are within a bound. A request that is the
// only holder is always admitted: it would be refused forever otherwise.
func (l *Ledger) hold(now time.Time, h *Holder, n, bound int64) Decision {
	n = max(0, n)
	if l.limit > 0 && l.held > h.held && n > bound-l.held {
		return Decision{Evict: l.evict(now, h), RetryAfter: l.retryAfter(float64(l.held) + float64(n) - float64(bound))}
	}
	if _, known := l.holders[h]; !known {
		l.holders[h] = struct{}{}
		h.since = now
	}
	h.held += n
	l.held += n
	return Decision{Admitted: true}
}

// evict marks the slowest reader other than h as evicted and returns it: the holder whose present
// write has been blocked longest. It returns nil if no write has been blocked for minBlocked.
func (l *Ledger) evict(now time.Time, h *Holder) *Holder {
	var slowest *Holder
	for o := range l.holders {
		switch {
		case o == h, o.evicted, o.held == 0, o.blockedSince.IsZero(), now.Sub(o.blockedSince) < minBlocked:
		case slowest == nil || o.blockedSince.Before(slowest.blockedSince):
			slowest = o
		}
	}
	if slowest != nil {
		slowest.evicted = true
	}
	return slowest
}

// retryAfter estimates by Little's law when the given number of bytes is released.
func (l *Ledger) retryAfter(bytes float64) time.Duration {
	d := float64(l.meanHold) * bytes / float64(max(1, l.held))
	return time.Duration(min(max(d, float64(minRetry)), float64(maxRetry)))
}

// Release counts n bytes of a holder as released.
func (l *Ledger) Release(h *Holder, n int64) {
	n = min(max(0, n), h.held)
	h.held -= n
	l.held -= n
}

// End removes a holder whose request has ended, with all its bytes.
func (l *Ledger) End(now time.Time, h *Holder) {
	if _, known := l.holders[h]; !known {
		return
	}
	l.Release(h, h.held)
	delete(l.holders, h)
	l.meanHold += time.Duration(holdStep * float64(max(0, now.Sub(h.since))-l.meanHold))
}

// WriteBegan records that a write to a holder's caller begins. It returns false if the caller was
// closed, so that nothing may be written.
func (l *Ledger) WriteBegan(now time.Time, h *Holder) bool {
	h.blockedSince = now
	return !h.evicted
}

// WriteEnded records that the write to a holder's caller has ended.
func (l *Ledger) WriteEnded(h *Holder) { h.blockedSince = time.Time{} }

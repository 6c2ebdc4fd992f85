package discovery

import "time"

const (
	// minLapseHeartbeats is the number of heartbeats that an outage of the store
	// must last before an entry can lapse in it: entries lapse after three missed
	// heartbeats, and the last heartbeat may have arrived a whole interval before
	// the outage.
	minLapseHeartbeats = 2
	// outageFailures is the number of calls in a row that must fail before an
	// outage is assumed: a single failure can also come from a saturated link or
	// a broken connection.
	outageFailures = 2
	// lapseGrace is how long after the return of the store an entry that lapsed in
	// an outage may be missing; the endpoint writes the entry again at its next
	// heartbeat.
	lapseGrace = 2 * time.Second
	// RestoreRewriteWindow is the time after a restore of the store from a copy
	// within which the operator writes again what the copy lacks.
	RestoreRewriteWindow = lapseGrace
)

// Outage decides how long missing entries are kept, because they may only have
// lapsed while the store was unavailable, or because the copy that the store was
// restored from may lack them. Without an outage, a missing entry was removed by
// the platform. To keep it would send requests to its endpoint for lapseGrace
// more, longer than any bound for endpoints that leave allows.
//
// Invariant: there is no grace if the store's generation is the same, and this
// daemon or a daemon that it copies from has received an answer of the store since
// entries could have lapsed. So each daemon decides by itself: it does not keep an
// entry because another daemon keeps it.
type Outage struct {
	heartbeat time.Duration // of the endpoints
	until     time.Time
}

// NewOutage returns an Outage without a grace. heartbeat is the time between two
// heartbeats of an endpoint.
func NewOutage(heartbeat time.Duration) *Outage { return &Outage{heartbeat: heartbeat} }

// ObserveAnswer records an answer of the store, to this daemon or passed on by
// another one, and begins a grace if the answer ends an outage. seen is the time up
// to which the store's changes were known before, directly or through other daemons;
// zero if never. failures is the number of this daemon's own calls that had failed
// in a row: a link that is only saturated delays answers and rarely loses two.
func (o *Outage) ObserveAnswer(now, seen time.Time, failures int) {
	if failures >= outageFailures && !seen.IsZero() && now.Sub(seen) >= minLapseHeartbeats*o.heartbeat {
		o.until = now.Add(lapseGrace)
	}
}

// ObserveRestore records the first answer of a later generation of the store and begins a grace:
// endpoints write again the entries that the copy lacks.
func (o *Outage) ObserveRestore(now time.Time) { o.until = now.Add(lapseGrace) }

// GraceUntil returns the time until which missing entries are kept.
func (o *Outage) GraceUntil() time.Time { return o.until }

package discovery

import "time"

const (
	// lapseBeats is the number of heartbeats that an outage of the store must
	// swallow before an entry can lapse in it: entries lapse after three, and the
	// last one may have come a whole interval before the outage.
	lapseBeats = 2
	// outageFailures is the number of calls in a row that fail in an outage: a
	// single one is as well a full link or a connection that has died.
	outageFailures = 2
	// lapseGrace is how long after the store's return an entry that lapsed in an
	// outage may be missing; the endpoint writes it again at its next heartbeat.
	lapseGrace = 2 * time.Second
	// WrittenAgainWithin is how long after its return the operator has written again what a store
	// that has come back from a copy had lost.
	RestoreRewriteWindow = lapseGrace
)

// Outage decides until when an entry that is missing may only have lapsed while
// the store was away, or may be missing from the copy that it came back from. An entry
// that is kept for that is one that the platform removed, if there was no outage: its
// endpoint gets requests for lapseGrace more, which no bound on leaving endpoints allows.
//
// Invariant: there is no grace where this daemon, or one that it hears from, has
// heard the store since entries could have lapsed, and the store's generation is the same.
// So each daemon decides by itself: that another one keeps an entry is no reason to.
type Outage struct {
	heartbeat time.Duration // of the endpoints
	until     time.Time
}

// NewOutage returns an outage that is over. heartbeat is the time between two
// heartbeats of an endpoint.
func NewOutage(heartbeat time.Duration) *Outage { return &Outage{heartbeat: heartbeat} }

// Ended takes an answer of the store, to this daemon or told by another one. seen is
// the time up to which its changes were known before, through anybody, zero for never,
// and failures the number of this daemon's own calls that had failed in a row: a link
// that is only full brings answers late, and rarely loses two.
func (o *Outage) ObserveAnswer(now, seen time.Time, failures int) {
	if failures >= outageFailures && !seen.IsZero() && now.Sub(seen) >= lapseBeats*o.heartbeat {
		o.until = now.Add(lapseGrace)
	}
}

// Restored takes the first answer of a later generation of the store: endpoints write again what
// the copy lacks.
func (o *Outage) ObserveRestore(now time.Time) { o.until = now.Add(lapseGrace) }

// GraceUntil returns until when entries that go missing are kept.
func (o *Outage) GraceUntil() time.Time { return o.until }

// Package limit tracks the rate limits that endpoints report in their answers: the requests a
// second that an endpoint accepts from all daemons together. The latest report counts, whichever
// daemon received it. It holds for one incarnation of the endpoint, and ends when an answer carries
// no limit any more. Tracker is a state machine without I/O: callers pass reports and the time, and
// apply the changes and publish the reports that it returns.
//
// Invariant: at each daemon, the versions of an endpoint's reports only rise.
package limit

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Report is the latest report of an endpoint.
type Report struct {
	Rate     float64 // requests a second from all daemons; meaningful only if Limited
	Limited  bool    // false: the endpoint reports no limit any more
	Version  uint64
	Reporter string // daemon that received the report from the endpoint
}

// Change is a change of an endpoint's report.
type Change struct {
	Incarnation fleet.Incarnation
	Before, Now Report
	// Publish is set if the change should be sent to the other daemons: a limit begins or ends, or
	// this is the first change for a while.
	Publish bool
}

const (
	// publishEvery is the least time between two changes of a limit that a daemon publishes; the
	// owner of the limit receives changes with each draw. The begin or end of a limit is published
	// at once, unless the previous publication was less than publishToggleEvery ago, so that an
	// endpoint which alternates between both costs no more.
	tellChange = time.Second
	tellTurn   = 100 * time.Millisecond
	// Retention is how long the end of a limit is kept, so that late reports of the limit are
	// ignored.
	Retention = 10 * time.Minute
)

// state is the state of one incarnation of an endpoint.
type belief struct {
	word Report
	// receivedAt is when the report last arrived. An answer to a request that was sent after it is
	// newer; the order of other answers is unknown.
	learned time.Time
	told    Report
	toldAt  time.Time
}

// Tracker holds the reports that one daemon has received. It is not safe for concurrent use.
type Tracker struct {
	self    string
	beliefs map[fleet.Incarnation]*belief
}

// New returns a tracker without reports.
func New(self string) *Tracker { return &Tracker{self: self, beliefs: map[fleet.Incarnation]*belief{}} }

// ObserveReport processes what an answer reports to a request sent at the given time. It returns
// the change to apply or publish, and whether there is one.
func (b *Tracker) ObserveReport(now, sent time.Time, life fleet.Incarnation, rate float64, limited bool) (Change, bool) {
	k := b.beliefs[life]
	switch {
	case k == nil && !limited:
		return Change{}, false
	case k == nil:
		k = &belief{}
		b.beliefs[life] = k
	case sent.Before(k.learned):
		return Change{}, false // the answer may be older than the current report
	}
	k.learned = now
	before := k.word
	if before.Limited == limited && (!limited || before.Rate == rate) {
		return b.overdue(now, life, k)
	}
	k.word = Report{Rate: rate, Limited: limited, Version: max(before.Version+1, uint64(now.UnixMilli())), Reporter: b.self}
	least := tellChange
	if before.Limited != limited {
		least = tellTurn
	}
	tell := now.Sub(k.toldAt) >= least
	if tell {
		k.told, k.toldAt = k.word, now
	}
	return Change{Incarnation: life, Before: before, Now: k.word, Publish: tell}, true
}

// TakePending returns the changes that were not published when they occurred and are due now, and
// marks them as published.
func (b *Tracker) TakePending(now time.Time) []Change {
	var list []Change
	for life, k := range b.beliefs {
		if k.untold(b.self, now) {
			list = append(list, k.tell(now, life))
		}
	}
	return list
}

// overdue returns a change that was not published when it occurred, or a limit that was published
// so long ago that newly started daemons would not receive it.
func (b *Tracker) overdue(now time.Time, life fleet.Incarnation, k *belief) (Change, bool) {
	if k.word.Limited && k.word.age(now) > Retention/2 {
		k.word.Version, k.word.Reporter = uint64(now.UnixMilli()), b.self
		return k.tell(now, life), true
	}
	if k.untold(b.self, now) {
		return k.tell(now, life), true
	}
	return Change{}, false
}

// pending reports whether the daemon should now publish a report that it has received and not
// published.
func (k *belief) untold(self string, now time.Time) bool {
	return k.word.Reporter == self && k.told.Version != k.word.Version && now.Sub(k.toldAt) >= tellChange
}

// publish marks the latest report as published, and returns it as a change.
func (k *belief) tell(now time.Time, life fleet.Incarnation) Change {
	k.told, k.toldAt = k.word, now
	return Change{Incarnation: life, Before: k.word, Now: k.word, Publish: true}
}

// age returns the approximate age of a report: its version is the Unix time in milliseconds unless
// reports arrived faster than that.
func (w Report) age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-int64(w.Version)) * time.Millisecond
}

// Stale reports whether a report of the given version is older than Retention.
func Stale(now time.Time, version uint64) bool { return Report{Version: version}.age(now) > Retention }

// ReceiveReport processes a report that another daemon has received. It returns the change to
// apply, and whether there is one.
func (b *Tracker) ReceiveReport(now time.Time, life fleet.Incarnation, w Report) (Change, bool) {
	k := b.beliefs[life]
	if k == nil {
		k = &belief{}
		b.beliefs[life] = k
	}
	if w.Version <= k.word.Version {
		return Change{}, false
	}
	before := k.word
	k.word, k.learned = w, now
	k.told, k.toldAt = w, now
	return Change{Incarnation: life, Before: before, Now: w}, before.Limited != w.Limited || before.Rate != w.Rate
}

// Latest returns the latest report of an incarnation.
func (b *Tracker) Latest(life fleet.Incarnation) (Report, bool) {
	if k := b.beliefs[life]; k != nil {
		return k.word, true
	}
	return Report{}, false
}

// Prune removes limits of incarnations that are not listed, and limits that ended long ago. It
// returns the active limits that it removed.
func (b *Tracker) Prune(now time.Time, listed func(fleet.Incarnation) bool) []Change {
	var dropped []Change
	for life, k := range b.beliefs {
		long := now.Sub(k.learned) > Retention
		switch {
		case k.word.Limited && !listed(life) && now.Sub(k.learned) > unlistedFor:
			dropped = append(dropped, Change{Incarnation: life, Before: k.word})
			delete(b.beliefs, life)
		case !k.word.Limited && long:
			delete(b.beliefs, life)
		}
	}
	return dropped
}

// unlistedFor is how long the limit of an endpoint that is not listed is kept after its latest
// report: the list may be older than the report, or lack an entry for a while.
const unlistedFor = time.Minute

// Limited returns the incarnations that report a limit now, with their latest reports.
func (b *Tracker) Limited() map[fleet.Incarnation]Report {
	limited := map[fleet.Incarnation]Report{}
	for life, k := range b.beliefs {
		if k.word.Limited {
			limited[life] = k.word
		}
	}
	return limited
}

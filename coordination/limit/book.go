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
	publishEvery       = time.Second
	publishToggleEvery = 100 * time.Millisecond
	// Retention is how long the end of a limit is kept, so that late reports of the limit are
	// ignored.
	Retention = 10 * time.Minute
)

// state is the state of one incarnation of an endpoint.
type state struct {
	report Report
	// receivedAt is when the report last arrived. An answer to a request that was sent after it is
	// newer; the order of other answers is unknown.
	receivedAt  time.Time
	published   Report
	publishedAt time.Time
}

// Tracker holds the reports that one daemon has received. It is not safe for concurrent use.
type Tracker struct {
	self   string
	states map[fleet.Incarnation]*state
}

// New returns a tracker without reports.
func New(self string) *Tracker { return &Tracker{self: self, states: map[fleet.Incarnation]*state{}} }

// ObserveReport processes what an answer reports to a request sent at the given time. It returns
// the change to apply or publish, and whether there is one.
func (t *Tracker) ObserveReport(now, sent time.Time, inc fleet.Incarnation, rate float64, limited bool) (Change, bool) {
	s := t.states[inc]
	switch {
	case s == nil && !limited:
		return Change{}, false
	case s == nil:
		s = &state{}
		t.states[inc] = s
	case sent.Before(s.receivedAt):
		return Change{}, false // the answer may be older than the current report
	}
	s.receivedAt = now
	before := s.report
	if before.Limited == limited && (!limited || before.Rate == rate) {
		return t.overdue(now, inc, s)
	}
	s.report = Report{Rate: rate, Limited: limited, Version: max(before.Version+1, uint64(now.UnixMilli())), Reporter: t.self}
	minInterval := publishEvery
	if before.Limited != limited {
		minInterval = publishToggleEvery
	}
	publish := now.Sub(s.publishedAt) >= minInterval
	if publish {
		s.published, s.publishedAt = s.report, now
	}
	return Change{Incarnation: inc, Before: before, Now: s.report, Publish: publish}, true
}

// TakePending returns the changes that were not published when they occurred and are due now, and
// marks them as published.
func (t *Tracker) TakePending(now time.Time) []Change {
	var list []Change
	for inc, s := range t.states {
		if s.pending(t.self, now) {
			list = append(list, s.publish(now, inc))
		}
	}
	return list
}

// overdue returns a change that was not published when it occurred, or a limit that was published
// so long ago that newly started daemons would not receive it.
func (t *Tracker) overdue(now time.Time, inc fleet.Incarnation, s *state) (Change, bool) {
	if s.report.Limited && s.report.age(now) > Retention/2 {
		s.report.Version, s.report.Reporter = uint64(now.UnixMilli()), t.self
		return s.publish(now, inc), true
	}
	if s.pending(t.self, now) {
		return s.publish(now, inc), true
	}
	return Change{}, false
}

// pending reports whether the daemon should now publish a report that it has received and not
// published.
func (s *state) pending(self string, now time.Time) bool {
	return s.report.Reporter == self && s.published.Version != s.report.Version && now.Sub(s.publishedAt) >= publishEvery
}

// publish marks the latest report as published, and returns it as a change.
func (s *state) publish(now time.Time, inc fleet.Incarnation) Change {
	s.published, s.publishedAt = s.report, now
	return Change{Incarnation: inc, Before: s.report, Now: s.report, Publish: true}
}

// age returns the approximate age of a report: its version is the Unix time in milliseconds unless
// reports arrived faster than that.
func (r Report) age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-int64(r.Version)) * time.Millisecond
}

// Stale reports whether a report of the given version is older than Retention.
func Stale(now time.Time, version uint64) bool { return Report{Version: version}.age(now) > Retention }

// ReceiveReport processes a report that another daemon has received. It returns the change to
// apply, and whether there is one.
func (t *Tracker) ReceiveReport(now time.Time, inc fleet.Incarnation, r Report) (Change, bool) {
	s := t.states[inc]
	if s == nil {
		s = &state{}
		t.states[inc] = s
	}
	if r.Version <= s.report.Version {
		return Change{}, false
	}
	before := s.report
	s.report, s.receivedAt = r, now
	s.published, s.publishedAt = r, now
	return Change{Incarnation: inc, Before: before, Now: r}, before.Limited != r.Limited || before.Rate != r.Rate
}

// Latest returns the latest report of an incarnation.
func (t *Tracker) Latest(inc fleet.Incarnation) (Report, bool) {
	if s := t.states[inc]; s != nil {
		return s.report, true
	}
	return Report{}, false
}

// Prune removes limits of incarnations that are not listed, and limits that ended long ago. It
// returns the active limits that it removed.
func (t *Tracker) Prune(now time.Time, listed func(fleet.Incarnation) bool) []Change {
	var dropped []Change
	for inc, s := range t.states {
		expired := now.Sub(s.receivedAt) > Retention
		switch {
		case s.report.Limited && !listed(inc) && now.Sub(s.receivedAt) > unlistedFor:
			dropped = append(dropped, Change{Incarnation: inc, Before: s.report})
			delete(t.states, inc)
		case !s.report.Limited && expired:
			delete(t.states, inc)
		}
	}
	return dropped
}

// unlistedFor is how long the limit of an endpoint that is not listed is kept after its latest
// report: the list may be older than the report, or lack an entry for a while.
const unlistedFor = time.Minute

// Limited returns the incarnations that report a limit now, with their latest reports.
func (t *Tracker) Limited() map[fleet.Incarnation]Report {
	limited := map[fleet.Incarnation]Report{}
	for inc, s := range t.states {
		if s.report.Limited {
			limited[inc] = s.report
		}
	}
	return limited
}

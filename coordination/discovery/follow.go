// Package discovery decides how a daemon follows what the platform's store
// says of endpoints and of the desired state, through outages, lost history
// and entries that lapse. Its types are state machines without I/O.
package discovery

import (
	"time"

	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Action is what a Follower asks for next.
type Action int

// The actions.
const (
	// Wait means that nothing is to be done before the returned time.
	Wait Action = iota
	// List asks for all objects of the kind.
	List
	// Watch asks for the changes after Since.
	Watch
)

// FollowOptions configure a Follower.
type FollowOptions struct {
	// Pause between two watches, so that changes that come together cost one
	// call.
	Pause time.Duration
	// Retry is the pause after a failed call; it doubles up to RetryMost with
	// each further one in a row.
	Retry, MaxRetry time.Duration
}

// Follower decides between listing and watching one kind of object.
//
// Invariants: a watch continues only from the version up to which every
// change has been seen; after lost history it lists again. What has been seen is
// never taken for younger than it can be, however long an answer was on its way.
type Follower struct {
	opt      FollowOptions
	since    storeversion.Version
	synced   bool
	nextAt   time.Time
	failures int       // in a row
	failedAt time.Time // the first of them; zero after a success
	asOf     time.Time // every change up to then has been seen
}

// NewFollower returns a follower that has seen nothing.
func NewFollower(opt FollowOptions) *Follower { return &Follower{opt: opt} }

// Next returns the next action and, for Wait, until when.
func (f *Follower) Next(now time.Time) (Action, time.Time) {
	if now.Before(f.nextAt) {
		return Wait, f.nextAt
	}
	if !f.synced {
		return List, now
	}
	return Watch, now
}

// Since returns the version that a watch starts from.
func (f *Follower) Since() storeversion.Version { return f.since }

// FailingSince returns the first of the failures in a row, or zero.
func (f *Follower) FailingSince() time.Time { return f.failedAt }

// Failures returns the number of failures in a row.
func (f *Follower) Failures() int { return f.failures }

// SeenAt returns the time up to which every change has been seen.
func (f *Follower) AsOf() time.Time { return f.asOf }

// Listed reports a whole list as of a version, which was asked for at a time: it
// holds what was true then.
func (f *Follower) Listed(asked, now time.Time, version storeversion.Version) {
	f.since = version
	f.succeeded(asked, now)
}

// Watched reports the answer to a watch that was to wait for so long. changed says
// whether it held events. Without any, none came during the wait; with some,
// nothing says how long they were on their way.
func (f *Follower) Watched(asked, now time.Time, wait time.Duration, version storeversion.Version, changed bool) {
	f.since = storeversion.Max(f.since, version)
	asOf := asked
	if !changed && now.Sub(asked) >= wait {
		asOf = asked.Add(wait)
	}
	f.succeeded(asOf, now)
	if changed {
		f.nextAt = now.Add(f.opt.Pause)
	}
}

func (f *Follower) succeeded(asOf, now time.Time) {
	f.Suspend()
	f.synced, f.nextAt = true, now
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// HistoryLost reports that the store cannot tell what came after Since: it is
// there, and has said nothing.
func (f *Follower) HistoryLost(now time.Time) {
	f.Suspend()
	f.nextAt = now
}

// Rest ends the following for as long as this daemon takes what it follows from
// another one; the next call is a list.
func (f *Follower) Suspend() { f.synced, f.failedAt, f.failures = false, time.Time{}, 0 }

// Relist makes the next call a list.
func (f *Follower) Relist() { f.synced = false }

// Failed reports a call without a usable answer. A watch that failed may have
// missed what the store has told no one, so the next call is a list.
func (f *Follower) Failed(now time.Time) {
	if f.failedAt.IsZero() {
		f.failedAt = now
	}
	f.synced = false
	f.nextAt = now.Add(min(max(f.opt.Retry, f.opt.MaxRetry), f.opt.Retry<<min(f.failures, maxDoublings)))
	f.failures++
}

// maxDoublings keeps the growing pause from overflowing.
const maxDoublings = 10

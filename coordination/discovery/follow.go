// Package discovery decides how a daemon follows the endpoints and the desired
// state in the platform's store, through outages, lost history and entries that
// lapse. Its types are state machines without I/O: callers pass events and the
// time. They are not safe for concurrent use.
package discovery

import (
	"time"

	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Action is the next step of a Follower.
type Action int

// The actions.
const (
	// Wait means that nothing is due before the returned time.
	Wait Action = iota
	// List means that all objects of the kind must be read.
	List
	// Watch means that the changes after Since must be read.
	Watch
)

// FollowOptions configure a Follower.
type FollowOptions struct {
	// Pause is the time between a watch that returned changes and the next
	// watch, so that changes close together cost one call.
	Pause time.Duration
	// Retry is the pause after a failed call. It doubles with each further
	// failure in a row, up to MaxRetry.
	Retry, MaxRetry time.Duration
}

// Follower decides between listing and watching one kind of object.
//
// Invariants: a watch continues only from the version up to which every change
// has been received; after lost history, the follower lists again. AsOf is never
// later than the time of the data, however long an answer took.
type Follower struct {
	opt      FollowOptions
	since    storeversion.Version
	synced   bool
	nextAt   time.Time
	failures int       // failed calls in a row
	failedAt time.Time // time of the first of them; zero after a success
	asOf     time.Time // time up to which every change has been received
}

// NewFollower returns a follower that has received nothing; it lists first.
func NewFollower(opt FollowOptions) *Follower { return &Follower{opt: opt} }

// Next returns the next action and, for Wait, its end.
func (f *Follower) Next(now time.Time) (Action, time.Time) {
	if now.Before(f.nextAt) {
		return Wait, f.nextAt
	}
	if !f.synced {
		return List, now
	}
	return Watch, now
}

// Since returns the version after which a watch starts.
func (f *Follower) Since() storeversion.Version { return f.since }

// FailingSince returns the time of the first of the current failures in a row;
// zero if the last call succeeded.
func (f *Follower) FailingSince() time.Time { return f.failedAt }

// Failures returns the number of failures in a row.
func (f *Follower) Failures() int { return f.failures }

// AsOf returns the time up to which every change has been received; zero before
// the first list.
func (f *Follower) AsOf() time.Time { return f.asOf }

// Listed reports a whole list as of a version. The list counts as of requestedAt, the
// time of the request.
func (f *Follower) Listed(requestedAt, now time.Time, version storeversion.Version) {
	f.since = version
	f.succeeded(requestedAt, now)
}

// Watched reports the answer to a watch that was asked to wait for the time wait.
// changed reports whether the answer holds changes. If it holds none and took the
// whole wait, nothing changed during the wait, and the answer counts as of the end
// of the wait. Otherwise it counts as of requestedAt, as it is unknown how long the
// answer was in transit.
func (f *Follower) Watched(requestedAt, now time.Time, wait time.Duration, version storeversion.Version, changed bool) {
	f.since = storeversion.Max(f.since, version)
	asOf := requestedAt
	if !changed && now.Sub(requestedAt) >= wait {
		asOf = requestedAt.Add(wait)
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

// HistoryLost reports that the store no longer has the changes after Since: the
// store is available, but its answer contains no data.
func (f *Follower) HistoryLost(now time.Time) {
	f.Suspend()
	f.nextAt = now
}

// Suspend stops following the store, for a daemon that copies the data from
// another one; when it follows the store again, its first call is a list.
func (f *Follower) Suspend() { f.synced, f.failedAt, f.failures = false, time.Time{}, 0 }

// Relist makes the next call a list, to get the state of all objects anew.
func (f *Follower) Relist() { f.synced = false }

// Failed reports a call without a usable answer. A failed watch may have missed
// changes that no later watch reports, so the next call is a list.
func (f *Follower) Failed(now time.Time) {
	if f.failedAt.IsZero() {
		f.failedAt = now
	}
	f.synced = false
	f.nextAt = now.Add(min(max(f.opt.Retry, f.opt.MaxRetry), f.opt.Retry<<min(f.failures, maxDoublings)))
	f.failures++
}

// maxDoublings keeps the retry pause from overflowing.
const maxDoublings = 10

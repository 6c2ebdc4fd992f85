// Package discovery decides how a daemon follows the endpoints and the desired
// state in the platform's store, through outages, lost history and entries that
// lapse. Its types are state machines without I/O: callers pass events and the
// time. They are not safe for concurrent use.
package discovery

import (
	"slices"
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
	// Retry is the pause after a failed call. It doubles with each further
	// failure in a row, up to MaxRetry.
	Retry, MaxRetry time.Duration
}

// Follower decides between listing and watching one kind of object.
//
// Invariants: a watch continues only from the version up to which every change
// has been received; after lost history, the follower lists again. AsOf is never
// later than the time of the data, however long an answer took. The answer to a
// watch proves that every change up to its version has been received, but not when
// the store had that version: only a list or a Checkpoint advances AsOf.
type Follower struct {
	opt         FollowOptions
	since       storeversion.Version
	synced      bool
	nextAt      time.Time
	failures    int          // failed calls in a row
	failedAt    time.Time    // time of the first of them; zero after a success
	asOf        time.Time    // time up to which every change has been received
	checkpoints []Checkpoint // of versions after since, the oldest first
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

// Watching reports whether the follower watches the store: its next call is no list.
func (f *Follower) Watching() bool { return f.synced }

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
	f.succeeded(now)
	f.advance(requestedAt)
	f.settle()
}

// WatchAnswer is the answer to a watch.
type WatchAnswer struct {
	RequestedAt, ReceivedAt time.Time
	Wait                    time.Duration        // that the store was asked to wait
	Version                 storeversion.Version // up to which the answer contains every change
	Changed                 bool                 // whether it contains any
}

// lacks reports whether the answer proves that watches miss changes: the store answered after it had
// reported the version of a checkpoint, but only covers the changes up to an earlier one.
func (a WatchAnswer) lacks(c Checkpoint) bool {
	end := a.RequestedAt.Add(a.Wait)
	return !a.Changed && !a.ReceivedAt.Before(end) && !c.ReceivedAt.After(end) && a.Version.Before(c.Version)
}

// Watched reports the answer to a watch. It returns false if the answer proves that watches miss
// changes; the next call is then a list.
func (f *Follower) Watched(a WatchAnswer) (sound bool) {
	f.since = storeversion.Max(f.since, a.Version)
	f.succeeded(a.ReceivedAt)
	f.settle()
	if slices.ContainsFunc(f.checkpoints, a.lacks) {
		f.Relist()
		return false
	}
	return true
}

// SetPause sets the end of the pause after changes, so that changes close together cost one call.
func (f *Follower) SetPause(end time.Time) { f.nextAt = end }

// Observe records a checkpoint of the store. It reports whether AsOf has advanced.
func (f *Follower) Observe(c Checkpoint) (advanced bool) {
	before := f.asOf
	if len(f.checkpoints) == maxCheckpoints {
		f.checkpoints = slices.Delete(f.checkpoints, 0, 1)
	}
	f.checkpoints = append(f.checkpoints, c)
	f.settle()
	return f.asOf.After(before)
}

// settle advances AsOf to the checkpoints up to whose versions every change has been received.
func (f *Follower) settle() {
	f.checkpoints = slices.DeleteFunc(f.checkpoints, func(c Checkpoint) bool {
		reached := !f.since.Before(c.Version)
		if reached {
			f.advance(c.RequestedAt)
		}
		return reached
	})
}

func (f *Follower) advance(asOf time.Time) {
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

func (f *Follower) succeeded(now time.Time) {
	f.Suspend()
	f.synced, f.nextAt = true, now
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

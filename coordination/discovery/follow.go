// Package discovery decides how a daemon follows what the platform's store
// says of endpoints and of the desired state, through outages, lost history
// and entries that lapse. Its types are state machines without I/O.
package discovery

import "time"

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
	Retry, RetryMost time.Duration
}

// Follower decides between listing and watching one kind of object.
//
// Invariant: a watch continues only from the revision up to which every
// change has been seen; after lost history it lists again.
type Follower struct {
	opt      FollowOptions
	since    uint64
	synced   bool
	nextAt   time.Time
	failures int       // in a row
	failedAt time.Time // the first of them; zero after a success
	okAt     time.Time // last success
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

// Since returns the revision that a watch starts from.
func (f *Follower) Since() uint64 { return f.since }

// FailingSince returns the first of the failures in a row, or zero.
func (f *Follower) FailingSince() time.Time { return f.failedAt }

// SeenAt returns the time of the last answer.
func (f *Follower) SeenAt() time.Time { return f.okAt }

// Listed reports a whole list as of a revision.
func (f *Follower) Listed(now time.Time, revision uint64) {
	f.since = revision
	f.succeeded(now)
}

// Watched reports the answer to a watch. changed says whether it held events.
func (f *Follower) Watched(now time.Time, revision uint64, changed bool) {
	f.since = max(f.since, revision)
	f.succeeded(now)
	if changed {
		f.nextAt = now.Add(f.opt.Pause)
	}
}

func (f *Follower) succeeded(now time.Time) {
	f.Rest()
	f.synced, f.okAt, f.nextAt = true, now, now
}

// HistoryLost reports that the store cannot tell what came after Since: it is
// there, and has said nothing.
func (f *Follower) HistoryLost(now time.Time) {
	f.Rest()
	f.nextAt = now
}

// Rest ends the following for as long as this daemon takes what it follows from
// another one; the next call is a list.
func (f *Follower) Rest() { f.synced, f.failedAt, f.failures = false, time.Time{}, 0 }

// Failed reports a call without a usable answer. A watch that failed may have
// missed what the store has told no one, so the next call is a list.
func (f *Follower) Failed(now time.Time) {
	if f.failedAt.IsZero() {
		f.failedAt = now
	}
	f.synced = false
	f.nextAt = now.Add(min(max(f.opt.Retry, f.opt.RetryMost), f.opt.Retry<<min(f.failures, maxDoublings)))
	f.failures++
}

// maxDoublings keeps the growing pause from overflowing.
const maxDoublings = 10

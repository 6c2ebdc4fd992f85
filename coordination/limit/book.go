// Package limit decides what a daemon believes of the limits that endpoints name in their
// answers: the requests a second that an endpoint takes from all daemons together. The newest
// word counts, whoever heard it; it holds for one life of the endpoint, and ends when an answer
// bears none any more. The package is a state machine without I/O: words and the time go in,
// changes of belief and what others must be told come out.
//
// Invariant: versions of an endpoint's words only rise, at each daemon.
package limit

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Word is what an endpoint has said last.
type Report struct {
	Rate     float64 // requests a second from all daemons; without meaning unless Limited
	Limited  bool    // else the endpoint names no limit any more
	Version  uint64
	Reporter string // daemon that heard it
}

// Change is a belief that has changed.
type Change struct {
	Incarnation fleet.Incarnation
	Before, Now Report
	// Tell says that the other daemons should be told: it is the begin or the end of a
	// limit, or the first change in a while.
	Publish bool
}

const (
	// tellChange is the least time between two changes of a limit that any daemon tells the
	// others: its owner is told with each draw. That one begins or ends is told at once, unless
	// that came within tellTurn: an endpoint that says now this, now that costs no more.
	tellChange = time.Second
	tellTurn   = 100 * time.Millisecond
	// Remember is how long the end of a limit is remembered: late words of it are no news.
	Retention = 10 * time.Minute
)

// belief is what is known of one life of an endpoint.
type belief struct {
	word Report
	// learned is when the word was heard last. What an answer says to a request that was sent
	// after it is newer; of others that cannot be told.
	learned time.Time
	told    Report
	toldAt  time.Time
}

// Book is the beliefs of one daemon. It is not safe for concurrent use.
type Tracker struct {
	self    string
	beliefs map[fleet.Incarnation]*belief
}

// New returns a book of a daemon that has heard nothing.
func New(self string) *Tracker { return &Tracker{self: self, beliefs: map[fleet.Incarnation]*belief{}} }

// Heard takes what an answer says to a request that was sent at some time.
func (b *Tracker) ObserveReport(now, sent time.Time, life fleet.Incarnation, rate float64, limited bool) (Change, bool) {
	k := b.beliefs[life]
	switch {
	case k == nil && !limited:
		return Change{}, false
	case k == nil:
		k = &belief{}
		b.beliefs[life] = k
	case sent.Before(k.learned):
		return Change{}, false // an earlier word may have overtaken a later one on its way
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

// Untold returns the changes that were not told when they came and should be by now.
func (b *Tracker) TakePending(now time.Time) []Change {
	var list []Change
	for life, k := range b.beliefs {
		if k.untold(b.self, now) {
			list = append(list, k.tell(now, life))
		}
	}
	return list
}

// overdue returns a change that was not told when it came, or a limit that was told so long ago
// that daemons which start now would not hear of it.
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

// untold reports whether a daemon should tell now what it has heard and not told.
func (k *belief) untold(self string, now time.Time) bool {
	return k.word.Reporter == self && k.told.Version != k.word.Version && now.Sub(k.toldAt) >= tellChange
}

// tell returns the last word to be told.
func (k *belief) tell(now time.Time, life fleet.Incarnation) Change {
	k.told, k.toldAt = k.word, now
	return Change{Incarnation: life, Before: k.word, Now: k.word, Publish: true}
}

// age returns about how long ago a word was new: its version is a time of day, unless words
// came faster than that.
func (w Report) age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-int64(w.Version)) * time.Millisecond
}

// Stale reports whether a word of some version is so old that daemons forget it.
func Stale(now time.Time, version uint64) bool { return Report{Version: version}.age(now) > Retention }

// Told takes what another daemon has heard.
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

// Of returns the last word of an endpoint's life.
func (b *Tracker) Latest(life fleet.Incarnation) (Report, bool) {
	if k := b.beliefs[life]; k != nil {
		return k.word, true
	}
	return Report{}, false
}

// Keep forgets lives that have ended, and limits that ended long ago; it returns the limits
// that it has forgotten.
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

// unlistedFor is how long the limit of an endpoint that is not listed is kept after its last
// word: a list may be older than the word, or miss an entry for a while.
const unlistedFor = time.Minute

// Limited returns the lives that name a limit now, with their last words.
func (b *Tracker) Limited() map[fleet.Incarnation]Report {
	limited := map[fleet.Incarnation]Report{}
	for life, k := range b.beliefs {
		if k.word.Limited {
			limited[life] = k.word
		}
	}
	return limited
}

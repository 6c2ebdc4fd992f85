package relay

import (
	"cmp"
	"slices"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// maxRemovals bounds the removals that are remembered; a follower that missed
// more gets the whole list.
const maxRemovals = 256

// Delta holds the changes of a view.
type Delta struct {
	Whole     bool // Endpoints is the whole view, not only the changes
	Endpoints []*fleet.Endpoint
	Removed   []string // ids of removed endpoints
}

// Empty reports whether the delta holds no changes.
func (d *Delta) Empty() bool { return !d.Whole && len(d.Endpoints) == 0 && len(d.Removed) == 0 }

type removal struct {
	id     string
	change uint64
}

// ChangeLog numbers the changes of a view, so that followers can get the changes
// since a number. It is not safe for concurrent use.
type ChangeLog struct {
	change      uint64
	changedAt   map[string]uint64 // number of the last change, by endpoint id
	removals    []removal         // oldest first
	droppedUpTo uint64            // removals up to this change have been dropped
}

// NewChangeLog returns an empty log.
func NewChangeLog() *ChangeLog { return &ChangeLog{changedAt: map[string]uint64{}} }

// LastChange returns the number of the last change; zero before the first.
func (l *ChangeLog) LastChange() uint64 { return l.change }

// Record adds the changes from the view old to the view next.
func (l *ChangeLog) Record(old, next *fleet.View) {
	l.change++
	for id, e := range next.ByID {
		if old.ByID[id] != e {
			l.changedAt[id] = l.change
		}
	}
	for id := range old.ByID {
		if next.ByID[id] == nil {
			delete(l.changedAt, id)
			l.removals = append(l.removals, removal{id, l.change})
		}
	}
	if over := len(l.removals) - maxRemovals; over > 0 {
		l.droppedUpTo = l.removals[over-1].change
		l.removals = slices.Delete(l.removals, 0, over)
	}
}

// Since returns the changes of the current view after the change with the number
// change. It returns the whole view if known is false, or if the removals since then
// are no longer remembered.
func (l *ChangeLog) Since(change uint64, known bool, view *fleet.View) Delta {
	d := Delta{Whole: !known || change < l.droppedUpTo || change > l.change}
	for id, e := range view.ByID {
		if d.Whole || l.changedAt[id] > change {
			d.Endpoints = append(d.Endpoints, e)
		}
	}
	slices.SortFunc(d.Endpoints, func(a, b *fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if d.Whole {
		return d
	}
	for _, rem := range l.removals {
		if rem.change > change && view.ByID[rem.id] == nil {
			d.Removed = append(d.Removed, rem.id)
		}
	}
	return d
}

package relay

import (
	"cmp"
	"slices"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// maxGone bounds the departures that are remembered; who missed more gets the
// whole list.
const maxGone = 256

// Delta is what has changed in a view.
type Delta struct {
	Whole     bool // Endpoints are all there are
	Endpoints []*fleet.Endpoint
	Removed   []string // ids
}

// Empty reports whether nothing has changed.
func (d *Delta) Empty() bool { return !d.Whole && len(d.Endpoints) == 0 && len(d.Removed) == 0 }

type departure struct {
	id     string
	change uint64
}

// ChangeLog numbers the changes of a view, so that others can be told what
// changed since a number that they name.
type ChangeLog struct {
	change    uint64
	changedAt map[string]uint64 // by endpoint
	gone      []departure       // oldest first
	forgotten uint64            // departures up to this change are forgotten
}

// NewChangeLog returns an empty log.
func NewChangeLog() *ChangeLog { return &ChangeLog{changedAt: map[string]uint64{}} }

// Change returns the number of the last change.
func (l *ChangeLog) LastChange() uint64 { return l.change }

// Record takes the next view.
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
			l.gone = append(l.gone, departure{id, l.change})
		}
	}
	if over := len(l.gone) - maxGone; over > 0 {
		l.forgotten = l.gone[over-1].change
		l.gone = slices.Delete(l.gone, 0, over)
	}
}

// Since returns what has changed in the present view since a change; all of it
// where known is false or the departures since then are not remembered.
func (l *ChangeLog) Since(change uint64, known bool, view *fleet.View) Delta {
	d := Delta{Whole: !known || change < l.forgotten || change > l.change}
	for id, e := range view.ByID {
		if d.Whole || l.changedAt[id] > change {
			d.Endpoints = append(d.Endpoints, e)
		}
	}
	slices.SortFunc(d.Endpoints, func(a, b *fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if d.Whole {
		return d
	}
	for _, g := range l.gone {
		if g.change > change && view.ByID[g.id] == nil {
			d.Removed = append(d.Removed, g.id)
		}
	}
	return d
}

package discovery

import (
	"errors"
	"maps"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Registry is the endpoints as one daemon believes them.
//
// Invariants: a description never goes back to an older revision, nor to an earlier
// life of its id; an endpoint that was seen leaving, or has said so itself, is leaving for the
// rest of that life, also when its entry lapses and is back; an endpoint whose entry goes missing in an outage of the store, or within a
// grace after its return, stays until that grace is over, and no longer.
type Registry struct {
	entries map[string]*entry
	removed map[string]uint64 // revision at which an id was seen removed
	// leaving are the lives that have said themselves that they leave, by id.
	leaving  map[string]fleet.Incarnation
	revision uint64
	changed  bool
	aside    SetAside
}

// SetAside is what was told and not taken since it was older than what is known.
type SetAside struct {
	Lists     int      // whole lists
	Endpoints []string // ids whose description or removal was
}

// Empty reports whether nothing was set aside.
func (a *SetAside) Empty() bool { return a.Lists == 0 && len(a.Endpoints) == 0 }

type entry struct {
	endpoint *fleet.Endpoint
	// missingUntil is set while the entry is missing from the store but kept.
	missingUntil time.Time
}

// ErrHistoryLost says that the store cannot tell what changed since the
// revision that was asked for.
var ErrHistoryLost = errors.New("the history since this revision is gone")

// Change is one change of the endpoint list.
type Change struct {
	ID       string
	Removed  bool
	Unusable *Unusable       // set where the entry is there and names no endpoint to use
	Endpoint *fleet.Endpoint // nil when removed or unusable
	Revision uint64
}

// Unusable is an entry that names no endpoint to use: another writer may have made it.
type Unusable struct {
	ID       string // empty where it cannot be read
	Revision uint64
	Reason   error
}

// maxRemoved bounds the memory of removed ids, and maxLeft that of lives that leave.
const (
	maxRemoved = 4096
	maxLeft    = 4096
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, removed: map[string]uint64{}, leaving: map[string]fleet.Incarnation{}}
}

// List replaces all that is known by a list as of revision. Until graceUntil,
// entries that are missing may only have lapsed while the store was away; it
// returns those that go missing now and are kept.
func (r *Registry) List(now time.Time, list []*fleet.Endpoint, revision uint64, graceUntil time.Time) (kept []string) {
	if revision < r.revision {
		r.aside.Lists++
		return nil
	}
	r.revision = revision
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		r.put(e)
	}
	for id, en := range r.entries {
		if present[id] {
			continue
		}
		kept = append(kept, r.missing(now, id, en, revision, graceUntil)...)
	}
	return kept
}

// Put takes a changed description.
func (r *Registry) Put(e *fleet.Endpoint, revision uint64) {
	r.revision = max(r.revision, revision)
	r.put(e)
}

func (r *Registry) put(e *fleet.Endpoint) {
	e = r.withOwnWord(e)
	if at, ok := r.removed[e.ID]; ok {
		if e.Revision <= at {
			r.setAside(e.ID)
			return
		}
		delete(r.removed, e.ID)
	}
	old := r.entries[e.ID]
	if old == nil {
		r.entries[e.ID] = &entry{endpoint: e}
		r.changed = true
		return
	}
	if e.Life().Before(old.endpoint.Life()) {
		r.setAside(e.ID)
		return
	}
	if old.endpoint.Life().Before(e.Life()) {
		r.entries[e.ID] = &entry{endpoint: e}
		r.changed = true
		return
	}
	old.missingUntil = time.Time{}
	back := old.endpoint.Missing && e.Revision == old.endpoint.Revision
	if e.Revision < old.endpoint.Revision {
		r.setAside(e.ID)
	}
	if e.Revision <= old.endpoint.Revision && !back {
		return
	}
	if old.endpoint.Leaving && !e.Leaving {
		kept := *e
		kept.Leaving, kept.Remaining = true, old.endpoint.Remaining
		e = &kept
	}
	old.endpoint = e
	r.changed = true
}

// Remove takes the removal of an entry. Until graceUntil, it may only have
// lapsed while the store was away; it returns the id if it is kept for that.
func (r *Registry) Remove(now time.Time, id string, revision uint64, graceUntil time.Time) (kept []string) {
	r.revision = max(r.revision, revision)
	en := r.entries[id]
	if en == nil {
		return nil
	}
	if revision < en.endpoint.Revision {
		r.setAside(id)
		return nil
	}
	return r.missing(now, id, en, revision, graceUntil)
}

// setAside notes a description or removal that was not taken.
func (r *Registry) setAside(id string) { r.aside.Endpoints = append(r.aside.Endpoints, id) }

// TakeSetAside returns what was set aside since the last call.
func (r *Registry) TakeSetAside() SetAside {
	a := r.aside
	r.aside = SetAside{}
	return a
}

// Unusable takes an entry that names no endpoint to use: what was known under its id
// is not used any more.
func (r *Registry) Unusable(id string, revision uint64) {
	r.revision = max(r.revision, revision)
	if en := r.entries[id]; en != nil && en.endpoint.Revision <= revision {
		r.drop(id, revision)
	}
}

// missing keeps an entry for the rest of the grace, or drops it. A grace is
// never made longer by another loss of the entry. It returns the id of an entry
// whose grace begins.
func (r *Registry) missing(now time.Time, id string, en *entry, revision uint64, graceUntil time.Time) (kept []string) {
	if en.endpoint.Leaving || !now.Before(graceUntil) && en.missingUntil.IsZero() {
		r.drop(id, revision)
		return nil
	}
	if !en.missingUntil.IsZero() {
		return nil
	}
	missing := *en.endpoint
	missing.Missing = true
	en.endpoint, en.missingUntil = &missing, graceUntil
	r.changed = true
	return []string{id}
}

// Missing reports whether an entry is kept that the store does not have.
func (r *Registry) Missing() bool {
	for _, en := range r.entries {
		if !en.missingUntil.IsZero() {
			return true
		}
	}
	return false
}

func (r *Registry) drop(id string, revision uint64) {
	delete(r.entries, id)
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[id] = revision
	r.changed = true
}

// Leave marks a life as leaving, by its own word, whether it is listed now or later.
func (r *Registry) Leave(life fleet.Incarnation) {
	if known := r.leaving[life.ID]; known.Born == 0 || known.Before(life) {
		r.forgetLeft()
		r.leaving[life.ID] = life
	}
	en := r.entries[life.ID]
	if en == nil {
		return
	}
	if marked := r.withOwnWord(en.endpoint); marked != en.endpoint {
		en.endpoint = marked
		r.changed = true
	}
}

// withOwnWord returns a description with the endpoint's own word that it leaves.
func (r *Registry) withOwnWord(e *fleet.Endpoint) *fleet.Endpoint {
	left, ok := r.leaving[e.ID]
	if !ok || e.Leaving || !left.Same(e.Life()) {
		return e
	}
	marked := *e
	marked.Leaving = true
	return &marked
}

// forgetLeft makes room for one more life that leaves: those that are not listed go first.
func (r *Registry) forgetLeft() {
	if len(r.leaving) < maxLeft {
		return
	}
	maps.DeleteFunc(r.leaving, func(id string, _ fleet.Incarnation) bool { return r.entries[id] == nil })
}

// Expire drops the entries that are still missing after their grace.
func (r *Registry) Expire(now time.Time) {
	for id, en := range r.entries {
		if !en.missingUntil.IsZero() && !now.Before(en.missingUntil) {
			r.drop(id, r.revision)
		}
	}
}

// Revision returns the newest revision known.
func (r *Registry) Revision() uint64 { return r.revision }

// View returns the present view and whether it differs from the last one
// taken.
func (r *Registry) View() (*fleet.View, bool) {
	changed := r.changed
	r.changed = false
	list := make([]*fleet.Endpoint, 0, len(r.entries))
	for _, en := range r.entries {
		list = append(list, en.endpoint)
	}
	return fleet.NewView(r.revision, list), changed
}

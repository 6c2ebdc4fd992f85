package discovery

import (
	"errors"
	"maps"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Registry is the endpoints as one daemon believes them.
//
// Invariants: a description never goes back to an older version, nor to an earlier life of its id;
// an endpoint that was seen leaving, or has said so itself, is leaving for the rest of that life, also
// when its entry lapses and is back, or the store comes back from a copy; an endpoint whose entry goes
// missing in an outage of the store, or within a grace after its return, stays until that grace is
// over, and no longer; one that was removed, and that a restored store names again, is not used
// before it has written itself again, or is named still after dead entries have lapsed.
type Registry struct {
	heartbeat time.Duration // of the endpoints
	entries   map[string]*entry
	removed   map[string]removal
	revived   map[string]*revival // removed, and named again by a restored store
	// leaving are the lives that have said that they leave, by id.
	leaving map[string]fleet.Incarnation
	version storeversion.Version
	changed bool
	aside   Discarded
}

// removal is how an id was last seen removed.
type removal struct {
	at   storeversion.Version
	life fleet.Incarnation
}

// revival is an entry that a restored store names though it was removed.
type revival struct {
	endpoint *fleet.Endpoint
	first    storeversion.Version // at which the restored store named it first
	earlier  bool                 // a life before the one that was removed: it is dead unless it writes itself again
	until    time.Time            // it is used if a list names it from then on; zero until the next Expire
}

// SetAside is what was told and not taken since it was older than what is known.
type Discarded struct {
	Lists     int      // whole lists
	Endpoints []string // ids whose description or removal was
}

// Empty reports whether nothing was set aside.
func (a *Discarded) Empty() bool { return a.Lists == 0 && len(a.Endpoints) == 0 }

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
	Version  storeversion.Version
}

// Unusable is an entry that names no endpoint to use: another writer may have made it.
type Unusable struct {
	ID      string // empty where it cannot be read
	Version storeversion.Version
	Reason  error
}

// lapseBeatsMost is the number of heartbeats after which the store has dropped the entry of an
// endpoint that is dead: it drops those that have missed three.
const lapseBeatsMost = 4

// maxRemoved bounds the memory of removed ids, and maxLeft that of lives that leave.
const (
	maxRemoved = 4096
	maxLeft    = 4096
)

// NewRegistry returns an empty registry. heartbeat is the time between two heartbeats of an endpoint.
func NewRegistry(heartbeat time.Duration) *Registry {
	return &Registry{
		heartbeat: heartbeat, entries: map[string]*entry{}, removed: map[string]removal{}, revived: map[string]*revival{},
		leaving: map[string]fleet.Incarnation{},
	}
}

// List replaces all that is known by a list as of a version of the store. Until graceUntil,
// entries that are missing may only have lapsed while the store was away; it
// returns those that go missing now and are kept.
func (r *Registry) List(now time.Time, list []*fleet.Endpoint, version storeversion.Version, graceUntil time.Time) (kept []string) {
	if version.Before(r.version) {
		r.aside.Lists++
		return nil
	}
	r.version = version
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		if back := r.revived[e.ID]; back != nil && back.outlasted(now) {
			r.enter(r.withOwnWord(e))
			continue
		}
		r.put(e)
	}
	for id, en := range r.entries {
		if present[id] {
			continue
		}
		kept = append(kept, r.missing(now, id, en, version, graceUntil)...)
	}
	maps.DeleteFunc(r.revived, func(id string, _ *revival) bool { return !present[id] })
	return kept
}

// Put takes a changed description.
func (r *Registry) Put(e *fleet.Endpoint, version storeversion.Version) {
	r.version = storeversion.Max(r.version, version)
	r.put(e)
}

func (r *Registry) put(e *fleet.Endpoint) {
	e = r.withOwnWord(e)
	if gone, ok := r.removed[e.ID]; ok {
		if !e.Version.After(gone.at) {
			r.setAside(e.ID)
			return
		}
		if r.mayBeOfTheCopy(e, gone) {
			return
		}
	}
	old := r.entries[e.ID]
	if old == nil {
		r.enter(e)
		return
	}
	if e.Incarnation().Before(old.endpoint.Incarnation()) {
		r.setAside(e.ID)
		return
	}
	if old.endpoint.Incarnation().Before(e.Incarnation()) {
		r.entries[e.ID] = &entry{endpoint: e}
		r.changed = true
		return
	}
	old.missingUntil = time.Time{}
	back := old.endpoint.Missing && e.Version == old.endpoint.Version
	if e.Version.Before(old.endpoint.Version) {
		r.setAside(e.ID)
	}
	if !e.Version.After(old.endpoint.Version) && !back {
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

// outlasted reports whether the entry of a dead endpoint would have lapsed by now.
func (b *revival) outlasted(now time.Time) bool {
	return !b.earlier && !b.until.IsZero() && !now.Before(b.until)
}

// enter takes the description of an endpoint that was not known.
func (r *Registry) enter(e *fleet.Endpoint) {
	delete(r.removed, e.ID)
	delete(r.revived, e.ID)
	r.entries[e.ID] = &entry{endpoint: e}
	r.changed = true
}

// mayBeOfTheCopy reports whether a restored store may name an endpoint only since its copy is older
// than the removal: in a later generation, the same life, and not written again since it was first
// named there. Such an entry is held back.
func (r *Registry) mayBeOfTheCopy(e *fleet.Endpoint, gone removal) bool {
	if e.Version.Generation == gone.at.Generation || gone.life.Before(e.Incarnation()) {
		return false
	}
	known := r.revived[e.ID]
	switch {
	case known == nil || known.first.Generation != e.Version.Generation:
		r.revived[e.ID] = &revival{endpoint: e, first: e.Version, earlier: e.Incarnation().Before(gone.life)}
	case e.Version.After(known.first):
		return false
	}
	r.setAside(e.ID)
	return true
}

// Remove takes the removal of an entry. Until graceUntil, it may only have
// lapsed while the store was away; it returns the id if it is kept for that.
func (r *Registry) Remove(now time.Time, id string, version storeversion.Version, graceUntil time.Time) (kept []string) {
	r.version = storeversion.Max(r.version, version)
	delete(r.revived, id)
	en := r.entries[id]
	if en == nil {
		return nil
	}
	if version.Before(en.endpoint.Version) {
		r.setAside(id)
		return nil
	}
	return r.missing(now, id, en, version, graceUntil)
}

// setAside notes a description or removal that was not taken.
func (r *Registry) setAside(id string) { r.aside.Endpoints = append(r.aside.Endpoints, id) }

// TakeSetAside returns what was set aside since the last call.
func (r *Registry) TakeDiscarded() Discarded {
	a := r.aside
	r.aside = Discarded{}
	return a
}

// Unusable takes an entry that names no endpoint to use: what was known under its id
// is not used any more.
func (r *Registry) MarkUnusable(id string, version storeversion.Version) {
	r.version = storeversion.Max(r.version, version)
	delete(r.revived, id)
	if en := r.entries[id]; en != nil && !en.endpoint.Version.After(version) {
		r.drop(id, version)
	}
}

// missing keeps an entry for the rest of the grace, or drops it. A grace is
// never made longer by another loss of the entry. It returns the id of an entry
// whose grace begins.
func (r *Registry) missing(now time.Time, id string, en *entry, version storeversion.Version, graceUntil time.Time) (kept []string) {
	if en.endpoint.Leaving || !now.Before(graceUntil) && en.missingUntil.IsZero() {
		r.drop(id, version)
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

// missingAny reports whether an entry is kept that the store does not have.
func (r *Registry) missingAny() bool {
	for _, en := range r.entries {
		if !en.missingUntil.IsZero() {
			return true
		}
	}
	return false
}

func (r *Registry) drop(id string, version storeversion.Version) {
	gone := r.entries[id].endpoint
	delete(r.entries, id)
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[id] = removal{version, gone.Incarnation()}
	if gone.Leaving && gone.StartUnixMs != 0 {
		r.remember(gone.Incarnation())
	}
	r.changed = true
}

// Leave marks a life as leaving, by its own word, whether it is listed now or later.
func (r *Registry) MarkLeaving(life fleet.Incarnation) {
	r.remember(life)
	en := r.entries[life.ID]
	if en == nil {
		return
	}
	if marked := r.withOwnWord(en.endpoint); marked != en.endpoint {
		en.endpoint = marked
		r.changed = true
	}
}

// remember keeps for a life that it leaves.
func (r *Registry) remember(life fleet.Incarnation) {
	if known := r.leaving[life.ID]; known.StartUnixMs == 0 || known.Before(life) {
		r.forgetLeft()
		r.leaving[life.ID] = life
	}
}

// withOwnWord returns a description with the endpoint's own word that it leaves.
func (r *Registry) withOwnWord(e *fleet.Endpoint) *fleet.Endpoint {
	left, ok := r.leaving[e.ID]
	if !ok || e.Leaving || !left.Matches(e.Incarnation()) {
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
			r.drop(id, r.version)
		}
	}
	for _, back := range r.revived {
		if back.until.IsZero() {
			back.until = now.Add(lapseBeatsMost * r.heartbeat)
		}
	}
}

// WantsList reports whether a whole list would tell which of the entries that were held back live on:
// dead ones have lapsed by now.
func (r *Registry) WantsList(now time.Time) bool {
	for _, back := range r.revived {
		if back.outlasted(now) {
			return true
		}
	}
	return false
}

// Pending reports whether Expire has something to do soon.
func (r *Registry) ExpiryPending() bool {
	for _, back := range r.revived {
		if !back.earlier {
			return true
		}
	}
	return r.missingAny()
}

// Version returns the newest version known.
func (r *Registry) Version() storeversion.Version { return r.version }

// View returns the present view and whether it differs from the last one
// taken.
func (r *Registry) View() (*fleet.View, bool) {
	changed := r.changed
	r.changed = false
	list := make([]*fleet.Endpoint, 0, len(r.entries))
	for _, en := range r.entries {
		list = append(list, en.endpoint)
	}
	return fleet.NewView(r.version, list), changed
}

package storeview

import (
	"maps"
	"slices"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// maxUnusable bounds the unusable entries that are remembered, so that any number of
// them takes little memory; beyond it they are logged each time they are read.
const maxUnusable = 1024

// takeUnusable takes entries that name no endpoint to use, as of a version of the store, and
// returns those that are news. What was known under their ids is not used any more; the
// caller holds the mutex.
func (v *View) takeUnusable(list []discovery.Unusable, stored storeversion.Version) (fresh []discovery.Unusable) {
	for _, u := range list {
		if u.ID != "" {
			v.registry.MarkUnusable(u.ID, stored)
		}
		if at, ok := v.unusable[u.ID]; !ok || at != u.Version {
			fresh = append(fresh, u)
		}
		if len(v.unusable) < maxUnusable {
			v.unusable[u.ID] = u.Version
		}
	}
	return fresh
}

// forgetUnusable drops the entries that a whole list does not name as unusable any more;
// the caller holds the mutex.
func (v *View) forgetUnusable(list []discovery.Unusable) {
	maps.DeleteFunc(v.unusable, func(id string, _ storeversion.Version) bool {
		return !slices.ContainsFunc(list, func(u discovery.Unusable) bool { return u.ID == id })
	})
}

// Unusable returns the number of entries that this daemon has read in the store and
// that name no endpoint to use. Daemons that take from others read none.
func (v *View) UnusableCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.unusable)
}

// loggedUnusable bounds the lines about unusable entries of one answer of the store.
const loggedUnusable = 8

func (v *View) logUnusable(list []discovery.Unusable) {
	for _, u := range list[:min(len(list), loggedUnusable)] {
		v.opt.Log.Error(decisions.EventEndpointRejected, "endpoint", u.ID, "revision", u.Version, "error", u.Reason, "others", len(list)-1)
	}
}

// logReborn logs the endpoints that have started again under their id: what was known
// of the life before is dropped.
func (v *View) logReborn(old, next *fleet.View, from string) {
	for id, e := range next.ByID {
		o := old.ByID[id]
		if o == nil || !o.Incarnation().Before(e.Incarnation()) {
			continue
		}
		v.opt.Log.Info(decisions.EventEndpointRestarted, "endpoint", id, "born", e.StartUnixMs, "born_before", o.StartUnixMs, "was_leaving", o.Leaving, "revision", e.Version, "from", from,
			"models_dropped", len(o.Models))
	}
}

package storeview

import (
	"maps"
	"slices"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// maxUnusable bounds the remembered unusable entries, so that any number of them takes little
// memory; further ones are logged each time they are read.
const maxUnusable = 1024

// recordUnusable records entries that describe no usable endpoint, as of a version of the
// store, and returns the new ones. Earlier entries under their ids are no longer used; the
// caller holds the mutex.
func (v *View) recordUnusable(list []discovery.Unusable, stored storeversion.Version) (fresh []discovery.Unusable) {
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

// pruneUnusable removes the entries that are not unusable in a whole list; the caller holds
// the mutex.
func (v *View) pruneUnusable(list []discovery.Unusable) {
	maps.DeleteFunc(v.unusable, func(id string, _ storeversion.Version) bool {
		return !slices.ContainsFunc(list, func(u discovery.Unusable) bool { return u.ID == id })
	})
}

// UnusableCount returns the number of entries that this daemon has read from the store and
// that describe no usable endpoint. Followers read none.
func (v *View) UnusableCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.unusable)
}

// maxLoggedUnusable bounds the log lines about unusable entries in one answer of the store.
const maxLoggedUnusable = 8

func (v *View) logUnusable(list []discovery.Unusable) {
	for _, u := range list[:min(len(list), maxLoggedUnusable)] {
		v.opt.Log.Error(decisions.EventEndpointRejected, "endpoint", u.ID, "revision", u.Version, "error", u.Reason, "others", len(list)-1)
	}
}

// logRestarted logs the endpoints that have started again under the same id. Nothing is kept
// of the earlier incarnation.
func (v *View) logRestarted(old, next *fleet.View, from string) {
	for id, e := range next.ByID {
		o := old.ByID[id]
		if o == nil || !o.Incarnation().Before(e.Incarnation()) {
			continue
		}
		v.opt.Log.Info(decisions.EventEndpointRestarted, "endpoint", id, "born", e.StartUnixMs, "born_before", o.StartUnixMs, "was_leaving", o.Leaving, "revision", e.Version, "from", from,
			"models_dropped", len(o.Models))
	}
}

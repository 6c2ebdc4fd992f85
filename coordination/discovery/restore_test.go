package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// in returns a version in a generation of the store.
func in(generation, revision uint64) storeversion.Version {
	return storeversion.Version{Generation: generation, Revision: revision}
}

// described returns the description of an endpoint in its first incarnation.
func described(id string, version storeversion.Version, leaving bool) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, StartUnixMs: 1000, Service: "s", Address: id, Version: version, Leaving: leaving}
}

// Guards against a view that ignores the store after a restore, because the revisions are lower than
// before.
func TestRestoredStoreIsBelieved(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{described("a", in(1, 92), false), described("b", in(1, 93), false)}, in(1, 96), time.Time{})
	r.List(start, []*fleet.Endpoint{described("a", in(2, 50), false), described("new", in(2, 51), false)}, in(2, 52), time.Time{})
	if usable(r, "b") || !usable(r, "new") {
		t.Fatal("the list of the restored store was ignored")
	}
	r.Put(described("a", in(2, 60), true), in(2, 60))
	if usable(r, "a") {
		t.Fatal("a description from the restored store was ignored")
	}
	r.Put(described("new", in(1, 99), true), in(1, 99))
	r.List(start, nil, in(1, 120), time.Time{})
	if !usable(r, "new") {
		t.Fatal("an answer from before the restore changed the registry")
	}
	if discarded := r.TakeDiscarded(); discarded.Lists != 1 || len(discarded.Endpoints) != 1 {
		t.Fatalf("discarded %+v, want one list and one description", discarded)
	}
}

// Guards against requests to a leaving incarnation whose entry in the copy is not marked as leaving.
func TestCopyBringsNoLifeBackThatHasLeft(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	for _, id := range []string{"said", "leaving", "left"} {
		r.Put(described(id, in(1, 10), false), in(1, 10))
	}
	r.MarkLeaving(fleet.Incarnation{ID: "said", StartUnixMs: 1000})
	r.Put(described("leaving", in(1, 11), true), in(1, 11))
	r.Put(described("left", in(1, 12), true), in(1, 12))
	r.Remove(start, "left", in(1, 13), time.Time{})
	var copied []*fleet.Endpoint
	for _, id := range []string{"said", "leaving", "left"} {
		copied = append(copied, described(id, in(2, 10), false))
	}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		r.List(now, copied, in(2, 10), start.Add(grace))
		r.Expire(now)
		for _, id := range []string{"said", "leaving", "left"} {
			if usable(r, id) {
				t.Fatalf("%s takes requests again %v after the restore", id, now.Sub(start))
			}
		}
	}
}

// Guards against requests to an endpoint that was removed before the restore and whose entry is in
// the copy: it is used only after it has written its entry again, or if its entry is still listed
// after the store would have dropped that of a dead endpoint.
func TestRemovedEndpointThatTheCopyNames(t *testing.T) {
	begin := func() *Registry {
		r := NewRegistry(testHeartbeat)
		r.Put(described("a", in(1, 10), false), in(1, 10))
		r.Remove(start, "a", in(1, 12), time.Time{})
		r.List(start, []*fleet.Endpoint{described("a", in(2, 10), false)}, in(2, 10), time.Time{})
		r.Expire(start)
		return r
	}
	r := begin()
	if usable(r, "a") {
		t.Fatal("the endpoint is used as soon as the restored store lists it")
	}
	r.List(start, []*fleet.Endpoint{described("a", in(2, 10), false)}, in(2, 14), time.Time{})
	if usable(r, "a") {
		t.Fatal("the endpoint is used although it has not written its entry again")
	}
	r.Put(described("a", in(2, 15), false), in(2, 15))
	if !usable(r, "a") {
		t.Fatal("the endpoint has written its entry again and is not used")
	}
	r = begin()
	r.Remove(start, "a", in(2, 16), time.Time{})
	r.Expire(start.Add(time.Minute))
	if usable(r, "a") {
		t.Fatal("the endpoint is used after its entry lapsed")
	}
	r = begin()
	later := start.Add(maxLapseHeartbeats * testHeartbeat)
	if r.WantsList(later.Add(-time.Millisecond)) || !r.WantsList(later) {
		t.Fatal("a list is requested before dead entries have lapsed, or never")
	}
	r.List(later, []*fleet.Endpoint{described("a", in(2, 10), false)}, in(2, 17), time.Time{})
	if !usable(r, "a") {
		t.Fatal("the endpoint is not used although it is still listed after dead entries have lapsed")
	}
	r = begin()
	next := described("a", in(2, 17), false)
	next.StartUnixMs = 2000
	r.Put(next, in(2, 17))
	if !usable(r, "a") {
		t.Fatal("the next incarnation of the endpoint is not used")
	}
}

// Guards against requests that are rejected because the copy lacks their endpoint, although the
// endpoint writes its entry again within the grace.
func TestEndpointThatTheCopyLacksIsKept(t *testing.T) {
	r, o := NewRegistry(testHeartbeat), NewOutage(testHeartbeat)
	r.Put(described("a", in(1, 90), false), in(1, 90))
	o.ObserveRestore(start)
	if kept := r.List(start, nil, in(2, 50), o.GraceUntil()); len(kept) != 1 || !usable(r, "a") {
		t.Fatal("an endpoint missing from the copy is not kept")
	}
	r.Expire(start.Add(lapseGrace - time.Millisecond))
	if !usable(r, "a") {
		t.Fatal("the endpoint is dropped before the end of the grace")
	}
	r.Expire(start.Add(lapseGrace))
	if usable(r, "a") {
		t.Fatal("the endpoint is kept beyond the grace")
	}
}

// Checks in random histories of a store that is restored from copies that the view never goes back,
// that no leaving incarnation takes requests again, and that in the end the view holds the endpoints that
// the store lists, and no others.
func TestRegistryThroughRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, o := NewRegistry(testHeartbeat), NewOutage(testHeartbeat)
		now, version := start, in(1, 10)
		stored := map[string]*fleet.Endpoint{}
		type copied struct {
			at      storeversion.Version
			entries map[string]*fleet.Endpoint
		}
		copies := []copied{{version, map[string]*fleet.Endpoint{}}}
		left, newest := map[string]int64{}, storeversion.Version{}
		born := map[string]int64{}
		list := func() {
			var all []*fleet.Endpoint
			for _, e := range stored {
				all = append(all, e)
			}
			r.List(now, all, version, o.GraceUntil())
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "id"))
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				version.Revision++
				if born[id] == 0 || rapid.IntRange(0, 4).Draw(t, "again") == 0 {
					born[id] += 1000
				}
				e := described(id, version, rapid.IntRange(0, 3).Draw(t, "leaving") == 0 || left[id] == born[id])
				e.StartUnixMs = born[id]
				stored[id] = e
				r.Put(e, version)
			case 3:
				if stored[id] != nil {
					version.Revision++
					delete(stored, id)
					r.Remove(now, id, version, time.Time{})
				}
			case 4:
				entries := map[string]*fleet.Endpoint{}
				for id, e := range stored {
					entries[id] = e
				}
				copies = append(copies, copied{version, entries})
			case 5:
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				version = in(version.Generation+1, copies[i].at.Revision)
				stored = map[string]*fleet.Endpoint{}
				for id, e := range copies[i].entries {
					again := *e
					again.Version.Generation = version.Generation
					stored[id] = &again
				}
				copies = copies[:i+1]
				o.ObserveRestore(now)
				list()
			case 6:
				list()
			case 7: // a late answer from before the last restore
				r.List(now, nil, in(version.Generation-1, version.Revision+50), time.Time{})
			}
			r.Expire(now)
			v, _ := r.View()
			if v.Version.Before(newest) {
				t.Fatalf("the view went back from version %v to %v", newest, v.Version)
			}
			newest = v.Version
			for id, e := range v.ByID {
				if e.Leaving {
					left[id] = max(left[id], e.StartUnixMs)
				} else if left[id] >= e.StartUnixMs {
					t.Fatalf("%s takes requests again after it was leaving", id)
				}
			}
		}
		r.Expire(now)
		for range 2 {
			now = now.Add(time.Minute)
			r.Expire(now)
			list()
		}
		v, _ := r.View()
		for id, e := range stored {
			if e.Leaving || e.StartUnixMs < born[id] {
				continue // it leaves, or the copy lists an incarnation that has ended
			}
			if got := v.ByID[id]; got == nil || got.StartUnixMs < e.StartUnixMs {
				t.Fatalf("the store lists %s, and it is not used: %+v", id, got)
			}
		}
		for id := range v.ByID {
			if stored[id] == nil {
				t.Fatalf("%s is used although the store does not list it", id)
			}
		}
	})
}

package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	grace         = 2 * time.Second
	testHeartbeat = 1200 * time.Millisecond
)

// at returns a version of a store that reports no generation.
func at(revision uint64) storeversion.Version { return storeversion.Version{Revision: revision} }

func endpoint(id string, revision uint64, leaving bool) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, Service: "s", Address: id, Version: at(revision), Leaving: leaving}
}

func usable(r *Registry, id string) bool {
	v, _ := r.View()
	e := v.ByID[id]
	return e != nil && !e.Leaving
}

func TestFollowerListsBeforeItWatches(t *testing.T) {
	f := NewFollower(FollowOptions{Retry: 200 * time.Millisecond})
	if a, _ := f.Next(start); a != List {
		t.Fatalf("first action %v, want a list", a)
	}
	f.Listed(start, start, at(7))
	if a, _ := f.Next(start); a != Watch || f.Since() != at(7) {
		t.Fatalf("action %v since %v after a list, want a watch since its version", a, f.Since())
	}
	f.Watched(WatchAnswer{RequestedAt: start, ReceivedAt: start, Version: at(9), Changed: true})
	f.SetPause(start.Add(100 * time.Millisecond))
	if a, until := f.Next(start); a != Wait || until != start.Add(100*time.Millisecond) {
		t.Fatalf("action %v until %v after changes, want a pause of 100 ms", a, until)
	}
	f.HistoryLost(start)
	if a, _ := f.Next(start); a != List {
		t.Fatalf("action %v after lost history, want a list", a)
	}
	f.Listed(start, start, at(12))
	f.Failed(start)
	if a, _ := f.Next(start); a != Wait {
		t.Fatalf("action %v right after a failure, want a wait", a)
	}
	if a, _ := f.Next(start.Add(time.Second)); a != List {
		t.Fatalf("action %v after a failed watch, want a list: the watch may have missed changes", a)
	}
}

func TestRemovedEndpointIsDroppedAtOnce(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	r.Remove(start, "a", at(2), time.Time{})
	if usable(r, "a") {
		t.Fatal("an endpoint whose entry was removed still takes requests")
	}
}

func TestLapsedEntryStaysForItsGrace(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false), endpoint("b", 1, true)}, at(1), time.Time{})
	r.List(start, nil, at(5), start.Add(grace))
	r.Expire(start.Add(grace - time.Millisecond))
	if !usable(r, "a") {
		t.Fatal("an entry that lapsed in an outage was dropped within its grace")
	}
	if v, _ := r.View(); v.ByID["b"] != nil {
		t.Fatal("an endpoint that was leaving before the outage was kept")
	}
	r.Expire(start.Add(grace))
	if usable(r, "a") {
		t.Fatal("an entry still takes requests after its grace")
	}
}

func TestLapsedEntryReturns(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	r.List(start, nil, at(5), start.Add(grace))
	r.Put(endpoint("a", 6, false), at(6))
	r.Expire(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Fatal("an entry that was written again was dropped")
	}
}

// Guards against a leaving endpoint that takes requests again: its entry may arrive only after the
// endpoint's own report that it leaves, lapse in an outage and return, or be listed again, and each
// time the entry says that the endpoint is ready.
func TestOwnWordOfLeavingOutlastsTheEntry(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.MarkLeaving(fleet.Incarnation{ID: "a", StartUnixMs: 1000})
	r.Put(bornAt("a", 1000, 3, false), at(3))
	if usable(r, "a") {
		t.Fatal("an endpoint whose entry arrived after its report of leaving takes requests")
	}
	r.List(start, nil, at(5), start.Add(grace))
	r.Put(bornAt("a", 1000, 6, false), at(6))
	if usable(r, "a") {
		t.Fatal("a leaving endpoint whose entry lapsed and returned takes requests")
	}
	r.Remove(start, "a", at(7), time.Time{})
	r.List(start, []*fleet.Endpoint{bornAt("a", 1000, 8, false), endpoint("b", 8, false)}, at(8), time.Time{})
	if usable(r, "a") || !usable(r, "b") {
		t.Fatal("after a new list, a is no longer leaving, or b is")
	}
	r.Put(bornAt("a", 2000, 9, false), at(9))
	if !usable(r, "a") {
		t.Fatal("the next incarnation is leaving as well")
	}
}

// Checks that an endpoint removed shortly after the store's return gets no
// longer grace than an endpoint whose entry went missing in the outage.
func TestGraceEndsAtAFixedTime(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	until := start.Add(grace)
	r.Remove(start.Add(700*time.Millisecond), "a", at(6), until)
	r.Expire(until)
	if usable(r, "a") {
		t.Fatal("the grace was counted from the removal of the entry")
	}
}

// graceOf draws the end of a grace, or no grace.
func graceOf(t *rapid.T, now time.Time) time.Time {
	if rapid.Bool().Draw(t, "outage") {
		return now.Add(grace)
	}
	return time.Time{}
}

// Checks in random histories, with stale lists and repeated changes, that the
// registry never goes back to an older version, and that a leaving endpoint never
// takes requests again.
func TestRegistryNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(testHeartbeat)
		now, revision := start, uint64(1)
		left := map[string]bool{}
		newest := map[string]storeversion.Version{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "id"))
			revision += uint64(rapid.IntRange(0, 2).Draw(t, "rev"))
			leaving := rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				r.Put(endpoint(id, revision, leaving), at(revision))
			case 2:
				r.Remove(now, id, at(revision), graceOf(t, now))
			case 3:
				stale := uint64(rapid.IntRange(0, int(revision)).Draw(t, "stale"))
				r.List(now, []*fleet.Endpoint{endpoint(id, stale, leaving)}, at(stale), graceOf(t, now))
			case 4:
				r.MarkLeaving(fleet.Incarnation{ID: id})
			}
			r.Expire(now)
			v, _ := r.View()
			for id, e := range v.ByID {
				if e.Version.Before(newest[id]) {
					t.Fatalf("%s went back from version %v to version %v", id, newest[id], e.Version)
				}
				newest[id] = e.Version
				if left[id] && !e.Leaving {
					t.Fatalf("%s takes requests again after it was leaving", id)
				}
				left[id] = e.Leaving
			}
			for id := range left {
				if v.ByID[id] == nil {
					delete(left, id)
				}
			}
		}
	})
}

func bornAt(id string, born int64, revision uint64, leaving bool) *fleet.Endpoint {
	e := endpoint(id, revision, leaving)
	e.StartUnixMs = born
	return e
}

// Checks that an endpoint restarted under the same id is a new one: it takes requests
// although the incarnation before was leaving, and late updates of that incarnation do
// not change it.
func TestNextLifeUnderTheSameID(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.Put(bornAt("e", 1000, 5, true), at(5))
	r.Put(bornAt("e", 2000, 6, false), at(6))
	now := time.Now()
	check := func(step string) {
		t.Helper()
		v, _ := r.View()
		if e := v.ByID["e"]; e == nil || e.StartUnixMs != 2000 || e.Leaving {
			t.Fatalf("%s: %+v", step, e)
		}
	}
	check("the next incarnation")
	r.Put(bornAt("e", 1000, 9, true), at(9))
	check("a late write of the incarnation before")
	r.Remove(now, "e", at(5), time.Time{})
	check("the removal of the incarnation before")
	r.MarkLeaving(fleet.Incarnation{ID: "e", StartUnixMs: 1000})
	check("the report of the incarnation before that it leaves")
	r.MarkLeaving(fleet.Incarnation{ID: "e", StartUnixMs: 2000})
	if v, _ := r.View(); !v.ByID["e"].Leaving {
		t.Fatal("the endpoint is not leaving after its own report")
	}
}

// Checks that an endpoint is dropped when its entry becomes unusable, also where a
// missing entry would be kept for an outage of the store, unless the unusable entry
// is older than the known description.
func TestUnusableEntryIsNotUsed(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.Put(endpoint("a", 5, false), at(5))
	r.Put(endpoint("b", 5, false), at(5))
	r.MarkUnusable("a", at(4))
	if v, _ := r.View(); v.ByID["a"] == nil {
		t.Fatal("an older unusable entry changed the registry")
	}
	r.MarkUnusable("a", at(6))
	if v, _ := r.View(); v.ByID["a"] != nil || v.ByID["b"] == nil {
		t.Fatalf("got endpoints %v, want only b", v.ByID)
	}
	r.Put(endpoint("a", 7, false), at(7))
	if v, _ := r.View(); v.ByID["a"] == nil {
		t.Fatal("the endpoint is missing after its entry was written again")
	}
}

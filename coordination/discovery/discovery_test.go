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

// at returns a version of a store that names no generation.
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
	f := NewFollower(FollowOptions{Pause: 100 * time.Millisecond, Retry: 200 * time.Millisecond})
	if a, _ := f.Next(start); a != List {
		t.Fatalf("first action %v", a)
	}
	f.Listed(start, start, at(7))
	if a, _ := f.Next(start); a != Watch || f.Since() != at(7) {
		t.Fatalf("action %v since %v after a list", a, f.Since())
	}
	f.Watched(start, start, 0, at(9), true)
	if a, until := f.Next(start); a != Wait || until != start.Add(100*time.Millisecond) {
		t.Fatalf("action %v until %v after changes", a, until)
	}
	f.HistoryLost(start)
	if a, _ := f.Next(start); a != List {
		t.Fatalf("action %v after lost history", a)
	}
	f.Listed(start, start, at(12))
	f.Failed(start)
	if a, _ := f.Next(start); a != Wait {
		t.Fatalf("action %v right after a failure", a)
	}
	if a, _ := f.Next(start.Add(time.Second)); a != List {
		t.Fatalf("action %v after a failure: a watch may have missed changes", a)
	}
}

func TestRemovedEndpointIsGoneAtOnce(t *testing.T) {
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
		t.Fatal("an entry that lapsed in an outage was taken for gone")
	}
	if v, _ := r.View(); v.ByID["b"] != nil {
		t.Fatal("an endpoint that was leaving before the outage came out of it")
	}
	r.Expire(start.Add(grace))
	if usable(r, "a") {
		t.Fatal("an entry that did not come back still takes requests")
	}
}

func TestLapsedEntryComesBack(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	r.List(start, nil, at(5), start.Add(grace))
	r.Put(endpoint("a", 6, false), at(6))
	r.Expire(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Fatal("an entry that came back was dropped")
	}
}

// Guards against a leaving endpoint that takes requests again: its entry may come only after its
// own word, lapse in an outage and be back, or be read anew, and says that it is ready each time.
func TestOwnWordOfLeavingOutlastsTheEntry(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.MarkLeaving(fleet.Incarnation{ID: "a", StartUnixMs: 1000})
	r.Put(bornAt("a", 1000, 3, false), at(3))
	if usable(r, "a") {
		t.Fatal("an entry that came after the word takes requests")
	}
	r.List(start, nil, at(5), start.Add(grace))
	r.Put(bornAt("a", 1000, 6, false), at(6))
	if usable(r, "a") {
		t.Fatal("an entry that lapsed and is back takes requests")
	}
	r.Remove(start, "a", at(7), time.Time{})
	r.List(start, []*fleet.Endpoint{bornAt("a", 1000, 8, false), endpoint("b", 8, false)}, at(8), time.Time{})
	if usable(r, "a") || !usable(r, "b") {
		t.Fatal("a list that was read anew took the word back, or it holds for others")
	}
	r.Put(bornAt("a", 2000, 9, false), at(9))
	if !usable(r, "a") {
		t.Fatal("the next life is not free of the word")
	}
}

// An endpoint that leaves just after the store's return gets no longer grace
// than one that went missing in the outage.
func TestGraceEndsAtAFixedTime(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	until := start.Add(grace)
	r.Remove(start.Add(700*time.Millisecond), "a", at(6), until)
	r.Expire(until)
	if usable(r, "a") {
		t.Fatal("its grace was counted from its removal")
	}
}

// graceOf returns the end of a grace, or none.
func graceOf(t *rapid.T, now time.Time) time.Time {
	if rapid.Bool().Draw(t, "outage") {
		return now.Add(grace)
	}
	return time.Time{}
}

// Random histories, with stale lists and changes that come again: what is
// believed never goes back.
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
					t.Fatalf("%s went back from version %v to %v", id, newest[id], e.Version)
				}
				newest[id] = e.Version
				if left[id] && !e.Leaving {
					t.Fatalf("%s takes requests again after it was seen leaving", id)
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

// An endpoint that starts again under its id is a new one: it takes requests though the
// life before was leaving, and nothing that is told of that life later changes it.
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
	check("the next life")
	r.Put(bornAt("e", 1000, 9, true), at(9))
	check("a write of the life before that was carried out late")
	r.Remove(now, "e", at(5), time.Time{})
	check("the removal of the life before")
	r.MarkLeaving(fleet.Incarnation{ID: "e", StartUnixMs: 1000})
	check("the word of the life before that it leaves")
	r.MarkLeaving(fleet.Incarnation{ID: "e", StartUnixMs: 2000})
	if v, _ := r.View(); !v.ByID["e"].Leaving {
		t.Fatal("its own word counts")
	}
}

// An entry that turns unusable names no endpoint, also where an outage of the store
// would keep one that is missing; an older one changes nothing.
func TestUnusableEntryIsNotUsed(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.Put(endpoint("a", 5, false), at(5))
	r.Put(endpoint("b", 5, false), at(5))
	r.MarkUnusable("a", at(4))
	if v, _ := r.View(); v.ByID["a"] == nil {
		t.Fatal("an older entry was taken")
	}
	r.MarkUnusable("a", at(6))
	if v, _ := r.View(); v.ByID["a"] != nil || v.ByID["b"] == nil {
		t.Fatalf("%v", v.ByID)
	}
	r.Put(endpoint("a", 7, false), at(7))
	if v, _ := r.View(); v.ByID["a"] == nil {
		t.Fatal("it was written again")
	}
}

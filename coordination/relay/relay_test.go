package relay

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func members(n, domains int) []membership.Member {
	list := make([]membership.Member, n)
	for i := range list {
		list[i] = membership.Member{ID: fmt.Sprintf("d%d", i), FailureDomain: fmt.Sprintf("z%d", i%domains), Status: membership.Alive}
	}
	return list
}

func TestFewDaemonsFollowTheStore(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 2, 6: 2, 23: 2, 24: 3, 79: 6, 370: 15} {
		list := members(n, 3)
		watching, polls := 0, map[string]int{}
		for _, m := range list {
			watches, order := Upstreams(m, list)
			if watches {
				watching++
				continue
			}
			if len(order) != want {
				t.Fatalf("%d daemons: %s can copy from %d watchers, want %d", n, m.ID, len(order), want)
			}
			polls[order[0].ID]++
		}
		if watching != want {
			t.Errorf("%d of %d daemons follow the store, want %d", watching, n, want)
		}
		for id, p := range polls {
			if p > 4*followersPerWatcher {
				t.Errorf("%d daemons: %d of them poll %s first, too many for one watcher", n, p, id)
			}
		}
	}
}

func TestOwnFailureDomainFirst(t *testing.T) {
	list := members(79, 3)
	watchers := map[string]bool{}
	for _, w := range Watchers(list) {
		watchers[w.FailureDomain] = true
	}
	for _, m := range list {
		watches, order := Upstreams(m, list)
		if !watches && watchers[m.FailureDomain] && order[0].FailureDomain != m.FailureDomain {
			t.Fatalf("%s in %s copies from %s first, want its own failure domain", m.ID, m.FailureDomain, order[0].FailureDomain)
		}
	}
}

func TestOlderAnswerDoesNotExtendFreshness(t *testing.T) {
	ago := func(now time.Time, endpoints, desired time.Duration) Freshness {
		return Freshness{Endpoints: now.Add(-endpoints), DesiredState: now.Add(-desired)}
	}
	s := NewSource(time.Second)
	if s.FreshUntil(Endpoints).After(start) || s.FreshUntil(DesiredState).After(start) {
		t.Fatal("the data is fresh before the first answer")
	}
	reported := ago(start, 400*time.Millisecond, 300*time.Millisecond)
	s.Receive(start, reported, reported)
	if got := s.FreshUntil(Endpoints); got != start.Add(600*time.Millisecond) {
		t.Fatalf("endpoints are fresh for %v, want 600 ms", got.Sub(start))
	}
	if got := s.FreshUntil(DesiredState); got != start.Add(700*time.Millisecond) {
		t.Fatalf("the desired state is fresh for %v, want 700 ms", got.Sub(start))
	}
	first := s.Pick(2)
	now := start.Add(100 * time.Millisecond)
	reported = ago(now, 5*time.Second, 5*time.Second)
	s.Receive(now, reported, reported)
	if got := s.FreshUntil(Endpoints); got != start.Add(600*time.Millisecond) {
		t.Fatalf("after an older answer, endpoints are fresh for %v, want 600 ms", got.Sub(start))
	}
	if s.Pick(2) == first {
		t.Fatal("an upstream that is behind is picked again")
	}
}

// Checks that a desired state of which an upstream only sent the version does not count
// as known, and that this is no reason to leave the upstream.
func TestDesiredStateKnownByVersionIsNotFresh(t *testing.T) {
	s := NewSource(time.Second)
	first := s.Pick(2)
	s.Receive(start, Freshness{Endpoints: start, DesiredState: start}, Freshness{Endpoints: start})
	if s.Pick(2) != first {
		t.Error("another upstream is picked")
	}
	if !s.FreshUntil(DesiredState).IsZero() || s.FreshUntil(Endpoints).IsZero() {
		t.Error("the known kinds are not those that were copied")
	}
}

// Checks that an upstream that is up to date with only one kind is left.
func TestUpstreamBehindWithOneKindIsLeft(t *testing.T) {
	for _, freshness := range []Freshness{
		{Endpoints: start, DesiredState: start.Add(-2 * time.Second)},
		{Endpoints: start.Add(-2 * time.Second), DesiredState: start},
		{Endpoints: start},
	} {
		s := NewSource(time.Second)
		first := s.Pick(2)
		s.Receive(start, freshness, freshness)
		if s.Pick(2) == first {
			t.Errorf("freshness %v: the upstream is picked again", freshness)
		}
	}
}

// follower applies deltas like a daemon.
type follower struct {
	registry *discovery.Registry
	cursor   uint64
	known    bool
}

func (f *follower) poll(now time.Time, l *ChangeLog, v *fleet.View) {
	d := l.Since(f.cursor, f.known, v)
	f.cursor, f.known = l.LastChange(), true
	if d.Whole {
		f.registry.List(now, d.Endpoints, v.Version, time.Time{})
		return
	}
	for _, e := range d.Endpoints {
		f.registry.Put(e, v.Version)
	}
	for _, id := range d.Removed {
		f.registry.Remove(now, id, v.Version, time.Time{})
	}
}

// Checks that a follower has the same endpoints as its watcher after a poll, under
// random changes of the watcher's view, while the follower loses its place in the
// changes and the watcher drops removals.
func TestFollowerHasWhatTheWatcherHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watcher, l := discovery.NewRegistry(time.Second), NewChangeLog()
		f := &follower{registry: discovery.NewRegistry(time.Second)}
		view, _ := watcher.View()
		revision, now := uint64(1), start
		left := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			revision++
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "id"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				left[id] = left[id] || rapid.Bool().Draw(t, "leaving") // an endpoint that left does not return under its id
				watcher.Put(&fleet.Endpoint{ID: id, Service: "s", Version: storeversion.Version{Revision: revision}, Leaving: left[id]}, storeversion.Version{Revision: revision})
			case 3:
				watcher.Remove(now, id, storeversion.Version{Revision: revision}, time.Time{})
			case 4:
				f.known = false
			case 5:
				l.droppedUpTo = l.change
				l.removals = nil
			case 6:
				f.poll(now, l, view)
			}
			if next, changed := watcher.View(); changed {
				l.Record(view, next)
				view = next
			}
		}
		f.poll(now, l, view)
		got, _ := f.registry.View()
		if len(got.ByID) != len(view.ByID) {
			t.Fatalf("the follower holds %d endpoints, the watcher %d", len(got.ByID), len(view.ByID))
		}
		for id, e := range view.ByID {
			if g := got.ByID[id]; g == nil || g.Version != e.Version || g.Leaving != e.Leaving {
				t.Fatalf("%s: the follower holds %+v, the watcher %+v", id, g, e)
			}
		}
	})
}

package discovery

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

func TestOnlyAnOutageKeepsMissingEntries(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		answerAge time.Duration // age of the store's last answer, to this daemon or one that it copies from; 0: none
		failures  int
		grace     bool
	}{
		"one failed call":                           {3 * heartbeat, 1, false},
		"failed calls, but others reach the store":  {heartbeat, 5, false},
		"an outage too short for an entry to lapse": {2*heartbeat - time.Millisecond, 4, false},
		"an outage just long enough":                {2 * heartbeat, 2, true},
		"a long outage":                             {time.Minute, 50, true},
		"no earlier answer of the store":            {0, 5, false},
	} {
		o := NewOutage(heartbeat)
		seen := time.Time{}
		if c.answerAge > 0 {
			seen = start.Add(-c.answerAge)
		}
		o.ObserveAnswer(start, seen, c.failures)
		if got := o.GraceUntil().After(start); got != c.grace {
			t.Errorf("%s: got grace %v, want the opposite", name, got)
		}
	}
}

// Checks that an entry kept in a grace is marked as missing, so that other daemons can
// decide by themselves whether to keep it, and that the mark is removed when the entry
// returns, even unchanged.
func TestKeptEntryIsMarked(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	if kept := r.List(start, nil, at(5), start.Add(grace)); len(kept) != 1 {
		t.Fatalf("kept %v, want one entry", kept)
	}
	if v, changed := r.View(); !changed || !v.ByID["a"].Missing {
		t.Fatal("the kept entry is not marked as missing")
	}
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(6), start.Add(grace))
	if v, changed := r.View(); !changed || v.ByID["a"].Missing {
		t.Fatal("the entry is still marked as missing after its return")
	}
	r.Expire(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Fatal("an entry that returned was dropped")
	}
}

// Guards against an entry that outlives its grace: an older description, as a relay may deliver it
// late, must not cancel the deadline of an entry that is missing from the store.
func TestOlderDescriptionDoesNotEndTheGrace(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 4, false)}, at(4), time.Time{})
	if kept := r.List(start, nil, at(5), start.Add(grace)); len(kept) != 1 {
		t.Fatalf("kept %v, want one entry", kept)
	}
	r.Put(endpoint("a", 3, false), at(3))
	r.Expire(start.Add(grace))
	if usable(r, "a") {
		t.Fatal("the entry is still used after its grace")
	}
}

// Checks that a late list counts as of its request, and that AsOf never goes back.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	const late = 700 * time.Millisecond
	f := NewFollower(FollowOptions{})
	f.Listed(start, start.Add(late), at(1))
	if got := f.AsOf(); got != start {
		t.Errorf("a late list counts as of %v after its request, want 0", got.Sub(start))
	}
	f.Listed(start.Add(-time.Second), start.Add(late), at(1))
	if got := f.AsOf(); got != start {
		t.Error("AsOf went back after the answer to an earlier request")
	}
}

package discovery

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

func TestOnlyAnOutageKeepsMissingEntries(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		unheard  time.Duration // since anybody that this daemon hears from heard the store; 0: never
		failures int
		grace    bool
	}{
		"one call lost":                        {3 * heartbeat, 1, false},
		"some calls lost, others hear":         {heartbeat, 5, false},
		"an outage too short for a lapse":      {2*heartbeat - time.Millisecond, 4, false},
		"an outage in which entries can lapse": {2 * heartbeat, 2, true},
		"a long outage":                        {time.Minute, 50, true},
		"nothing was known before":             {0, 5, false},
	} {
		o := NewOutage(heartbeat)
		seen := time.Time{}
		if c.unheard > 0 {
			seen = start.Add(-c.unheard)
		}
		o.ObserveAnswer(start, seen, c.failures)
		if got := o.GraceUntil().After(start); got != c.grace {
			t.Errorf("%s: grace %v", name, got)
		}
	}
}

// An entry that is kept is marked, so that other daemons can decide by themselves, and
// the mark goes when the entry is back, also unchanged.
func TestKeptEntryIsMarked(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(1), time.Time{})
	if kept := r.List(start, nil, at(5), start.Add(grace)); len(kept) != 1 {
		t.Fatalf("kept %v", kept)
	}
	if v, changed := r.View(); !changed || !v.ByID["a"].Missing {
		t.Fatal("the entry is not marked")
	}
	r.List(start, []*fleet.Endpoint{endpoint("a", 1, false)}, at(6), start.Add(grace))
	if v, changed := r.View(); !changed || v.ByID["a"].Missing {
		t.Fatal("the mark stays")
	}
	r.Expire(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Fatal("an entry that is back was dropped")
	}
}

// What is seen is as old as its question, unless the store says that nothing
// changed while it waited.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	const wait, late = 900 * time.Millisecond, 700 * time.Millisecond
	f := NewFollower(FollowOptions{})
	asked := start
	f.Listed(asked, asked.Add(late), at(1))
	if got := f.AsOf(); got != asked {
		t.Errorf("a list that was late is as of %v after its question", got.Sub(asked))
	}
	asked = start.Add(time.Second)
	f.Watched(asked, asked.Add(wait+late), wait, at(1), false)
	if got := f.AsOf(); got != asked.Add(wait) {
		t.Errorf("a watch without changes is as of %v after its question", got.Sub(asked))
	}
	asked = start.Add(10 * time.Second)
	f.Watched(asked, asked.Add(wait/2), wait, at(2), true)
	if got := f.AsOf(); got != asked {
		t.Errorf("a watch with changes is as of %v after its question", got.Sub(asked))
	}
	f.Watched(asked.Add(-time.Second), asked, wait, at(2), true)
	if got := f.AsOf(); got != asked {
		t.Error("what was seen went back")
	}
}

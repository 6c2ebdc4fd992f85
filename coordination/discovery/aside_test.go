package discovery

import (
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// What is older than what is known changes nothing, and is named for the log.
func TestOlderAnswersAreNamed(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 5, false), endpoint("b", 6, false)}, at(9), time.Time{})
	if a := r.TakeDiscarded(); !a.Empty() {
		t.Fatalf("%+v set aside of the first list", a)
	}
	r.List(start, nil, at(8), time.Time{})
	r.Put(endpoint("a", 4, true), at(9))
	r.Remove(start, "b", at(5), time.Time{})
	a := r.TakeDiscarded()
	if a.Lists != 1 || !slices.Equal(a.Endpoints, []string{"a", "b"}) {
		t.Fatalf("%+v set aside, want one list, a and b", a)
	}
	if a := r.TakeDiscarded(); !a.Empty() {
		t.Fatalf("%+v named twice", a)
	}
	if !usable(r, "a") || !usable(r, "b") {
		t.Fatal("what is older was taken")
	}
}

package discovery

import (
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Checks that answers older than the local view change nothing and are reported once, for the log.
func TestStaleAnswersAreReportedOnce(t *testing.T) {
	r := NewRegistry(testHeartbeat)
	r.List(start, []*fleet.Endpoint{endpoint("a", 5, false), endpoint("b", 6, false)}, at(9), time.Time{})
	if a := r.TakeDiscarded(); !a.Empty() {
		t.Fatalf("first list: discarded %+v, want nothing", a)
	}
	r.List(start, nil, at(8), time.Time{})
	r.Put(endpoint("a", 4, true), at(9))
	r.Remove(start, "b", at(5), time.Time{})
	a := r.TakeDiscarded()
	if a.Lists != 1 || !slices.Equal(a.Endpoints, []string{"a", "b"}) {
		t.Fatalf("discarded %+v, want one list and the endpoints a and b", a)
	}
	if a := r.TakeDiscarded(); !a.Empty() {
		t.Fatalf("discarded input reported twice: %+v", a)
	}
	if !usable(r, "a") || !usable(r, "b") {
		t.Fatal("a stale answer changed the registry")
	}
}

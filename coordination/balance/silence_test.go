package balance

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Guards against an endpoint that is avoided after the end of its pause, the longer the more requests have noticed the
// pause, and against one that gets all requests although it is still silent.
func TestSilentEndpointIsAvoidedUntilItIsHeard(t *testing.T) {
	now := time.Unix(1e9, 0)
	e := &fleet.Endpoint{ID: "a", Service: "llm"}
	id := e.Incarnation()
	b := newBalancer("z", 1)
	waiting := b.Started(now, e, Query{})
	b.Started(now, e, Query{})
	if q := b.QuietFor(now.Add(time.Second), id); q != time.Second {
		t.Errorf("quiet for %v, want 1 s", q)
	}
	now = now.Add(time.Second)
	for range 10 {
		if d := b.MarkSilent(now, id); d != avoidFirst {
			t.Fatalf("avoided for %v after requests that have noticed the same silence, want %v", d, avoidFirst)
		}
	}
	if !b.Avoided(now.Add(maxAvoid-1), id) || b.Avoided(now.Add(maxAvoid), id) {
		t.Errorf("avoided while requests wait there: want up to %v", maxAvoid)
	}
	b.Heard(now.Add(time.Second), id)
	if b.Avoided(now.Add(time.Second), id) || b.QuietFor(now.Add(time.Second), id) != 0 {
		t.Error("avoided after it has gone on")
	}
	now = now.Add(2 * time.Second)
	b.MarkSilent(now, id)
	b.Ended(now, &waiting, 0, false)
	second := waiting
	b.Ended(now, &second, 0, false)
	if !b.Avoided(now.Add(avoidFirst-1), id) || b.Avoided(now.Add(avoidFirst), id) {
		t.Errorf("avoided while no request waits there: want %v", avoidFirst)
	}
	if d := b.MarkSilent(now.Add(avoidFirst), id); d != 2*avoidFirst {
		t.Errorf("avoided for %v when it is still silent, want %v", d, 2*avoidFirst)
	}
	if q := b.QuietFor(now.Add(time.Minute), id); q != 0 {
		t.Errorf("quiet for %v without a request", q)
	}
}

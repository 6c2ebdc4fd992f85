package continuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Guards against stored streams that a daemon with their record would not continue: their endpoint was replaced by other software.
func TestStreamsOfReplacedEndpointsAreNotStored(t *testing.T) {
	now := time.Now()
	tab := New(time.Time{})
	at := func(start int64, software string) *fleet.View {
		return fleet.NewView(fleet.View{}.Version, []*fleet.Endpoint{{ID: "e", Service: "llm", Software: software, StartUnixMs: start}, {ID: "f", Service: "llm", Software: "v2", StartUnixMs: 1}})
	}
	v := at(1, "v1")
	tab.ObserveView(now, v)
	tab.Begin(now.Add(time.Second), KeyOf("s"), Origin{Service: "llm", Software: "v1", Incarnation: v.ByID["e"].Incarnation(), Unit: "m"}, time.Time{})
	later := now.Add(3 * time.Second)
	tab.ObserveView(later, at(2, "v2"))
	r := Request{Key: KeyOf("s"), Named: true, Service: "llm", Unit: "m"}
	if _, ok := tab.Decide(later, r); ok {
		t.Fatal("decided")
	}
	own := tab.OwnStored(later)
	if len(own) != 0 {
		t.Errorf("stored: %v", own)
	}
}

// Guards against objects that grow with streams which nobody can take up any more, so that they can be written only seldom.
func TestOnlyStreamsThatMayBeTakenUpAreStored(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := New(time.Time{})
	e1, e2 := &fleet.Endpoint{ID: "e", Service: "llm", Software: "v1"}, &fleet.Endpoint{ID: "f", Service: "llm", Software: "v2"}
	tab.ObserveView(now, fleet.NewView(storeversion.Version{}, []*fleet.Endpoint{e1, e2}))
	o := Origin{Service: "llm", Software: "v1", Incarnation: e1.Incarnation(), Unit: "m"}
	for i := range 10 {
		tab.Begin(now, KeyOf(fmt.Sprint("short", i)), o, now.Add(10*time.Second))
	}
	tab.Begin(now, KeyOf("long"), o, now.Add(50*time.Second))
	tab.Begin(now, KeyOf("not known"), o, time.Time{})
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 12}, {9 * time.Second, 12}, {10 * time.Second, 2}, {50 * time.Second, 1}, {tab.Retention(), 0}} {
		if n := tab.OwnStored(now.Add(c.after)).Len(); n != c.want {
			t.Errorf("after %v: %d streams, want %d", c.after, n, c.want)
		}
	}
}

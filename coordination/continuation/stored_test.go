package continuation

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
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
	tab.Begin(now.Add(time.Second), KeyOf("s"), Origin{Service: "llm", Software: "v1", Incarnation: v.ByID["e"].Incarnation(), Unit: "m"})
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

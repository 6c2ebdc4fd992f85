package settings

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/bundle"
)

func TestReload(t *testing.T) {
	started := Edge{Host: "h", Peers: EdgePeers{Seeds: []string{"a"}}, Retries: Retries{Ratio: 1, Extra: 2}, Loads: EdgeLoads{AtOnce: 2}}
	next := started
	next.Host, next.Peers.Seeds, next.Retries.Extra, next.Retries.Window = "g", []string{"b"}, 3, bundle.Duration(time.Second)
	next.Timing.Grace = bundle.Duration(time.Second)
	r := Reload(started, next)
	want := started
	want.Peers.Seeds, want.Retries.Extra, want.Timing.Grace = []string{"b"}, 3, bundle.Duration(time.Second)
	if !reflect.DeepEqual(r.InForce, want) {
		t.Errorf("in force %+v, want %+v", r.InForce, want)
	}
	if applied := []string{"peers.seeds", "timing.grace", "retries.extra"}; !slices.Equal(r.Applied, applied) {
		t.Errorf("applied %v, want %v", r.Applied, applied)
	}
	if later := []string{"host", "retries.window"}; !slices.Equal(r.AtNextStart, later) {
		t.Errorf("at the next start %v, want %v", r.AtNextStart, later)
	}
	if started.Peers.Seeds[0] != "a" || started.Retries.Extra != 2 {
		t.Errorf("the settings of the start have changed: %+v", started)
	}
	// What waits is named again at each reload, and what is in force is not.
	if again := Reload(r.InForce, next); len(again.Applied) > 0 || !slices.Equal(again.AtNextStart, r.AtNextStart) {
		t.Errorf("read once more: %+v", again)
	}
}

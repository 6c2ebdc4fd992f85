package edgedaemon

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

func endpointsStartedAt(startUnixMs int64, n int) (list []*fleet.Endpoint, running []residency.Running) {
	for i := range n {
		e := &fleet.Endpoint{ID: fmt.Sprintf("e%03d", i), StartUnixMs: startUnixMs}
		list = append(list, e)
		running = append(running, residency.Running{Endpoint: e.Incarnation(), Requests: i})
	}
	return list, running
}

// What runs at each endpoint is told by their order in a list that both sides know; a
// daemon that is some changes ahead or behind still reads it, and what is of a list that it
// never knew says nothing.
func TestRunningIsDecodedByKnownEndpointLists(t *testing.T) {
	present, running := endpointsStartedAt(1000, 200)
	var lists endpointLists
	if got := lists.unpackRunning(present, packRunning(running)); !reflect.DeepEqual(got, running) {
		t.Fatalf("%v", got)
	}
	restarted, other := endpointsStartedAt(2000, 200)
	if got := lists.unpackRunning(restarted, packRunning(running)); !reflect.DeepEqual(got, running) {
		t.Fatal("the list before is not known any more")
	}
	if got := lists.unpackRunning(restarted, packRunning(other)); !reflect.DeepEqual(got, other) {
		t.Fatal("the present list is not known")
	}
	_, unknown := endpointsStartedAt(3000, 200)
	if got := lists.unpackRunning(restarted, packRunning(unknown)); got != nil {
		t.Fatalf("a list that was never known was read: %v", got)
	}
	for _, bad := range []*fleetpb.DemandResponse{{}, {Running: make([]byte, 3)}, {Endpoints: packRunning(other).Endpoints, Running: make([]byte, 199)}} {
		if got := lists.unpackRunning(restarted, bad); got != nil {
			t.Fatalf("%v was read as %v", bad, got)
		}
	}
	if len(lists.lists) > maxLists {
		t.Fatalf("%d lists are kept", len(lists.lists))
	}
}

// A word on 600 endpoints takes less than a kilobyte, and counts beyond a byte are told as
// the most.
func TestPackedRunningIsSmall(t *testing.T) {
	list, running := endpointsStartedAt(1000, 600)
	resp := packRunning(running)
	if n := len(resp.Running); n > 1024 {
		t.Fatalf("%d bytes", n)
	}
	var lists endpointLists
	if got := lists.unpackRunning(list, resp); got[599].Requests != maxRunning || got[17].Requests != 17 {
		t.Fatalf("%v, %v", got[599], got[17])
	}
}

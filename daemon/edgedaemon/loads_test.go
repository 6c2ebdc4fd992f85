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

// The counts of a message refer to a list of endpoints that both sides hold. A daemon whose
// list has changed since still decodes the message; a message of an unknown list, or of a
// wrong length, is discarded.
func TestRunningIsDecodedByKnownEndpointLists(t *testing.T) {
	present, running := endpointsStartedAt(1000, 200)
	var lists endpointLists
	if got := lists.unpackRunning(present, packRunning(running)); !reflect.DeepEqual(got, running) {
		t.Fatalf("decoded %v", got)
	}
	restarted, other := endpointsStartedAt(2000, 200)
	if got := lists.unpackRunning(restarted, packRunning(running)); !reflect.DeepEqual(got, running) {
		t.Fatal("a message of the previous list was not decoded")
	}
	if got := lists.unpackRunning(restarted, packRunning(other)); !reflect.DeepEqual(got, other) {
		t.Fatal("a message of the present list was not decoded")
	}
	_, unknown := endpointsStartedAt(3000, 200)
	if got := lists.unpackRunning(restarted, packRunning(unknown)); got != nil {
		t.Fatalf("a message of an unknown list was decoded: %v", got)
	}
	for _, bad := range []*fleetpb.DemandResponse{{}, {Running: make([]byte, 3)}, {Endpoints: packRunning(other).Endpoints, Running: make([]byte, 199)}} {
		if got := lists.unpackRunning(restarted, bad); got != nil {
			t.Fatalf("malformed message %v was decoded as %v", bad, got)
		}
	}
	if len(lists.lists) > maxLists {
		t.Fatalf("%d lists are kept, more than the maximum", len(lists.lists))
	}
}

// A message for 600 endpoints takes at most a kilobyte, and counts above 255 are sent as 255.
func TestPackedRunningIsSmall(t *testing.T) {
	list, running := endpointsStartedAt(1000, 600)
	resp := packRunning(running)
	if n := len(resp.Running); n > 1024 {
		t.Fatalf("message takes %d bytes, want at most 1024", n)
	}
	var lists endpointLists
	if got := lists.unpackRunning(list, resp); got[599].Requests != maxRunning || got[17].Requests != 17 {
		t.Fatalf("decoded %v and %v", got[599], got[17])
	}
}

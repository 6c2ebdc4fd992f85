package edgedaemon

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

func endpointsStartedAt(startUnixMs int64, n int) (list []*fleet.Endpoint, loads []residency.EngineLoad) {
	for i := range n {
		e := &fleet.Endpoint{ID: fmt.Sprintf("e%03d", i), StartUnixMs: startUnixMs}
		list = append(list, e)
		l := residency.EngineLoad{
			Endpoint: e.Incarnation(), Requests: i, Speed: speedFromCode(byte(64 + i%32)),
			EngineWork: residency.EngineWork{PendingPrompt: i * pendingUnit, Held: i * heldUnit},
		}
		if l.Held < heldFloor {
			l.Held = 0
		}
		loads = append(loads, l)
	}
	return list, loads
}

// The loads of a message refer to a list of endpoints that both sides hold. A daemon whose
// list has changed since still decodes the message; a message of an unknown list, or of a
// wrong length, is discarded.
func TestLoadsAreDecodedByKnownEndpointLists(t *testing.T) {
	present, loads := endpointsStartedAt(1000, 200)
	var lists endpointLists
	if got := lists.unpackLoads(present, packLoads(loads)); !reflect.DeepEqual(got, loads) {
		t.Fatal("a message of the only list was not decoded as it was sent")
	}
	restarted, other := endpointsStartedAt(2000, 200)
	if got := lists.unpackLoads(restarted, packLoads(loads)); !reflect.DeepEqual(got, loads) {
		t.Fatal("a message of the previous list was not decoded")
	}
	if got := lists.unpackLoads(restarted, packLoads(other)); !reflect.DeepEqual(got, other) {
		t.Fatal("a message of the present list was not decoded")
	}
	_, unknown := endpointsStartedAt(3000, 200)
	if got := lists.unpackLoads(restarted, packLoads(unknown)); got != nil {
		t.Fatalf("a message of an unknown list was decoded with %d entries", len(got))
	}
	for _, bad := range []*fleetpb.DemandResponse{{}, {Running: make([]byte, 3)}, {Endpoints: packLoads(other).Endpoints, Running: make([]byte, 199)}} {
		if got := lists.unpackLoads(restarted, bad); got != nil {
			t.Fatalf("a malformed message was decoded with %d entries", len(got))
		}
	}
	if len(lists.lists) > maxLists {
		t.Fatalf("%d lists are kept, more than the maximum", len(lists.lists))
	}
}

// Guards against the size of messages where engines are alike and have room: only running requests
// and pending prompts are sent.
func TestUsualSpeedsAndHeldTokensAreNotSent(t *testing.T) {
	e := fleet.Incarnation{ID: "e", StartUnixMs: 1}
	for _, l := range []residency.EngineLoad{
		{Endpoint: e, Requests: 3, Speed: 1.2, EngineWork: residency.EngineWork{PendingPrompt: 9000, Held: heldFloor - 1}},
		{Endpoint: e, Requests: 3, Speed: 0.85, EngineWork: residency.EngineWork{PendingPrompt: 9000}},
	} {
		if m := packLoads([]residency.EngineLoad{l}); len(m.Pending) != 1 || m.Speed != nil || m.Held != nil {
			t.Errorf("%+v: %v", l, m)
		}
	}
	l := residency.EngineLoad{Endpoint: e, Speed: 0.55, EngineWork: residency.EngineWork{Held: heldFloor}}
	if m := packLoads([]residency.EngineLoad{l}); len(m.Speed) != 1 || len(m.Held) != 1 {
		t.Errorf("%+v: %v", l, m)
	}
}

// An old coordinator sends numbers of requests only, and a faulty one may send lists of another
// length. Guards against such a message being discarded, or decoded as work or as a speed.
func TestLoadsOfOldAndFaultyCoordinators(t *testing.T) {
	present, loads := endpointsStartedAt(1000, 200)
	want := make([]residency.EngineLoad, len(loads))
	for i, l := range loads {
		want[i] = residency.EngineLoad{Endpoint: l.Endpoint, Requests: l.Requests}
	}
	for _, extra := range [][]byte{nil, {1}, bytes.Repeat([]byte{9}, 201)} {
		resp := packLoads(loads)
		resp.Pending, resp.Speed, resp.Held = extra, extra, extra
		var lists endpointLists
		if got := lists.unpackLoads(present, resp); !reflect.DeepEqual(got, want) {
			t.Errorf("with lists of %d bytes: numbers of requests only are wanted, the last engine has %+v", len(extra), got[len(got)-1])
		}
	}
}

// A message for 600 endpoints takes at most four bytes for each and 100 bytes besides, and values
// beyond the range of a byte are sent as the largest one.
func TestPackedLoadsAreSmall(t *testing.T) {
	list, loads := endpointsStartedAt(1000, 600)
	loads[3].Speed, loads[4].Speed, loads[5].Speed, loads[6].Speed = math.NaN(), math.Inf(1), -1, 1e9
	resp := packLoads(loads)
	if n := proto.Size(resp); n > 4*600+100 {
		t.Fatalf("message takes %d bytes, want at most 2500", n)
	}
	var lists endpointLists
	got := lists.unpackLoads(list, resp)
	if l := got[599]; l.Requests != maxCode || l.PendingPrompt != maxCode*pendingUnit || l.Held != maxCode*heldUnit {
		t.Errorf("decoded %+v, want the largest counts", l)
	}
	if l := got[17]; l.Requests != 17 {
		t.Errorf("decoded %+v, want 17 requests", l)
	}
	for i, want := range map[int]float64{3: 0, 4: 0, 5: 0, 6: 8} {
		if s := got[i].Speed; math.Abs(s-want) > 0.1 {
			t.Errorf("speed %v was decoded as %v, want %v", loads[i].Speed, s, want)
		}
	}
}

// Guards against a speed that is sent with a larger error than one step of 2.2%, and against
// counts that differ by more than half a unit.
func TestPrecisionOfLoads(t *testing.T) {
	for s := 0.125; s <= 8; s *= 1.01 {
		if got := speedFromCode(speedToCode(s)); math.Abs(math.Log2(got/s)) > 0.51/speedStepsPerDoubling {
			t.Errorf("speed %v was decoded as %v", s, got)
		}
	}
	for tokens := range 20_000 {
		if got := int(countToCode(tokens, pendingUnit)) * pendingUnit; max(got-tokens, tokens-got) > pendingUnit/2 {
			t.Fatalf("%d tokens were decoded as %d", tokens, got)
		}
	}
}

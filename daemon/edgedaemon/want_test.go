package edgedaemon

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Guards against a field that a daemon sets and that the coordinator does not receive.
func TestWantKeepsAllFieldsOnTheWire(t *testing.T) {
	want := residency.Want{
		Model: "m", Adapter: "a", Rank: 2, Daemon: "d", Avoid: fleet.Incarnation{ID: "e1", StartUnixMs: 1}, Unreachable: true,
		MissingAt: fleet.Incarnation{ID: "e2", StartUnixMs: 2}, Full: []fleet.Incarnation{{ID: "e3", StartUnixMs: 3}},
		Slack: -250 * time.Millisecond, TimeLeft: 17 * time.Second, Work: workcost.Work{Prompt: 9190, Output: 50}, Returning: true,
		PromptTime: 250 * time.Millisecond, Parts: []protocol.PromptPart{{ID: "p1", Tokens: 2520}, {ID: "p2", Tokens: 3780}}, FailureDomain: "z",
		Only: residency.SoftwareFilter{Bound: true, Software: "v1"},
	}
	for f := range reflect.TypeFor[residency.Want]().NumField() {
		if reflect.ValueOf(want).Field(f).IsZero() {
			t.Fatalf("the test sets no value for %s", reflect.TypeFor[residency.Want]().Field(f).Name)
		}
	}
	b, err := proto.Marshal(wantToWire("s", want))
	if err != nil {
		t.Fatal(err)
	}
	var req fleetpb.WantRequest
	if err := proto.Unmarshal(b, &req); err != nil {
		t.Fatal(err)
	}
	if got := wantFromWire(&req); !reflect.DeepEqual(got, want) {
		t.Fatalf("received %+v, want %+v", got, want)
	}
}

// Guards against counts and durations of a faulty peer that overflow when they are added up, and
// against values for fields that an old daemon does not send.
func TestWantFromFaultyAndOldPeers(t *testing.T) {
	if w := wantFromWire(&fleetpb.WantRequest{Model: "m"}); w.TimeLeft != 0 || w.Slack != 0 || w.Work != (workcost.Work{}) || w.Returning || w.PromptTime != 0 || len(w.Parts) != 0 {
		t.Fatalf("request of an old daemon: %+v, want unknown work and time", w)
	}
	for _, n := range []int64{math.MinInt64, math.MaxInt64} {
		w := wantFromWire(&fleetpb.WantRequest{SlackMs: n, LeftMs: n, PromptTokens: n, OutputTokens: n, PromptUs: n})
		if w.PromptTime < 0 || w.TimeLeft < 0 || w.TimeLeft > 24*time.Hour || w.Slack.Abs() > 24*time.Hour || w.Work != workcost.WorkOf(int(n), int(n), true) {
			t.Fatalf("%d: %+v, want bounded values", n, w)
		}
	}
}

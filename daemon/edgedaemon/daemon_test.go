package edgedaemon

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// A new version of the desired state is no news about the daemon: told to all,
// it would cost each daemon bytes that grow with the number of daemons.
func TestNewVersionsAreNotGossiped(t *testing.T) {
	log := decisions.New(io.Discard, "test", hclog.Off)
	defer log.Close()
	d, err := New(settings.Edge{
		Host: "h1", FailureDomain: "z1",
		Listen: settings.EdgeListen{Callers: "127.0.0.1:0", Directory: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Store:  settings.EdgeStore{Address: "127.0.0.1:1", Timeout: bundle.Duration(time.Second)},
		Limits: settings.EdgeLimits{MemoryMB: 128, Descriptors: 1024},
		Timing: settings.EdgeTiming{LeaveWithin: bundle.Duration(2 * time.Second), ApplyWithin: bundle.Duration(2 * time.Second), Pass: bundle.Duration(100 * time.Millisecond)},
	}, log)
	if err != nil {
		t.Fatal(err)
	}
	before := d.gossip.Self().Incarnation
	d.announceState(5)
	serving := d.gossip.Self()
	if serving.Generation == 0 || serving.Incarnation == before {
		t.Fatal("the others were not told that this daemon serves")
	}
	d.announceState(9)
	if d.gossip.Self().Incarnation != serving.Incarnation {
		t.Fatal("the others were told of a new version")
	}
}

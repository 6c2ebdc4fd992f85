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

// Only the first desired state changes a daemon's gossiped record. If each new
// version did, the bytes that each daemon sends would grow with the number of
// daemons.
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
		t.Fatal("the first desired state was not published")
	}
	d.announceState(9)
	if d.gossip.Self().Incarnation != serving.Incarnation {
		t.Fatal("a later version of the desired state was published")
	}
}

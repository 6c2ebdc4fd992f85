package quotas

import (
	"io"
	"strconv"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
)

// Only the first maxTagged workspaces with refused requests have a counter of their own, however many
// workspaces follow and however often they are refused.
func TestCountersOfWorkspacesAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	k := New(Options{Self: "a", Members: func() []membership.Member { return nil }, Log: decisions.New(io.Discard, "test", hclog.Off), Metrics: scope})
	const workspaces, rounds = 3 * maxTagged, 2
	for range rounds {
		for i := range workspaces {
			d := declaration("workspace-"+strconv.Itoa(i), 1, 1)
			_ = k.workspaces.refuse(&d.Workspace, Request{Cost: 1})
		}
	}
	own, sum := 0, int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() != "quota.workspace_refused_total" {
			continue
		}
		own++
		sum += c.Value()
	}
	if own != maxTagged+1 || sum != workspaces*rounds {
		t.Errorf("%d refusals in %d counters, want %d in %d and one for the others", sum, own, workspaces*rounds, maxTagged)
	}
}

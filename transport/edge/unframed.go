package edge

import (
	"context"
	"net/http"

	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// checkUnframedEnd returns the failure of an answer that ended with its connection and is not known to be
// whole; nil for other answers.
func (a *answer) checkUnframedEnd(ctx context.Context, resp *http.Response, reason string) *failure {
	if !bodies.Unframed(resp) {
		return nil
	}
	err := bodies.EndError(a.server.opt.Quarantine.EndOf(ctx, quarantiner.UnframedAnswer{
		Request: a.q.call.ID, Incarnation: a.endpoint, Address: a.address,
		Empty: a.q.route.Kind == routing.Streaming && resp.StatusCode == http.StatusOK && !a.q.resumes() && a.firstEventAt.IsZero(),
	}))
	if err == nil {
		return nil
	}
	return &failure{verdict: protocol.MayHaveRun, reason: reason, err: err, connBroken: true}
}

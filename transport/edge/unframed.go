package edge

import (
	"context"
	"net/http"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// checkUnframedEnd returns the failure of an answer that ended with its connection because its
// endpoint has crashed; nil for other answers. An endpoint that is leaving is expected to close its
// connections.
func (a *answer) checkUnframedEnd(ctx context.Context, resp *http.Response, reason string) *failure {
	if !bodies.Unframed(resp) {
		return nil
	}
	if a.q.route.Repeatable() && reason == reasonStreamCut && a.firstEventAt.IsZero() {
		return &failure{verdict: protocol.MayHaveRun, reason: reason, err: bodies.ErrUnframedCut, connBroken: true}
	}
	if e := a.server.opt.View().Find(a.endpoint); e != nil && e.Leaving {
		return nil
	}
	if !a.server.opt.Quarantine.Crashed(ctx, a.address) {
		return nil
	}
	return &failure{verdict: protocol.MayHaveRun, reason: reason, err: bodies.ErrUnframedCut, connBroken: true}
}

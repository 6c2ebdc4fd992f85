package edge

import (
	"context"
	"errors"
	"net/http"

	"github.com/doorvalve/doorvalve/protocol"
)

// unframed reports whether an answer has neither a length nor chunks, so that the end of its
// connection is the end of its body, whether it is complete or not.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

var errUnframedCut = errors.New("the connection ended with the endpoint, in an answer without a length")

// checkUnframedEnd returns the failure of an answer that ended with its connection because its
// endpoint has crashed; nil for other answers. An endpoint that is leaving is expected to close its
// connections.
func (a *answer) checkUnframedEnd(ctx context.Context, resp *http.Response, reason string) *failure {
	if !unframed(resp) {
		return nil
	}
	if a.q.route.Repeatable() && reason == reasonStreamCut && a.firstEventAt.IsZero() {
		return &failure{verdict: protocol.MayHaveRun, reason: reason, err: errUnframedCut, connBroken: true}
	}
	if e := a.server.opt.View().Find(a.endpoint); e != nil && e.Leaving {
		return nil
	}
	if !a.server.opt.Quarantine.Crashed(ctx, a.address) {
		return nil
	}
	return &failure{verdict: protocol.MayHaveRun, reason: reason, err: errUnframedCut, connBroken: true}
}

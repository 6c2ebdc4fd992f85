package callers

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

// callKey is the key of the call in a request's echo context.
const callKey = "call"

// logOutcome logs the final answer to a request. For requests that were refused before they were
// read, the line holds the id, but not the fields of the call.
func (s *Server) logOutcome(c echo.Context, start time.Time, refusal *protocol.Refusal, outcome inbound.Outcome) {
	fields := []any{"request", c.Response().Header().Get(protocol.HeaderRequestID), "path", c.Path(), "outcome", outcome.String(), "ms", time.Since(start).Milliseconds()}
	if cl, ok := c.Get(callKey).(*call); ok {
		fields = append(fields, "model", cl.unit, "class", cl.class, "attempts", cl.attempts, "endpoint", cl.endpoint,
			"queued_ms", cl.queued.Milliseconds(), "time_left_ms", time.Until(cl.deadline).Milliseconds(), "generation", cl.generation, "keyed", cl.key != nil)
		if refusal != nil && refusal.Reason == quarantiner.ReasonHeldBack {
			fields = append(fields, "fingerprint", cl.print.String())
		}
	}
	if refusal == nil {
		s.opt.Log.InfoSampled(decisions.EventAnswered, append(fields, "status", c.Response().Status)...)
		return
	}
	event := decisions.EventRefused
	if refusal.Verdict != protocol.NotRun {
		event = decisions.EventFailed
	}
	s.opt.Log.Info(event, append(fields, "status", refusal.Status, "reason", refusal.Reason, "detail", refusal.Detail,
		"verdict", refusal.Verdict.String(), "retry_after_ms", refusal.RetryAfter.Milliseconds(), "connection", inbound.EndOf(c.Request()))...)
}

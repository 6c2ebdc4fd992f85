package edge

import (
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// noteUnknownHeaders counts the headers of an answer that are unknown to this daemon, and logs each
// name once, so that operators see when endpoints begin to send a new header. Values are not
// logged, since it is unknown what they hold.
func (s *Server) noteUnknownHeaders(q *request, e *fleet.Endpoint, names []string) {
	for _, name := range names {
		s.metrics.unknownHeaders.Inc(1)
		if s.unknownHeaders.First(name) {
			s.opt.Log.Info(decisions.EventUnknownHeader, "name", name, "endpoint", e.ID, "request", q.call.ID)
		}
	}
}

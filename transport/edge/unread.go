package edge

import (
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// noteUnread counts and logs the headers of an answer that nobody reads: a word that endpoints have
// begun to use shows in the log, once for each name, before anybody understands it. Values are not
// logged: what they hold is not known.
func (s *Server) noteUnread(q *request, e *fleet.Endpoint, names []string) {
	for _, name := range names {
		s.metrics.unread.Inc(1)
		if s.unread.First(name) {
			s.opt.Log.Info(decisions.EventUnknownHeader, "name", name, "endpoint", e.ID, "request", q.call.ID)
		}
	}
}

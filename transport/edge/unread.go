package edge

import (
	"sync"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// unreadNames bounds the names that are remembered: beyond it they are only counted.
const unreadNames = 64

// unread notices what endpoints say in headers that no daemon reads: a word that endpoints
// have begun to use shows in the log, once for each name, before anybody understands it.
type unread struct {
	mu    sync.Mutex
	names map[string]bool
}

// first reports whether a name is seen for the first time.
func (u *unread) first(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.names[name] || len(u.names) >= unreadNames {
		return false
	}
	if u.names == nil {
		u.names = map[string]bool{}
	}
	u.names[name] = true
	return true
}

// noteUnread counts and logs the headers of an answer that nobody reads. Values are not
// logged: what they hold is not known.
func (s *Server) noteUnread(q *request, e *fleet.Endpoint, names []string) {
	for _, name := range names {
		s.metrics.unread.Inc(1)
		if s.unread.first(name) {
			s.opt.Log.Info(decisions.EventUnreadHeader, "name", name, "endpoint", e.ID, "request", q.call.ID)
		}
	}
}

package edge

import (
	"errors"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// readBody reads the whole body of a request before the request's deadline.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request, limits routing.Limits) *protocol.Refusal {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(q.deadline) // not all writers support deadlines
	body, err := bodies.Read(r, limits.BodyBytes)
	_ = rc.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		return protocol.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", err.Error(), 0)
	case err != nil:
		w.Header().Set("Connection", "close")
		return protocol.Refuse(http.StatusRequestTimeout, "body-incomplete", "the body did not arrive: "+err.Error(), 0)
	}
	q.body = body
	return nil
}

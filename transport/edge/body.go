package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/coordination/buffering"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/transport/bodies"
)

// readBody reads the whole body of a request before the request's deadline.
func (s *Server) readBody(c *caller, r *http.Request, q *request, limits routing.Limits) *protocol.Refusal {
	d := buffering.Decision{Admitted: true}
	switch {
	case r.ContentLength > 0 && r.ContentLength <= limits.BodyBytes:
		d = c.holdBody(r.ContentLength, r.ContentLength)
	case r.ContentLength < 0:
		read := int64(0)
		r.Body = &meteredBody{meteredReader{r.Body, func(n int64) bool {
			read += n
			d = c.holdBody(n, read)
			return d.Admitted
		}}, r.Body}
	}
	if !d.Admitted {
		return refuseMemoryFull(c, d)
	}
	if r.ContentLength != 0 {
		// Without a body, net/http already waits for the end of the caller's bytes. A deadline that has passed would break
		// that wait, and the caller would be taken for gone.
		_ = c.conn.SetReadDeadline(q.deadline) // not all writers support deadlines
		defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
		defer context.AfterFunc(s.stopping, func() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) })()
	}
	body, err := bodies.Read(r, limits.BodyBytes)
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		return protocol.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", err.Error(), 0)
	case errors.Is(err, errMemoryFull):
		return refuseMemoryFull(c, d)
	case err != nil && s.stopping.Err() != nil:
		return protocol.Refuse(http.StatusServiceUnavailable, reasonStopping, errStopping.Error(), retryDraining)
	case err != nil:
		return protocol.Refuse(http.StatusRequestTimeout, "body-incomplete", "the body did not arrive: "+err.Error(), 0)
	}
	q.body = body
	return nil
}

// meteredBody is a request body of unknown length whose bytes count as they arrive.
type meteredBody struct {
	meteredReader
	io.Closer
}

// refuseMemoryFull refuses a request whose body does not fit into the memory for bodies and answers.
func refuseMemoryFull(c *caller, d buffering.Decision) *protocol.Refusal {
	c.end() // the part that was read is not needed any more
	return protocol.Refuse(http.StatusServiceUnavailable, reasonMemoryFull, errMemoryFull.Error(), d.RetryAfter)
}

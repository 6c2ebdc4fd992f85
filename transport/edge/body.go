package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/routing"
)

// drainBytes and drainTime bound what is read of a body that is too large, so
// that the caller can read the refusal before the connection closes.
const (
	drainBytes = 8 << 20
	drainTime  = time.Second
)

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime)) // best effort
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)                              // what it held does not matter
}

// readBody reads a request's whole body within its deadline.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request, limits routing.Limits) *protocol.Refusal {
	if r.ContentLength > limits.BodyBytes {
		return protocol.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than the limit", 0)
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(q.deadline) // not all writers have deadlines
	body, err := readAll(r.Body, r.ContentLength, limits.BodyBytes)
	_ = rc.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errTooLarge):
		return protocol.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than the limit", 0)
	case err != nil:
		w.Header().Set("Connection", "close")
		return protocol.Refuse(http.StatusRequestTimeout, "body-incomplete", "the body did not arrive: "+err.Error(), 0)
	}
	q.body = body
	return nil
}

var errTooLarge = errors.New("too large")

// readAll reads at most limit bytes; size is the declared length or -1.
func readAll(r io.Reader, size, limit int64) ([]byte, error) {
	if size > 0 {
		body := make([]byte, size)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

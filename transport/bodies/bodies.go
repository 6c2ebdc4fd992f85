// Package bodies reads the bodies of callers' requests within bounds.
package bodies

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrTooLarge says that a body is larger than its limit.
var ErrTooLarge = errors.New("the body is larger than the limit")

// drainBytes and drainTime bound what is read and thrown away of a body that is
// too large. A caller that sends its whole request before it reads could not
// read the refusal otherwise: a connection that is closed with unread bytes is
// reset.
const (
	drainBytes = 64 << 20
	drainTime  = 2 * time.Second
)

// Read reads a whole body of at most limit bytes. A declared length that is
// too large is refused without reading. Its errors are ErrTooLarge and those of
// the body's reader.
func Read(r *http.Request, limit int64) ([]byte, error) {
	switch {
	case r.ContentLength > limit:
		return nil, ErrTooLarge
	case r.Body == nil || r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > 0:
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, err
}

// Drain throws away the rest of a body that is too large, within bounds, and
// has the connection closed after the answer.
func Drain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime)) // not all writers have deadlines
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)                              // what it held does not matter
}

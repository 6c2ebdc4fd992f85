// Package bodies reads the bodies of callers' requests up to a size limit, and tells which answers end
// with their connections.
package bodies

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrTooLarge reports that a body is larger than the limit.
var ErrTooLarge = errors.New("the body is larger than the limit")

// drainBytes and drainTime bound how much of a body that is too large is read and discarded. Without
// that, a caller that sends its whole request before it reads the answer could not read the
// refusal: a connection that is closed with unread bytes is reset.
const (
	drainBytes = 64 << 20
	drainTime  = 2 * time.Second
)

// Read reads a whole body of at most limit bytes. If the declared length is larger, it returns
// ErrTooLarge without reading. Its errors are ErrTooLarge and those of the body's reader.
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

// Drain reads and discards the rest of a body that is too large, within bounds, and has the
// connection closed after the answer.
func Drain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime)) // not all writers support deadlines
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)                              // errors don't matter, as the body is discarded
}

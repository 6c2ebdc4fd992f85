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

// DrainForNext reads and discards the rest of the body of a request that is refused, until a deadline, so that the
// connection can be kept. If the body does not end in time, the connection is closed after the answer. A body that the
// caller sends only once it is asked to is left alone.
func DrainForNext(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.Body == nil || r.Header.Get("Expect") != "" {
		return // net/http closes the connection after the answer to a request with Expect
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(deadline) // not all writers support deadlines
	if _, err := io.CopyN(io.Discard, r.Body, drainBytes); !errors.Is(err, io.EOF) {
		w.Header().Set("Connection", "close") // the deadline stays, as net/http reads on before it closes
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
}

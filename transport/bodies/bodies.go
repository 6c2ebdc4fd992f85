// Package bodies reads the bodies of callers' requests up to a size limit, and tells which answers end
// with their connections.
package bodies

import (
	"errors"
	"io"
	"net/http"
)

// ErrTooLarge reports that a body is larger than the limit.
var ErrTooLarge = errors.New("the body is larger than the limit")

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

package bodies

import (
	"errors"
	"net/http"

	"github.com/doorvalve/doorvalve/coordination/ending"
)

var (
	// ErrUnframedCut reports that an endpoint has crashed with the end of an unframed answer.
	ErrUnframedCut = errors.New("the connection ended with the endpoint, in an answer without a length")
	// ErrEndNotKnown reports that an unframed answer has ended, whole or not.
	ErrEndNotKnown = errors.New("it is not known whether an answer without a length is whole")
)

// Unframed reports whether an answer has neither a length nor chunks, so that the end of its connection
// is the end of its body, whether it is complete or not.
func Unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// EndError returns the error of an unframed answer with the given end; nil if it is whole.
func EndError(end ending.End) error {
	switch end {
	case ending.Whole:
		return nil
	case ending.Broken:
		return ErrUnframedCut
	}
	return ErrEndNotKnown
}

// AnnouncesMore reports whether the head of an answer announces a body of more than limit bytes. An answer to HEAD has none,
// whatever its head says.
func AnnouncesMore(resp *http.Response, limit int64) bool {
	return resp.ContentLength > limit && (resp.Request == nil || resp.Request.Method != http.MethodHead)
}

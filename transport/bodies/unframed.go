package bodies

import (
	"errors"
	"net/http"
)

// ErrUnframedCut reports that an endpoint has crashed with the end of an unframed answer.
var ErrUnframedCut = errors.New("the connection ended with the endpoint, in an answer without a length")

// Unframed reports whether an answer has neither a length nor chunks, so that the end of its connection
// is the end of its body, whether it is complete or not.
func Unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

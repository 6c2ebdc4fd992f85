package bounded

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead is the error of an answer whose head net/http accepts although it breaks RFC 9110 or RFC 9112. What
// such a head announces, and what follows it, can't be relied on.
var ErrInvalidHead = errors.New("the head of the answer is invalid")

const (
	minFinalStatus = 200
	maxStatus      = 599 // RFC 9110, section 15: there are five classes
)

// CheckHead returns an error that is ErrInvalidHead if the head of a final answer is invalid. Sizes, framing and field
// values are checked by net/http, which reads the head.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrInvalidHead, resp.Proto)
	case !validStatus(resp):
		return fmt.Errorf("%w: status %d", ErrInvalidHead, resp.StatusCode)
	case !httpguts.ValidHeaderFieldValue(resp.Status): // the reason has the syntax of a field value
		return fmt.Errorf("%w: reason %.64q", ErrInvalidHead, resp.Status)
	}
	return checkFieldNames(resp.Header)
}

// validStatus reports whether the status of a final answer is in one of the classes. A switch of protocols is valid if
// the request asked for it.
func validStatus(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return resp.Request != nil && resp.Request.Header.Get("Upgrade") != ""
	}
	return resp.StatusCode >= minFinalStatus && resp.StatusCode <= maxStatus
}

// checkFieldNames returns an error that is ErrInvalidHead unless all names are tokens. net/http accepts blanks in names,
// and then doesn't know the fields that frame the body.
func checkFieldNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.64q", ErrInvalidHead, name)
		}
	}
	return nil
}

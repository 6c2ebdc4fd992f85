package main

import (
	"errors"
	"net/http"
	"testing"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/standin/rawanswer"
)

// Guards against a change that passes for accepted although its answer breaks HTTP: status 000 is below 300, too.
func TestAnswersWithInvalidHeadsAreNoSuccess(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols"} {
		s := rawanswer.Serve("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}")
		c := &cli{}
		c.Address = []string{s.Address()}
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			answer, err := c.call(method, "/v1/state", nil)
			if !errors.Is(err, bounded.ErrInvalidHead) || errors.Is(err, errNoAnswer) != (method == http.MethodPut) {
				t.Errorf("%s, status %s: answer %q, error %v", method, status, answer, err)
			}
		}
		s.Close()
	}
}

// Package silence deals with connections that have died without a sign: they
// stay open, and nothing that is sent on them is answered. Only a timeout shows
// one, and others of the same age have often died with it.
package silence

import (
	"context"
	"errors"
	"net/http"
)

// Transport closes its idle connections when a request has had no answer in
// time, so that the next one does not wait on another dead connection.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return resp, err
}

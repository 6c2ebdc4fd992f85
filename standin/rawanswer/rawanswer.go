// Package rawanswer is a stand-in of a server that answers each request with given bytes, which may break HTTP.
package rawanswer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// Server is a running stand-in.
type Server struct{ *httptest.Server }

// Serve answers each request with raw after it has read it, and closes the connection.
func Serve(raw string) Server {
	return Server{httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a client may end its request at any point
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, raw) // so may its connection
		_ = conn.Close()
	}))}
}

// Address returns the server's host and port.
func (s Server) Address() string { return strings.TrimPrefix(s.URL, "http://") }

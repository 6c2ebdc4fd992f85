package bounded

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// Guards against answers whose heads break HTTP and that net/http accepts.
func TestInvalidHeads(t *testing.T) {
	for _, c := range []struct {
		head    string
		upgrade bool // the request asks for another protocol
		valid   bool
	}{
		{"HTTP/1.1 200 OK\r\n", false, true}, {"HTTP/1.0 204\r\n", false, true}, {"HTTP/1.1 599 Own\r\n", false, true},
		{"HTTP/1.1 000 OK\r\n", false, false}, {"HTTP/1.1 099 OK\r\n", false, false}, {"HTTP/1.1 +20 OK\r\n", false, false}, {"HTTP/1.1 600 OK\r\n", false, false},
		{"HTTP/1.1 101 Other\r\n", false, false}, {"HTTP/1.1 101 Other\r\n", true, true}, {"HTTP/1.1 100 Continue\r\n", true, false},
		{"HTTP/2.0 200 OK\r\n", false, false}, {"HTTP/0.9 200 OK\r\n", false, false}, {"HTTP/1.1 200 O\x01K\r\n", false, false}, {"HTTP/1.1 200 \xc3\xa9\r\n", false, true},
		{"HTTP/1.1 200 OK\r\nX-Line: 1\r\n", false, true}, {"HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~: 1\r\n", false, true},
		{"HTTP/1.1 200 OK\r\nX Line: 1\r\n", false, false}, {"HTTP/1.1 200 OK\r\nX-Line : 1\r\n", false, false}, {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", false, false},
	} {
		req := &http.Request{Method: http.MethodGet, Header: http.Header{}}
		if c.upgrade {
			req.Header.Set("Upgrade", "other")
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\n")), req)
		if err != nil {
			t.Fatalf("%q: net/http refuses it: %v", c.head, err)
		}
		_ = resp.Body.Close()
		if err := CheckHead(resp); (err == nil) != c.valid || err != nil && !errors.Is(err, ErrInvalidHead) {
			t.Errorf("%q: error %v, want valid: %v", c.head, err, c.valid)
		}
	}
}

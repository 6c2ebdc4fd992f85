package e2e_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// A caller that writes its whole request before it reads must get the refusal of
// a body that is far too large. A daemon that closed the connection while the
// body arrives would break it before the caller reads the answer.
func TestBadInputTooLargeBodyIsAnswered(t *testing.T) {
	w := newTestbed(t, defaults())
	conn, err := net.Dial("tcp", w.daemons[0].callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const size = 50 << 20
	head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n", size)
	if _, err := io.Copy(conn, io.MultiReader(bytes.NewReader([]byte(head)), io.LimitReader(zeros{}, size))); err != nil {
		t.Fatalf("the connection broke while the body was sent: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// A request with two values for the model must be refused and reach no engine.
func TestBadInputModelNamedTwice(t *testing.T) {
	w := newTestbed(t, defaults())
	r := w.daemons[0].call("POST", "/v1/completions", `{"model":"m0","prompt":"p","max_tokens":2,"model":"m1"}`)
	if r.status != http.StatusBadRequest {
		t.Fatalf("status %d %s", r.status, r.body)
	}
	if n := len(w.runs()); n != 0 {
		t.Fatalf("%d requests ran", n)
	}
}

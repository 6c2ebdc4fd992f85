package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendPart sends bytes on a connection of its own, which remains open, and reads one answer.
func (p *proc) sendPart(t *testing.T, content string) reply {
	t.Helper()
	return p.sendRaw(t, content, false)
}

// sendRaw sends bytes on a connection of its own, closes the sending side if closeSending is set, and reads one answer.
func (p *proc) sendRaw(t *testing.T, content string, closeSending bool) reply {
	t.Helper()
	conn, err := net.Dial("tcp", p.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(eventTimeout))
	if _, err := io.WriteString(conn, content); err != nil {
		return reply{err: err}
	}
	if closeSending {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return reply{err: err}
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(text), header: resp.Header, err: err}
}

// Guards against refusals that callers don't get while they send a body that nobody needs, or lose as their connection is reset.
func TestRefusalsArriveWhileTheBodyComes(t *testing.T) {
	o := defaults()
	o.daemons = 1
	p := newTestbed(t, o).daemons[0]
	const huge = 8 << 20
	for name, c := range map[string]struct {
		path, header string
		size         int
		sent         string
		status       int
		reason       string
	}{
		"no service, body stops":               {"/services/none/x", "", 1000, "part", 404, "unknown-service"},
		"no path, body stops":                  {"/none", "", 1000, "part", 404, "no-such-path"},
		"unknown token, body stops":            {"/v1/completions", "Authorization: Bearer none\r\n", 1000, "part", 401, ""},
		"too large, body stops":                {"/v1/completions", "", 200000, "part", 413, "body-too-large"},
		"too large, awaits 100":                {"/v1/completions", "Expect: 100-continue\r\n", 200000, "", 413, "body-too-large"},
		"no service, all sent before reading":  {"/services/none/x", "", huge, strings.Repeat("b", huge), 404, "unknown-service"},
		"no path, all sent before reading":     {"/none", "", huge, strings.Repeat("b", huge), 404, "no-such-path"},
		"too large, all sent before reading":   {"/v1/completions", "", huge, strings.Repeat("b", huge), 413, "body-too-large"},
		"bad timeout, all sent before reading": {"/v1/completions", "Doorvalve-Timeout-Ms: x\r\n", huge, strings.Repeat("b", huge), 400, "bad-timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := p.sendPart(t, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: d\r\n%sContent-Length: %d\r\n\r\n%s", c.path, c.header, c.size, c.sent))
			if r.status != c.status || r.err != nil || !strings.Contains(r.body, c.reason) {
				t.Errorf("got %d %q (%v), want %d with %q", r.status, r.body, r.err, c.status, c.reason)
			}
		})
	}
}

// Guards against callers that wait for good because a part of their body is lost: they get a refusal when the time of the
// request is over.
func TestBodyThatDoesNotArriveIsRefusedInTime(t *testing.T) {
	o := defaults()
	o.daemons = 1
	p := newTestbed(t, o).daemons[0]
	for _, body := range []string{"Content-Length: 1000\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart"} {
		if r := p.sendPart(t, "POST /v1/completions HTTP/1.1\r\nHost: d\r\nDoorvalve-Timeout-Ms: 1000\r\n"+body); r.status != http.StatusBadRequest || r.err != nil || !strings.Contains(r.body, "body-cut") {
			t.Errorf("%q: got %d %q (%v), want 400 with body-cut", body, r.status, r.body, r.err)
		}
	}
}

// Guards against a request that is dropped because its head was on its way when a stopping daemon closed its connections.
func TestHeadThatArrivesWhileADaemonStopsIsAnswered(t *testing.T) {
	o := defaults()
	o.daemons = 1
	p := newTestbed(t, o).daemons[0]
	const request = "GET /services/app/read HTTP/1.1\r\nHost: d\r\n\r\n"
	conn, err := net.Dial("tcp", p.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(eventTimeout))
	p.stop()
	time.Sleep(2 * time.Second) // the daemon takes requests for some 3 s more, and a head may take 5 s
	if _, err := io.WriteString(conn, request[:20]); err != nil {
		t.Fatal(err)
	}
	p.w.eventually("the daemon accepts no more connections", func() bool {
		probe, err := net.Dial("tcp", p.callers)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(conn, request[20:]); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v (%v), want a refusal", resp, err)
	}
}

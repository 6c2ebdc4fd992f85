package e2e_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// callHalfClosed sends a request on a connection of its own, closes the sending side and reads the answer.
func (p *proc) callHalfClosed(path, body, header string) reply {
	p.w.t.Helper()
	return p.sendRaw(p.w.t, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: d\r\n%sContent-Length: %d\r\n\r\n%s", path, header, len(body), body), true)
}

// Guards against calls that are dropped because their callers have closed their sending sides: each gets an answer or a
// refusal.
func TestCallersThatCloseTheirSendingSideAreAnswered(t *testing.T) {
	o := defaults()
	o.work = time.Second // longer than the grace of coordination/hangup
	w := newTestbed(t, o)
	p := w.daemons[0]
	w.eventually("the model serves", func() bool { _, r := p.complete("m0", "p", 2); return r.ok() })
	for name, c := range map[string]struct {
		path, body, header string
		status             int
		part               string // of the answer's body
	}{
		"completion":          {"/v1/completions", `{"model":"m0","prompt":"p","max_tokens":2}`, "", 200, "choices"},
		"stream":              {"/v1/completions", `{"model":"m0","prompt":"p","max_tokens":20,"stream":true}`, "", 200, "[DONE]"},
		"long service call":   {"/services/app/read", "", "", 502, "sending-side-closed"},
		"keyed call":          {"/services/app/orders", "", "Idempotency-Key: k1\r\n", 200, ""},
		"call without a key":  {"/services/app/orders", "", "", 400, "key-needed"},
		"unknown model":       {"/v1/completions", `{"model":"none","prompt":"p"}`, "", 404, "unknown-model"},
		"no body where a one": {"/v1/completions", "", "", 400, "bad-request"},
	} {
		t.Run(name, func(t *testing.T) {
			if r := p.callHalfClosed(c.path, c.body, c.header); r.status != c.status || r.err != nil || !strings.Contains(r.body, c.part) {
				t.Errorf("got %d %q (%v), want %d with %q", r.status, r.body, r.err, c.status, c.part)
			}
		})
	}
}

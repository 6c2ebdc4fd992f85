package e2e_test

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// rewrite replaces a part of a daemon's settings file.
func (p *proc) rewrite(old, new string) {
	p.w.t.Helper()
	text, err := os.ReadFile(p.settings)
	if err == nil && !strings.Contains(string(text), old) {
		p.w.t.Fatalf("%s has no %q", p.settings, old)
	}
	if err == nil {
		err = os.WriteFile(p.settings, []byte(strings.Replace(string(text), old, new, 1)), 0o600)
	}
	if err != nil {
		p.w.t.Fatal(err)
	}
}

// Guards against SIGHUP that ends a daemon at once, with all that it has in progress, and against operators' tokens that
// are taken after they were removed.
func TestReload(t *testing.T) {
	o := defaults()
	o.daemons = 1
	w := newTestbed(t, o)
	p := w.daemons[0]
	status := func(token string) int {
		code, _ := p.callOperators(token, http.MethodGet, "/v1/status", nil, nil) // refusals are errors
		return code
	}
	if anna := status("anna"); anna != http.StatusOK {
		t.Fatalf("status before: %d", anna)
	}
	reload := func() {
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatalf("the daemon has ended: %v", err)
		}
	}
	p.rewrite(`"host"`, `"hots": 1, "host"`)
	reload()
	w.eventually("settings with errors are rejected", func() bool { return strings.Contains(p.log.String(), "settings not reloaded") })
	p.rewrite(`"hots": 1, `, `"retries": {"extra": 7}, `)
	p.rewrite(`"body_bytes": 100000`, `"body_bytes": 200000`)
	p.rewrite(bundle.Digest([]byte("anna")), bundle.Digest([]byte("anna's next token")))
	reload()
	w.eventually("the reload is logged", func() bool {
		log := p.log.String()
		return strings.Contains(log, `"applied":["operators.tokens","retries.extra"]`) && strings.Contains(log, `"at_next_start":["limits.body_bytes"]`)
	})
	w.eventually("a removed token is refused", func() bool { return status("anna") == http.StatusUnauthorized })
	if next, bo := status("anna's next token"), status("bo"); next != http.StatusOK || bo != http.StatusOK {
		t.Errorf("a new token gets %d, one that stays %d", next, bo)
	}
	p.stop()
	<-p.exited
	if p.err != nil {
		t.Errorf("the daemon ended with %v", p.err)
	}
}

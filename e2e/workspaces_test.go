package e2e_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Workspaces with keys and a quota at the daemons' own interface for callers: both keys of a
// workspace must be accepted and an unknown key refused; a workspace that sends many times its quota
// to three daemons must get about its quota; other workspaces must not be affected.
func TestWorkspacesOnTheOwnInterface(t *testing.T) {
	o := defaults()
	o.change = func(b *bundle.Bundle) {
		b.Workspaces = []bundle.Workspace{
			{Name: "maps", Class: "crew", KeysSHA256: []string{bundle.Digest([]byte("old-key")), bundle.Digest([]byte("new-key"))}},
			{Name: "bulk", Class: "batch", KeysSHA256: []string{bundle.Digest([]byte("bulk-key"))}, Quota: &bundle.Quota{RequestsPerSecond: 1, Burst: 20}},
		}
	}
	w := newTestbed(t, o)
	get := func(daemon int, key string) reply {
		return w.daemons[daemon].call("GET", "/services/app/positions", "", "Authorization", "Bearer "+key)
	}
	for _, key := range []string{"old-key", "new-key", "night"} {
		if r := get(0, key); !r.ok() {
			t.Errorf("%s: %d %s", key, r.status, r.body)
		}
	}
	if r := get(1, "another"); r.status != http.StatusUnauthorized {
		t.Errorf("an unknown key: %d", r.status)
	}
	passed, refused := 0, 0
	for i := range 120 {
		r := get(i%3, "bulk-key")
		switch r.status {
		case http.StatusOK:
			passed++
		case http.StatusTooManyRequests:
			refused++
			if after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || after <= 0 {
				t.Fatalf("refused without a valid Retry-After: %q", r.header.Get("Retry-After"))
			}
		default:
			t.Fatalf("request %d: %d %s", i, r.status, r.body)
		}
		if i%10 == 0 {
			if r := get(i%3, "new-key"); !r.ok() {
				t.Fatalf("a request of the other workspace: %d %s", r.status, r.body)
			}
		}
	}
	if passed < 20 || refused == 0 {
		t.Errorf("%d passed and %d refused of 120 with a burst of 20", passed, refused)
	}
}

package access

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/workspace"
)

var directory = workspace.NewDirectory([]workspace.Declaration{
	{Workspace: workspace.Workspace{Name: "crew"}, Keys: []protocol.KeyHash{protocol.HashKey("k1"), protocol.HashKey("shared")}},
	{Workspace: workspace.Workspace{Name: "night"}, Keys: []protocol.KeyHash{protocol.HashKey("k2"), protocol.HashKey("shared")}},
})

func shown(key string) protocol.Credential {
	return protocol.Credential{Kind: protocol.CredentialKey, Key: protocol.HashKey(key)}
}

func TestDecide(t *testing.T) {
	const apply, revoke = 3 * time.Second, 5 * time.Second
	none, unreadable := protocol.Credential{}, protocol.Credential{Kind: protocol.CredentialMalformed}
	for _, c := range []struct {
		name   string
		d      *workspace.Directory
		public bool
		shown  protocol.Credential
		age    time.Duration
		want   Outcome
		who    string
		reason string
	}{
		{"no key is required", nil, false, none, time.Hour, Allowed, "", ""},
		{"a key", directory, false, shown("k1"), time.Second, Allowed, "crew", ""},
		{"a key in two workspaces belongs to the first", directory, false, shown("shared"), time.Second, Allowed, "crew", ""},
		{"no key", directory, false, none, time.Second, Denied, "", ReasonNoKey},
		{"an unreadable key", directory, false, unreadable, time.Second, Denied, "", ReasonBadKey},
		{"an unknown key", directory, false, shown("k3"), time.Second, Denied, "", ReasonUnknownKey},
		{"an unknown key that may be newer than the directory", directory, false, shown("k3"), apply + time.Millisecond, Unproven, "", ReasonUnproven},
		{"no key, on a route that may have become public", directory, false, none, apply + time.Millisecond, Unproven, "", ReasonUnproven},
		{"an unreadable key, by an old directory", directory, false, unreadable, apply + time.Millisecond, Denied, "", ReasonBadKey},
		{"a known key, by an old directory", directory, false, shown("k2"), 4800 * time.Millisecond, Allowed, "night", ""},
		{"a known key that may have been removed", directory, false, shown("k2"), revoke, Unproven, "", ReasonUnproven},
		{"no key on a public route", directory, true, none, time.Second, Allowed, "", ""},
		{"a key on a public route", directory, true, shown("k2"), time.Second, Allowed, "night", ""},
		{"a key on a public route, by an old directory", directory, true, shown("k2"), revoke, Allowed, "", ""},
	} {
		got := Bounds{Apply: apply, Revoke: revoke}.Decide(Request{Directory: c.d, Public: c.public, Credential: c.shown, Age: c.age})
		who := ""
		if got.Workspace != nil {
			who = got.Workspace.Name
		}
		if got.Outcome != c.want || who != c.who || got.Reason != c.reason {
			t.Errorf("%s: %+v for %q", c.name, got, who)
		}
	}
	if got := (Bounds{Apply: apply}).Decide(Request{Directory: directory, Credential: shown("k1"), Age: time.Hour}); got.Outcome != Allowed {
		t.Errorf("a directory of any age, without a bound on removed keys: %+v", got)
	}
}

func TestStillValid(t *testing.T) {
	crew := directory.ByName("crew")
	moved := workspace.NewDirectory([]workspace.Declaration{
		{Workspace: workspace.Workspace{Name: "crew"}},
		{Workspace: workspace.Workspace{Name: "night"}, Keys: []protocol.KeyHash{protocol.HashKey("k1")}},
	})
	for _, c := range []struct {
		name   string
		newest *workspace.Directory
		public bool
		want   bool
	}{
		{"nothing has changed", directory, false, true},
		{"the key belongs to another workspace now", moved, false, false},
		{"the route is public", moved, true, true},
		{"no key is required any more", nil, false, true},
	} {
		if got := StillValid(c.newest, shown("k1"), c.public, crew); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

package protocol

import (
	"strings"
	"testing"
)

func TestReadCredential(t *testing.T) {
	for _, c := range []struct {
		name    string
		headers []string
		kind    CredentialKind
		key     string
	}{
		{"nothing", nil, CredentialNone, ""},
		{"a key", []string{"Bearer k"}, CredentialKey, "k"},
		{"odd case and spaces", []string{" bEaReR \t k "}, CredentialKey, "k"},
		{"a key with a space in it", []string{"Bearer k k"}, CredentialKey, "k k"},
		{"no key", []string{"Bearer"}, CredentialMalformed, ""},
		{"an empty key", []string{"Bearer  "}, CredentialMalformed, ""},
		{"an empty header", []string{""}, CredentialMalformed, ""},
		{"another scheme", []string{"Basic k"}, CredentialMalformed, ""},
		{"no scheme", []string{"k"}, CredentialMalformed, ""},
		{"two headers", []string{"Bearer k", "Bearer k"}, CredentialMalformed, ""},
	} {
		got := ReadCredential(c.headers)
		if got.Kind != c.kind || got.Kind == CredentialKey && got.Key != HashKey(c.key) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Any header yields either no key or exactly the hash of the key that it carries, so that no caller
// is taken for another one.
func FuzzReadCredential(f *testing.F) {
	f.Add("Bearer k")
	f.Add("bearer \x00")
	f.Add("Basic a b")
	f.Fuzz(func(t *testing.T, header string) {
		got := ReadCredential([]string{header})
		if got.Kind != CredentialKey {
			if got.Key != (KeyHash{}) {
				t.Fatalf("%+v", got)
			}
			return
		}
		scheme, key, _ := strings.Cut(strings.TrimSpace(header), " ")
		if !strings.EqualFold(scheme, "bearer") || got.Key != HashKey(strings.TrimSpace(key)) {
			t.Fatalf("%q: %+v", header, got)
		}
		parsed, err := ParseKeyHash(got.Key.String())
		if err != nil || parsed != got.Key {
			t.Fatalf("%v, %v", parsed, err)
		}
	})
}

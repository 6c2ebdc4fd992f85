// Package snapshot holds the configuration in force as an immutable value that
// requests read with one atomic load.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// Snapshot is one generation of the configuration. It is immutable.
type Snapshot struct {
	Generation uint64
	Digest     string
	Content    []byte
	Bundle     *bundle.Bundle
	Units      map[string]bundle.Unit // models and adapters by name

	// Workspaces finds the workspaces of callers by key, in addition to
	// Bundle.Callers.
	Workspaces *workspace.Directory

	callers map[string]*bundle.Caller // by hash of the token
	classes map[string]string         // of workspaces, by name
}

// New indexes a bundle.
func New(generation uint64, digest string, content []byte, b *bundle.Bundle) *Snapshot {
	s := &Snapshot{
		Generation: generation, Digest: digest, Content: content, Bundle: b,
		Units: map[string]bundle.Unit{}, callers: map[string]*bundle.Caller{}, classes: map[string]string{},
	}
	for _, u := range b.Units() {
		s.Units[u.Name] = u
	}
	for i := range b.Callers {
		s.callers[b.Callers[i].TokenSHA256] = &b.Callers[i]
	}
	declared := make([]workspace.Declaration, len(b.Workspaces))
	for i := range b.Workspaces {
		declared[i] = declare(&b.Workspaces[i])
		s.classes[b.Workspaces[i].Name] = b.Workspaces[i].Class
	}
	s.Workspaces = workspace.NewDirectory(declared)
	return s
}

func declare(w *bundle.Workspace) workspace.Declaration {
	d := workspace.Declaration{Workspace: workspace.Workspace{Name: w.Name}}
	if w.Quota != nil {
		d.Quota = workspace.Quota{Unit: workspace.Requests, Rate: w.Quota.RequestsPerSecond, Burst: w.Quota.Burst}
	}
	for _, text := range w.KeysSHA256 {
		key, err := protocol.ParseKeyHash(text[:min(len(text), 2*len(protocol.KeyHash{}))])
		if err == nil { // never fails: a bundle in force has been checked
			d.Keys = append(d.Keys, key)
		}
	}
	return d
}

// Identity identifies a caller and the worth of its requests.
type Identity struct {
	Caller    string
	Class     *bundle.Class
	Workspace *workspace.Workspace // charged for the caller's requests; nil: none
}

// IdentityOf returns the identity of callers that authenticate with a key of a workspace.
func (s *Snapshot) IdentityOf(w *workspace.Workspace) Identity {
	return Identity{Caller: w.Name, Class: s.Bundle.Class(s.classes[w.Name]), Workspace: w}
}

// anonymous is the name of callers without a token.
const anonymous = "anonymous"

// Identify finds the caller by an Authorization header; it returns false for an
// unknown token, and for no token if there is no default class. The class comes
// from the bundle alone. Tokens are looked up by their hash, so that the time
// taken reveals nothing about a token's characters.
func (s *Snapshot) Identify(authorization string) (Identity, bool) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		class := s.Bundle.Class(s.Bundle.DefaultClass)
		return Identity{Caller: anonymous, Class: class}, class != nil
	}
	sum := sha256.Sum256([]byte(token))
	c := s.callers[hex.EncodeToString(sum[:])]
	if c == nil {
		return Identity{}, false
	}
	return Identity{Caller: c.Name, Class: s.Bundle.Class(c.Class)}, true
}

// NonRepeatable reports whether a call of a plain service must run at most once.
func NonRepeatable(s *bundle.Service, method, path string) bool {
	for _, r := range s.NonRepeatable {
		if r.Method == method && (path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/")) {
			return true
		}
	}
	return false
}

// Package snapshot holds the immutable view of the configuration in force that
// requests read with one atomic load.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Snapshot is one generation in force. It never changes.
type Snapshot struct {
	Generation uint64
	Digest     string
	Content    []byte
	Bundle     *bundle.Bundle
	Units      map[string]bundle.Unit // models and adapters by name

	callers map[string]*bundle.Caller // by hash of the token
}

// New indexes a bundle.
func New(generation uint64, digest string, content []byte, b *bundle.Bundle) *Snapshot {
	s := &Snapshot{
		Generation: generation, Digest: digest, Content: content, Bundle: b,
		Units: map[string]bundle.Unit{}, callers: map[string]*bundle.Caller{},
	}
	for _, u := range b.Units() {
		s.Units[u.Name] = u
	}
	for i := range b.Callers {
		s.callers[b.Callers[i].TokenSHA256] = &b.Callers[i]
	}
	return s
}

// Identity is who a caller is and what its requests are worth.
type Identity struct {
	Caller string
	Class  *bundle.Class
}

// anonymous is the caller's name without a token.
const anonymous = "anonymous"

// Identify finds the caller by an Authorization header. The class comes from
// the bundle alone. Tokens are looked up by their hash, so that the time taken
// says nothing about a token's characters.
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

// NonRepeatable reports whether a call of a plain service may run at most once.
func NonRepeatable(s *bundle.Service, method, path string) bool {
	for _, r := range s.NonRepeatable {
		if r.Method == method && (path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/")) {
			return true
		}
	}
	return false
}

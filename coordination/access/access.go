// Package access decides whether a request may be sent with the key that it presents. The
// package does no I/O and has no state.
package access

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// Bounds limit how long a change of keys takes until it applies. Both are times after the
// store has confirmed the change.
type Bounds struct {
	// Apply is the time after which every daemon must accept a key that was added.
	Apply time.Duration
	// Revoke is the time after which no daemon may accept a key that was removed, not even
	// a daemon that receives no updates; zero: there is no such bound.
	Revoke time.Duration
}

// revokeMargin is the part of Revoke that is kept in reserve: daemons exchange ages in whole
// milliseconds, and the clocks of hosts run apart by less than a hundredth.
const revokeMargin = 0.02

// maxAge returns the age up to which a directory proves that a key in it is still valid. A
// request that arrives now was sent earlier: if the directory was current less than Revoke
// ago, none of its keys had been removed for as long as Revoke when the request was sent.
func (b Bounds) maxAge() time.Duration {
	return time.Duration((1 - revokeMargin) * float64(b.Revoke))
}

// Request is the input of a decision.
type Request struct {
	Directory  *workspace.Directory
	Public     bool // the route accepts requests without a key
	Credential protocol.Credential
	// Age is the staleness bound of Directory, which was certainly current until that long
	// ago. It must be determined before Directory is read.
	Age time.Duration
}

// Outcome says whether a request may be sent.
type Outcome int

// The outcomes.
const (
	Allowed Outcome = iota
	// Denied: the request presents no key of a workspace.
	Denied
	// Unproven: this daemon cannot determine now whether the key is valid.
	Unproven
)

// Decision is the result of Decide.
type Decision struct {
	Outcome   Outcome
	Workspace *workspace.Workspace // that the request is counted for; nil: none
	Reason    string               // of a refusal: short, stable
}

// Reasons of refusals.
const (
	ReasonNoKey      = "key-missing"
	ReasonBadKey     = "key-unreadable"
	ReasonUnknownKey = "key-unknown"
	ReasonUnproven   = "key-unproven"
)

// Decide decides whether a request may be sent.
func (b Bounds) Decide(r Request) Decision {
	if !r.Directory.RequiresKey() {
		return Decision{}
	}
	fresh := b.Revoke == 0 || r.Age < b.maxAge()
	var found *workspace.Workspace
	if r.Credential.Kind == protocol.CredentialKey {
		found = r.Directory.ByKey(r.Credential.Key)
	}
	switch {
	case r.Public && !fresh:
		return Decision{} // allowed, but counted for no workspace
	case r.Public:
		return Decision{Workspace: found}
	case !fresh:
		return Decision{Outcome: Unproven, Reason: ReasonUnproven}
	case found != nil:
		return Decision{Workspace: found}
	case r.Age > b.Apply && r.Credential.Kind != protocol.CredentialMalformed:
		// The key may have been added, or the route made public, since then.
		return Decision{Outcome: Unproven, Reason: ReasonUnproven}
	}
	return Decision{Outcome: Denied, Reason: reasonOf(r.Credential.Kind)}
}

func reasonOf(kind protocol.CredentialKind) string {
	switch kind {
	case protocol.CredentialNone:
		return ReasonNoKey
	case protocol.CredentialMalformed:
		return ReasonBadKey
	}
	return ReasonUnknownKey
}

// StillValid reports whether the key of a request that was allowed on arrival still belongs to
// the same workspace, by the newest directory. Requests that have waited are checked again
// before they are sent.
func StillValid(newest *workspace.Directory, credential protocol.Credential, public bool, allowedFor *workspace.Workspace) bool {
	if allowedFor == nil || public || !newest.RequiresKey() {
		return true
	}
	current := newest.ByKey(credential.Key)
	return current != nil && current.Name == allowedFor.Name
}

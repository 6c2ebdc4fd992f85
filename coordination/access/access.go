// Package access decides whether a request may be sent on the key that it shows. The
// package does no I/O and keeps nothing.
package access

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// Bounds are what was agreed on changes of keys. Both are times after the store has
// confirmed a change.
type Bounds struct {
	// Apply is when a key that was added must be taken everywhere.
	Apply time.Duration
	// Revoke is when a key that was taken away must not be taken anywhere any more, also
	// by a daemon that hears from nobody; zero: there is no such bound.
	Revoke time.Duration
}

// proofMargin is kept from the bound on keys that were taken away: ages are told in whole
// milliseconds from daemon to daemon, and clocks of hosts run apart by less than a
// hundredth.
const proofMargin = 0.02

// proven returns the age up to which a desired state shows that a key is still good. A
// request that arrives now was sent earlier: if what is believed now is as of less than
// Revoke ago, no key that it still knows had been taken away so long before the sending.
func (b Bounds) proven() time.Duration {
	return time.Duration((1 - proofMargin) * float64(b.Revoke))
}

// Question is what a decision rests on.
type Request struct {
	Directory  *workspace.Directory
	Public     bool // the route takes requests without a key
	Credential protocol.Credential
	// Age is up to how long ago it is certain that the directory was in force. It must have
	// been asked for before the directory.
	Age time.Duration
}

// Outcome is what becomes of a request.
type Outcome int

// The outcomes.
const (
	Allowed Outcome = iota
	// Denied: no workspace has the key.
	Denied
	// Unproven: this daemon cannot show now whether the key is good.
	Unproven
)

// Answer is the decision.
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

// Decide decides on one request.
func (b Bounds) Decide(q Request) Decision {
	if !q.Directory.RequiresKey() {
		return Decision{}
	}
	fresh := b.Revoke == 0 || q.Age < b.proven()
	var found *workspace.Workspace
	if q.Credential.Kind == protocol.CredentialKey {
		found = q.Directory.ByKey(q.Credential.Key)
	}
	switch {
	case q.Public && !fresh:
		return Decision{} // goes on, for nobody
	case q.Public:
		return Decision{Workspace: found}
	case !fresh:
		return Decision{Outcome: Unproven, Reason: ReasonUnproven}
	case found != nil:
		return Decision{Workspace: found}
	case q.Age > b.Apply && q.Credential.Kind != protocol.CredentialMalformed:
		// The key, or the route's being public, may be newer than this view.
		return Decision{Outcome: Unproven, Reason: ReasonUnproven}
	}
	return Decision{Outcome: Denied, Reason: reasonOf(q.Credential.Kind)}
}

func reasonOf(shown protocol.CredentialKind) string {
	switch shown {
	case protocol.CredentialNone:
		return ReasonNoKey
	case protocol.CredentialMalformed:
		return ReasonBadKey
	}
	return ReasonUnknownKey
}

// StillGood reports whether a key that was good as a request came still is, by the newest
// directory: what has waited asks again before it is sent.
func StillValid(newest *workspace.Directory, shown protocol.Credential, public bool, was *workspace.Workspace) bool {
	if was == nil || public || !newest.RequiresKey() {
		return true
	}
	now := newest.ByKey(shown.Key)
	return now != nil && now.Name == was.Name
}

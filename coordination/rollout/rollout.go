// Package rollout holds the rules by which a bundle comes into force: review,
// sign-off of the exact digest by a person other than its author, and one
// pointer that only moves to higher generations. It does no I/O.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("rollout")

// Review is the record of a proposed bundle's review.
type Review struct {
	Digest   string    `json:"digest"`
	Author   string    `json:"author"`
	Note     string    `json:"note,omitempty"`
	At       time.Time `json:"at"`
	SignOffs []string  `json:"sign_offs,omitempty"`
}

// SignOff returns the review with a sign-off by who. It returns an error if who
// is empty or the author. A second sign-off by the same person changes nothing.
func (r Review) SignOff(who string) (Review, error) {
	switch {
	case who == "":
		return r, Error.New("a sign-off needs a name")
	case who == r.Author:
		return r, Error.New("%s is the author of %s; somebody else must sign it off", who, Short(r.Digest))
	case slices.Contains(r.SignOffs, who):
		return r, nil
	}
	r.SignOffs = append(slices.Clone(r.SignOffs), who)
	return r, nil
}

// Step is one move of the pointer.
type Step struct {
	Generation uint64    `json:"generation"`
	Digest     string    `json:"digest"`
	Author     string    `json:"author"`
	SignedBy   []string  `json:"signed_by"`
	RolledBy   string    `json:"rolled_by"`
	At         time.Time `json:"at"`
}

// MaxHistory bounds the length of Pointer.History.
const MaxHistory = 50

// Pointer names the bundle in force, with the newest steps first.
type Pointer struct {
	Step
	WriteID string `json:"write_id"`
	History []Step `json:"history,omitempty"`
}

// Conflict is the error of a rollout that another one has preceded.
type Conflict struct {
	Expected uint64
	Winner   Step
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("generation %d is in force, not %d: %s rolled out %s at %s",
		c.Winner.Generation, c.Expected, c.Winner.RolledBy, Short(c.Winner.Digest), c.Winner.At.Format(time.RFC3339))
}

// Advance returns the pointer after a rollout of the reviewed digest. expected is
// the generation that the operator saw in force; if another one is in force, the
// error is a *Conflict. A review without a sign-off is an error, too.
func Advance(p Pointer, r Review, expected uint64, by, writeID string, at time.Time) (Pointer, error) {
	if p.Generation != expected {
		return p, &Conflict{Expected: expected, Winner: p.Step}
	}
	if len(r.SignOffs) == 0 {
		return p, Error.New("%s has no sign-off yet", Short(r.Digest))
	}
	return p.MoveTo(Step{
		Generation: expected + 1, Digest: r.Digest, Author: r.Author, SignedBy: r.SignOffs, RolledBy: by, At: at,
	}, writeID), nil
}

// CheckChange returns an error if a bundle must not follow the one in force. Keys that were claimed are not found in
// another number of shards, so that calls which may not be repeated would run again.
func CheckChange(inForce, next *bundle.Bundle) error {
	if inForce.Claims.Shards != next.Claims.Shards {
		return Error.New("claims.shards is %d in force and cannot change to %d: keys that were claimed would not be found", inForce.Claims.Shards, next.Claims.Shards)
	}
	return nil
}

// MoveTo returns the pointer after a move to a step. The step before becomes the
// first one of the history.
func (p Pointer) MoveTo(s Step, writeID string) Pointer {
	next := Pointer{WriteID: writeID, Step: s}
	if p.Generation > 0 {
		next.History = append([]Step{p.Step}, p.History...)
		next.History = next.History[:min(len(next.History), MaxHistory)]
	}
	return next
}

// Adopt reports whether a daemon that has the generation current changes to the
// generation offered.
//
// Invariant: a daemon never goes back to a lower generation, whatever a late
// watch, a replayed event or a peer with a stale view offers.
func Adopt(current, offered uint64) bool { return offered > current }

const shortDigest = 12

// Short returns the first characters of a digest, for display.
func Short(digest string) string { return digest[:min(len(digest), shortDigest)] }

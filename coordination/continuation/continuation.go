// Package continuation decides at which endpoints a stream that has begun may continue. What two
// versions of an endpoint's software write does not fit together, so a stream continues only at the
// version that wrote its first event. Where that version is not known and more than one may have
// written it, the stream does not continue.
//
// Table is a state machine without I/O: callers pass endpoint views, records and the time.
package continuation

import (
	"crypto/sha256"
	"slices"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Key identifies the attempt of a caller that brought the first event of a stream.
type Key [16]byte

// KeyOf returns the key of the attempt with a request id.
func KeyOf(requestID string) Key {
	sum := sha256.Sum256([]byte(requestID))
	return Key(sum[:16])
}

// Origin describes how a stream began.
type Origin struct {
	Service     string
	Software    string            // of the endpoint that wrote the first event; empty if it reports none
	Incarnation fleet.Incarnation // that endpoint
	Workspace   string            // that the stream is counted for; empty for none
	Unit        string            // MODEL or MODEL/ADAPTER
	// Ambiguous is set if the software is not known for certain, as after a restart under the same
	// id that was seen too late, or where two streams have the same key. No endpoint can then
	// continue the stream.
	Ambiguous bool
}

// Constraint limits the endpoints of a stream that continues. The zero value allows all endpoints.
type Constraint struct {
	software    string
	incarnation fleet.Incarnation // zero: any with the software
	bound       bool
}

// Bound reports whether the constraint excludes any endpoint.
func (c Constraint) Bound() bool { return c.bound }

// Software returns the version of the software that the stream needs. It is empty if the stream is
// not bound to a version.
func (c Constraint) Software() string { return c.software }

// Incarnation returns the only endpoint at which the stream may continue; zero if it is not bound to
// one.
func (c Constraint) Incarnation() fleet.Incarnation { return c.incarnation }

// Allows reports whether the stream may continue at an endpoint of its service.
func (c Constraint) Allows(e *fleet.Endpoint) bool {
	switch {
	case !c.bound:
		return true
	case !c.incarnation.IsZero():
		return e.Incarnation() == c.incarnation
	}
	return e.Software == c.software
}

// Filter returns the endpoints of a list at which the stream may continue. It returns the list itself
// if the stream is not bound.
func (c Constraint) Filter(list []*fleet.Endpoint) []*fleet.Endpoint {
	if !c.bound {
		return list
	}
	var allowed []*fleet.Endpoint
	for _, e := range list {
		if c.Allows(e) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// sameSoftware returns the constraint to one version of the software.
func sameSoftware(software string) Constraint { return Constraint{software: software, bound: true} }

// sameIncarnation returns the constraint to one incarnation of an endpoint.
func sameIncarnation(i fleet.Incarnation) Constraint { return Constraint{incarnation: i, bound: true} }

// Beginning limits the endpoints at which a stream begins to versions that are in service. The zero
// value allows all.
type Beginning struct {
	pending   []string // versions that are not in service yet
	inService []string
}

// Limited reports whether it excludes any version.
func (b Beginning) Limited() bool { return len(b.pending) > 0 }

// Allows reports whether a stream may begin at an endpoint of the service.
func (b Beginning) Allows(e *fleet.Endpoint) bool { return !slices.Contains(b.pending, e.Software) }

// Filter returns the endpoints of a list at which a stream may begin. It returns the list itself if
// none is excluded.
func (b Beginning) Filter(list []*fleet.Endpoint) []*fleet.Endpoint {
	if !b.Limited() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *fleet.Endpoint) bool { return !b.Allows(e) })
}

// Any reports whether a version is in service.
func (b Beginning) Any() bool { return len(b.inService) > 0 }

// Sole returns the only version in service. ok is false if there are several, or none.
func (b Beginning) Sole() (software string, ok bool) {
	if len(b.inService) != 1 {
		return "", false
	}
	return b.inService[0], true
}

// Request is an attempt to continue a stream.
type Request struct {
	Key       Key
	Named     bool // the caller has named the attempt that Key stands for
	Service   string
	Workspace string
	Unit      string
}

// matches reports whether the record of a stream can be that of the request.
func (r Request) matches(o Origin) bool {
	return o.Service == r.Service && o.Workspace == r.Workspace && o.Unit == r.Unit
}

// Package storeversion orders the answers of the platform's store, also when the store is restored
// from an older copy and assigns its revisions again.
package storeversion

import (
	"cmp"
	"strconv"
)

// Version is a position in the history of the platform's store: a generation, and a revision within
// it. Revisions alone cannot be compared: after a restore, the same revision stands for other
// content. The zero Version comes before all others.
type Version struct {
	// Generation increases each time the store is restored from a copy; 0 if the store reports none.
	Generation uint64
	// Revision increases with each change within a generation; 0 for an object that does not exist.
	Revision uint64
}

// Compare returns -1, 0 or 1: by generation, then by revision.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Generation, o.Generation), cmp.Compare(v.Revision, o.Revision))
}

// Before reports whether v comes before o.
func (v Version) Before(o Version) bool { return v.Compare(o) < 0 }

// After reports whether v comes after o.
func (v Version) After(o Version) bool { return v.Compare(o) > 0 }

// Absent reports whether v is the version of an object that does not exist.
func (v Version) Absent() bool { return v.Revision == 0 }

// WithRevision returns the version of another revision in the same generation.
func (v Version) WithRevision(revision uint64) Version { return Version{v.Generation, revision} }

// revisionBits is the number of low bits of Number that hold the revision.
const revisionBits = 44

// Number returns the version as one number that keeps the order, for values that are ordered by a
// number, such as facts exchanged among daemons. Revisions must be below 2^44 and generations below
// 2^20.
func (v Version) Number() uint64 { return v.Generation<<revisionBits | v.Revision }

// GenerationOf returns the generation of a version, given its Number.
func GenerationOf(number uint64) uint64 { return number >> revisionBits }

// String returns generation/revision.
func (v Version) String() string {
	return strconv.FormatUint(v.Generation, 10) + "/" + strconv.FormatUint(v.Revision, 10)
}

// MarshalText implements encoding.TextMarshaler, for logs and state dumps.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Max returns the later of two versions.
func Max(a, b Version) Version {
	if a.Before(b) {
		return b
	}
	return a
}

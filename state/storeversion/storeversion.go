// Package storeversion orders what the platform's store says, also where it comes back from an
// older copy and gives its revisions out again.
package storeversion

import (
	"cmp"
	"strconv"
)

// Version is a place in the history of the platform's store: a generation, and a revision within
// it. A revision alone compares nothing: after a restore the same one names other content. The zero
// Version comes before all others.
type Version struct {
	// Generation rises each time the store comes back from a copy; 0 where the store names none.
	Generation uint64
	// Revision rises with each change within a generation; 0 for an object that is not there.
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

// Absent reports whether it is the version of an object that is not there.
func (v Version) Absent() bool { return v.Revision == 0 }

// At returns another revision of the same generation.
func (v Version) WithRevision(revision uint64) Version { return Version{v.Generation, revision} }

// revisionBits is the part of Number that holds the revision.
const revisionBits = 44

// Number returns the version as one number in the same order, for what is ordered by numbers, as
// facts among daemons are. It holds for revisions below 2^44 and generations below 2^20.
func (v Version) Number() uint64 { return v.Generation<<revisionBits | v.Revision }

// GenerationOf returns the generation of a version by its Number.
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

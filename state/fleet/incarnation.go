package fleet

import (
	"strconv"
	"strings"
)

// Incarnation is one life of an endpoint, from one start of its process to its
// end. An endpoint may start again under the same id: it then holds nothing of
// what it held, except copies on its disk, and counts its orders from zero. What
// was learned of one incarnation says nothing of the next.
type Incarnation struct {
	ID string
	// Born is when the process started, in Unix milliseconds by its own clock; zero
	// where the platform does not tell. It tells incarnations of one id apart and
	// is never compared with another clock.
	StartUnixMs int64
}

// String names the incarnation; ParseIncarnation reads it.
func (i Incarnation) String() string { return i.ID + "/" + strconv.FormatInt(i.StartUnixMs, bornBase) }

// bornBase is the base in which the start of an incarnation is written in its name.
const bornBase = 36

// ParseIncarnation is the reverse of Incarnation.String.
func ParseIncarnation(name string) (Incarnation, error) {
	i := strings.LastIndexByte(name, '/')
	born, err := strconv.ParseInt(name[i+1:], bornBase, 64)
	return Incarnation{ID: name[:max(0, i)], StartUnixMs: born}, err
}

// IsZero reports whether no incarnation is named.
func (i Incarnation) IsZero() bool { return i.ID == "" }

// Before reports whether i is known to be an earlier life of other's id.
func (i Incarnation) Before(other Incarnation) bool {
	return i.ID == other.ID && i.StartUnixMs != 0 && other.StartUnixMs != 0 && i.StartUnixMs < other.StartUnixMs
}

// Same reports whether both may be the same life: the id is the same, and nothing
// tells their starts apart.
func (i Incarnation) Matches(other Incarnation) bool {
	return i.ID == other.ID && (i.StartUnixMs == other.StartUnixMs || i.StartUnixMs == 0 || other.StartUnixMs == 0)
}

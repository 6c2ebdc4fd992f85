package fleet

import (
	"strconv"
	"strings"
)

// Incarnation identifies one run of an endpoint's process, from its start to its
// end. An endpoint may start again under the same id: it then has lost everything
// that it held, except copies on its disk, and counts its orders from zero.
// Nothing learned about one incarnation applies to the next.
type Incarnation struct {
	ID string
	// StartUnixMs is the time at which the process started, in Unix milliseconds by
	// its own clock; zero if the platform does not report it. It distinguishes
	// incarnations of one id and is never compared with another clock.
	StartUnixMs int64
}

// String returns the name of the incarnation, in the form that ParseIncarnation reads.
func (i Incarnation) String() string { return i.ID + "/" + strconv.FormatInt(i.StartUnixMs, startBase) }

// startBase is the numeric base of the start time in an incarnation's name.
const startBase = 36

// ParseIncarnation parses the form that Incarnation.String returns.
func ParseIncarnation(name string) (Incarnation, error) {
	i := strings.LastIndexByte(name, '/')
	start, err := strconv.ParseInt(name[i+1:], startBase, 64)
	return Incarnation{ID: name[:max(0, i)], StartUnixMs: start}, err
}

// IsZero reports whether i identifies no incarnation.
func (i Incarnation) IsZero() bool { return i.ID == "" }

// Before reports whether i is known to be an earlier incarnation of the same id as other.
func (i Incarnation) Before(other Incarnation) bool {
	return i.ID == other.ID && i.StartUnixMs != 0 && other.StartUnixMs != 0 && i.StartUnixMs < other.StartUnixMs
}

// Matches reports whether both may be the same incarnation: the ids are equal, and
// the starts are equal or one of them is unknown.
func (i Incarnation) Matches(other Incarnation) bool {
	return i.ID == other.ID && (i.StartUnixMs == other.StartUnixMs || i.StartUnixMs == 0 || other.StartUnixMs == 0)
}

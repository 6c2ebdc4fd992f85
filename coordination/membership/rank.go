package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders members for a key by highest random weight, so that each
// daemon with the same view picks the same one and few keys move when the
// view changes.
func Rendezvous(key string, members []Member) []Member { return rank(key, members, 0) }

// ablePart is the part of the largest capacity from which a member counts as able: hosts
// that differ by less are not worth moving a duty for.
const ablePart = 0.5

// Ablest orders members like Rendezvous, those on the larger hosts before the others: for
// duties that one daemon has for many. They cost as much on a small host, which then has
// that much less for its callers, and is late with both.
func RendezvousByCapacity(key string, members []Member) []Member {
	largest := 0
	for _, m := range members {
		if takesPart(m) {
			largest = max(largest, m.Capacity)
		}
	}
	return rank(key, members, ablePart*float64(largest))
}

func takesPart(m Member) bool { return !m.Leaving && m.Status == Alive }

// ranked is a member with what it is ordered by.
type ranked struct {
	able   bool
	weight uint64
	member *Member
}

// rank orders the members that take part: those of at least a capacity first.
func rank(key string, members []Member, able float64) []Member {
	list := make([]ranked, 0, len(members))
	for i := range members {
		if m := &members[i]; takesPart(*m) {
			list = append(list, ranked{float64(m.Capacity) >= able, xxhash.Sum64String(key + "\x00" + m.ID), m})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.able != b.able {
			if a.able {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.ID, b.member.ID))
	})
	out := make([]Member, len(list))
	for i, r := range list {
		out[i] = *r.member
	}
	return out
}

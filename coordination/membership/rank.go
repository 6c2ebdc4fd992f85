package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders the alive members that are not leaving for a key, by highest
// random weight. All daemons with the same view get the same order, and few keys
// move when the view changes.
func Rendezvous(key string, members []Member) []Member { return rank(key, members, 0) }

// largeShare is the share of the largest capacity from which a member counts as large: a
// smaller difference between hosts isn't worth moving a duty for.
const ablePart = 0.5

// RendezvousByCapacity orders members like Rendezvous, but those on large hosts first. It is
// for duties that one daemon carries out for many: they cost the same on a small host, which
// then has less capacity left for its callers and delays both.
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

// ranked is a member with its sort keys.
type ranked struct {
	able   bool
	weight uint64
	member *Member
}

// rank orders the alive members that are not leaving, those with at least the capacity large
// first.
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

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
const largeShare = 0.5

// RendezvousByCapacity orders members like Rendezvous, but those on large hosts first. It is
// for duties that one daemon carries out for many: they cost the same on a small host, which
// then has less capacity left for its callers and delays both.
func RendezvousByCapacity(key string, members []Member) []Member {
	largest := 0
	for _, m := range members {
		if eligible(m) {
			largest = max(largest, m.Capacity)
		}
	}
	return rank(key, members, largeShare*float64(largest))
}

// Eligible returns the members that are alive and not leaving, in a list of its own.
func Eligible(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !eligible(m) })
}

// AliveMembers returns the members that are alive, those that are leaving among them, in a list of its
// own.
func AliveMembers(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Status != Alive })
}

func eligible(m Member) bool { return !m.Leaving && m.Status == Alive }

// ranked is a member with its sort keys.
type ranked struct {
	large  bool
	weight uint64
	member *Member
}

// rank orders the alive members that are not leaving, those with a capacity of at least minLarge
// first.
func rank(key string, members []Member, minLarge float64) []Member {
	list := make([]ranked, 0, len(members))
	for i := range members {
		if m := &members[i]; eligible(*m) {
			list = append(list, ranked{float64(m.Capacity) >= minLarge, xxhash.Sum64String(key + "\x00" + m.ID), m})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.large != b.large {
			if a.large {
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

// Package relay spreads the data of the platform's store without a watch by each
// daemon: a few daemons, the watchers, follow the store themselves; the others, the
// followers, copy from a watcher as their upstream and track the age of the copy.
// Its types do no I/O: callers pass events and the time.
package relay

import (
	"slices"

	"github.com/doorvalve/doorvalve/coordination/membership"
)

const (
	// minWatchers is the minimum number of watchers, so that one remains when one is
	// lost.
	minWatchers = 2
	// followersPerWatcher bounds the followers of one watcher: at two polls per second
	// each, they cost it some hundredths of a core.
	followersPerWatcher = 24
	// largeDomain is the number of daemons from which a failure domain has watchers of
	// its own: fewer daemons cost less if they poll another domain.
	largeDomain = 8
	// watchersKey is the key by which daemons are ranked as watchers.
	watchersKey = "store-watchers"
)

// Watchers returns the daemons that follow the store themselves: some of each
// large failure domain, so that little traffic crosses domains, and at least two
// if there are as many members. Daemons with the same view of the members pick the
// same watchers, and few change when a member joins or leaves.
func Watchers(members []membership.Member) []membership.Member {
	ranked := membership.RendezvousByCapacity(watchersKey, members)
	inDomain := map[string]int{}
	for _, m := range ranked {
		inDomain[m.FailureDomain]++
	}
	var watchers, others []membership.Member
	picked := map[string]int{}
	for _, m := range ranked {
		if picked[m.FailureDomain] < ownWatchers(inDomain[m.FailureDomain]) {
			picked[m.FailureDomain]++
			watchers = append(watchers, m)
		} else {
			others = append(others, m)
		}
	}
	missing := minWatchers - len(watchers)
	return append(watchers, others[:min(max(0, missing), len(others))]...)
}

// ownWatchers returns the number of watchers that a failure domain with n daemons
// has of its own.
func ownWatchers(n int) int {
	if n < largeDomain {
		return 0
	}
	return (n + followersPerWatcher) / (followersPerWatcher + 1)
}

// Upstreams reports whether the daemon self is a watcher. If not, it returns the
// watchers to copy from, the preferred first: those of its own failure domain come
// first, and each daemon has its own order within a domain, to spread the load. A
// watcher gets the first of all watchers, unless it is that one: its reads of the
// store's version prove the age of the data of all.
func Upstreams(self membership.Member, members []membership.Member) (watches bool, order []membership.Member) {
	watchers := Watchers(members)
	switch i := slices.IndexFunc(watchers, func(m membership.Member) bool { return m.ID == self.ID }); {
	case len(watchers) == 0 || i == 0:
		return true, nil
	case i > 0:
		return true, watchers[:1]
	}
	order = membership.Rendezvous(self.ID, watchers)
	slices.SortStableFunc(order, func(a, b membership.Member) int {
		return domainRank(self, a) - domainRank(self, b)
	})
	return false, order
}

func domainRank(self, m membership.Member) int {
	if m.FailureDomain == self.FailureDomain {
		return 0
	}
	return 1
}

// Package relay spreads what the platform's store says without a watch of each
// daemon: a few daemons follow the store themselves, the others take it from
// them, and know how old it is. Its types are state machines without I/O.
package relay

import (
	"slices"

	"github.com/doorvalve/doorvalve/coordination/membership"
)

const (
	// leastWatchers is the number of daemons that follow the store in the
	// smallest installation, so that the loss of one leaves one.
	leastWatchers = 2
	// followersPerWatcher bounds the daemons that poll one watcher: two polls a
	// second of each are some hundredths of a core.
	followersPerWatcher = 24
	// largeDomain is the number of daemons from which a failure domain has a
	// watcher of its own: fewer cost less by polling another domain.
	largeDomain = 8
	// watchersKey ranks the daemons that follow the store.
	watchersKey = "store-watchers"
)

// Watchers returns the daemons that follow the store themselves: some of each
// large failure domain, so that little is sent between domains, and two at
// least. Daemons with the same view of the members pick the same ones, and few
// change when a member comes or goes.
func Watchers(members []membership.Member) []membership.Member {
	ranked := membership.RendezvousByCapacity(watchersKey, members)
	inDomain := map[string]int{}
	for _, m := range ranked {
		inDomain[m.FailureDomain]++
	}
	var watchers, others []membership.Member
	taken := map[string]int{}
	for _, m := range ranked {
		if taken[m.FailureDomain] < ownWatchers(inDomain[m.FailureDomain]) {
			taken[m.FailureDomain]++
			watchers = append(watchers, m)
		} else {
			others = append(others, m)
		}
	}
	missing := leastWatchers - len(watchers)
	return append(watchers, others[:min(max(0, missing), len(others))]...)
}

// ownWatchers returns how many daemons of a failure domain with n daemons
// follow the store for the others there.
func ownWatchers(n int) int {
	if n < largeDomain {
		return 0
	}
	return (n + followersPerWatcher) / (followersPerWatcher + 1)
}

// Upstreams reports whether a daemon follows the store itself, and otherwise
// returns the watchers to take from, the best first: those of its own failure
// domain, each daemon with an order of its own so that the load spreads.
func Upstreams(self membership.Member, members []membership.Member) (watches bool, order []membership.Member) {
	watchers := Watchers(members)
	if len(watchers) == 0 || slices.ContainsFunc(watchers, func(m membership.Member) bool { return m.ID == self.ID }) {
		return true, nil
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

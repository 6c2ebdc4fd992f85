package quotas

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
)

// roster is this daemon's view of the other daemons: which one owns a subject, which ones do not
// answer, and on which hosts the daemon is missing. It is safe for concurrent use.
type roster struct {
	opt             *Options
	started         time.Time
	lastPeerContact atomic.Int64 // when another daemon last called this one or answered it, in Unix ns

	mu           sync.Mutex
	unresponsive map[string]time.Time // until when daemons are skipped that did not answer, by id
	ranked       map[string][]membership.Member
	revision     uint64
	lastAlive    map[string]time.Time // when the daemon of a host was last alive, by host
	aliveHosts   int                  // hosts whose daemon is alive
}

// missingFor is how long a host whose daemon disappeared without announcing that it leaves is
// assumed to admit requests on its own.
const missingFor = 30 * time.Second

const (
	// joinTimeout bounds the time after its start during which a daemon that knows no other
	// daemon waits for the membership, and joinPollInterval is the pause between two checks.
	// Without the wait, each daemon of a fleet that has just started would take itself for the
	// only one and give out the whole quota.
	joinTimeout      = 500 * time.Millisecond
	joinPollInterval = 20 * time.Millisecond
)

// waitForPeers waits until this daemon knows another one, or joinTimeout has passed since its start.
func (r *roster) waitForPeers() {
	for len(r.opt.Members()) <= 1 {
		remaining := joinTimeout - r.opt.Clock().Sub(r.started)
		if remaining <= 0 {
			return
		}
		time.Sleep(min(remaining, joinPollInterval))
	}
}

// owners returns at most limit daemons that may own the subject of a key, in the order of their
// rank. It skips daemons that did not answer within the last unresponsiveFor.
func (r *roster) owners(key string, limit int) []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock()
	var list []membership.Member
	for _, m := range r.rank(key) {
		if len(list) == limit {
			break
		}
		if now.Before(r.unresponsive[m.ID]) {
			continue
		}
		list = append(list, m)
	}
	return list
}

// maxRanked is the number of daemons that are cached for a key: more than are asked, since some
// of them may be unresponsive.
const maxRanked = 8

// maxRankedKeys bounds the keys whose ranking is cached.
const maxRankedKeys = 4096

// rank returns the maxRanked daemons that come first for a key. The caller holds the mutex.
func (r *roster) rank(key string) []membership.Member {
	if rev := r.opt.Revision(); rev != r.revision {
		clear(r.ranked)
		r.revision = rev
	}
	list, ok := r.ranked[key]
	if !ok {
		list = membership.RendezvousByCapacity(key, r.opt.Members())
		list = append([]membership.Member(nil), list[:min(maxRanked, len(list))]...)
		if len(r.ranked) >= maxRankedKeys {
			clear(r.ranked)
		}
		r.ranked[key] = list
	}
	return list
}

// peerContactFor is how long a call or an answer of another daemon counts as evidence that this
// daemon is not partitioned.
const peerContactFor = 500 * time.Millisecond

// notePeerContact records that another daemon has called this one or answered it.
func (r *roster) notePeerContact() { r.lastPeerContact.Store(r.opt.Clock().UnixNano()) }

// drawTargets returns the daemons to draw from for a subject, one after the other: its owners. If
// this daemon is among them and may be partitioned, another daemon takes its place, whose answer
// shows that this one is not.
func (r *roster) drawTargets(key string) []membership.Member {
	list := r.owners(key, maxDrawTargets+1)
	self := slices.IndexFunc(list, func(m membership.Member) bool { return m.ID == r.opt.Self })
	if self >= 0 && r.partitioned(key) {
		return slices.Delete(list, self, self+1)
	}
	return list[:min(len(list), maxDrawTargets)]
}

// partitioned reports whether this daemon must be assumed to be partitioned: it is not first in rank for
// the subject, and no other daemon has called or answered it within peerContactFor. It then owns the
// subject only because the daemons ranked before it do not answer, while they are probably up and
// continue without it.
func (r *roster) partitioned(key string) bool {
	r.mu.Lock()
	ranked := r.rank(key)
	r.mu.Unlock()
	if len(ranked) == 0 || ranked[0].ID == r.opt.Self {
		return false
	}
	return r.opt.Clock().UnixNano()-r.lastPeerContact.Load() > peerContactFor.Nanoseconds()
}

// markUnresponsive records that a daemon has not answered, and reports whether it was not recorded
// as unresponsive before.
func (r *roster) markUnresponsive(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock()
	_, known := r.unresponsive[id]
	r.unresponsive[id] = now.Add(unresponsiveFor)
	return !known
}

// refresh updates the hosts whose daemons are alive or missing from the current members, and drops
// outdated entries of unresponsive daemons.
func (r *roster) refresh() {
	members := r.opt.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock()
	for id, until := range r.unresponsive {
		if now.After(until.Add(unresponsiveFor)) {
			delete(r.unresponsive, id)
		}
	}
	alive := map[string]bool{}
	for i := range members {
		switch m := &members[i]; {
		case m.Leaving:
			delete(r.lastAlive, m.Host)
		case m.Status == membership.Alive:
			alive[m.Host] = true
		}
	}
	for host := range alive {
		r.lastAlive[host] = now
	}
	for host, at := range r.lastAlive {
		if now.Sub(at) > missingFor {
			delete(r.lastAlive, host)
		}
	}
	r.aliveHosts = len(alive)
}

// ownerShare returns the share of a quota, between 0 and 1, that this daemon may give out as an
// owner. The rest is left for hosts whose daemons are missing: they may be admitting requests on
// their own.
func (r *roster) ownerShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lastAlive) == 0 || r.aliveHosts == 0 {
		return 1
	}
	return float64(r.aliveHosts) / float64(len(r.lastAlive))
}

// isolatedFraction is the fraction of an equal share that a daemon may admit while it reaches no
// owner, in addition to the share that it was granted recently.
const isolatedFraction = 0.25

// isolatedMinShare returns the share of a quota that a daemon may admit while it reaches no owner,
// even if it was granted nothing recently.
func (r *roster) isolatedMinShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return isolatedFraction / float64(max(1, len(r.lastAlive)))
}

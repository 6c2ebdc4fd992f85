package storeview

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
)

// maxAge is the age reported for data that has never been received from the store.
const maxAge = time.Hour

func unresponsive(f *discovery.Follower, now time.Time) bool {
	since := f.FailingSince()
	return !since.IsZero() && now.Sub(since) >= peerFallbackDelay
}

// StoreUnresponsive reports whether this daemon's calls to the store have failed for
// peerFallbackDelay.
func (v *View) StoreUnresponsive(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return unresponsive(v.endpointsFollower, now)
}

// StoreOutage reports whether the store has answered neither this daemon nor any daemon
// that it receives data from for a while. If the store rejects only this daemon,
// StoreUnresponsive is true and StoreOutage is false.
func (v *View) StoreOutage(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return unresponsive(v.endpointsFollower, now) && now.Sub(v.freshness()[relay.Endpoints]) >= v.shareOfBound(staleShare)
}

// Freshness returns the time up to which all changes in the store are included, as
// received from the store or from other daemons.
func (v *View) Freshness() relay.Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshness()
}

// freshness is Freshness; the caller holds the mutex.
func (v *View) freshness() relay.Freshness {
	own := relay.Freshness{relay.Endpoints: v.endpointsFollower.AsOf(), relay.DesiredState: v.desiredFollower.AsOf()}
	return relay.Latest(own, v.source.Freshness())
}

// Age returns the maximum age of the local data of a kind; maxAge before any has been
// received.
func (v *View) Age(kind relay.Kind) time.Duration {
	at := v.Freshness()[kind]
	if at.IsZero() {
		return maxAge
	}
	return v.opt.Clock().Sub(at)
}

package storeview

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
)

// maxAge is the age reported for data that has never been received from the store.
const maxAge = time.Hour

func silentFor(f *discovery.Follower, now time.Time) bool {
	since := f.FailingSince()
	return !since.IsZero() && now.Sub(since) >= peersAfter
}

// StoreUnresponsive reports whether this daemon's calls to the store have failed for
// peerFallbackDelay.
func (v *View) StoreUnresponsive(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now)
}

// StoreOutage reports whether the store has answered neither this daemon nor any daemon
// that it receives data from for a while. If the store rejects only this daemon,
// StoreUnresponsive is true and StoreOutage is false.
func (v *View) StoreOutage(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now) && now.Sub(v.seen()[relay.Endpoints]) >= v.part(stalePart)
}

// Freshness returns the time up to which all changes in the store are included, as
// received from the store or from other daemons.
func (v *View) Freshness() relay.Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen()
}

// freshness is Freshness; the caller holds the mutex.
func (v *View) seen() relay.Freshness {
	own := relay.Freshness{relay.Endpoints: v.endpoints.AsOf(), relay.DesiredState: v.config.AsOf()}
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

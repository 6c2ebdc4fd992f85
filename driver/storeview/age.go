package storeview

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
)

// maxAge is the age of what does not come from the store at all.
const maxAge = time.Hour

func silentFor(f *discovery.Follower, now time.Time) bool {
	since := f.FailingSince()
	return !since.IsZero() && now.Sub(since) >= peersAfter
}

// Silent reports whether the store has not answered this daemon for a while.
func (v *View) StoreUnresponsive(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now)
}

// StoreAway reports whether the store has not answered for a while, neither this
// daemon nor one that it hears from. Where it only turns this daemon away, Silent is
// true and StoreAway is not.
func (v *View) StoreOutage(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now) && now.Sub(v.seen()[relay.Endpoints]) >= v.part(stalePart)
}

// Seen returns the time up to which the store has been followed, by this daemon or
// by those that it takes from.
func (v *View) Freshness() relay.Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen()
}

// seen is Seen; the caller holds the mutex.
func (v *View) seen() relay.Freshness {
	own := relay.Freshness{relay.Endpoints: v.endpoints.AsOf(), relay.DesiredState: v.config.AsOf()}
	return relay.Latest(own, v.source.Freshness())
}

// Age returns how old what is believed of a kind may be; maxAge before the first
// word.
func (v *View) Age(kind relay.Kind) time.Duration {
	at := v.Freshness()[kind]
	if at.IsZero() {
		return maxAge
	}
	return v.opt.Clock().Sub(at)
}

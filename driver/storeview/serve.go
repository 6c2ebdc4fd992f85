package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// maxInlineDesired bounds the desired states that are sent to all followers, in compressed
// bytes: a link of 10 Mbit/s carries such a state to relay.followersPerWatcher daemons in
// 0.3 s. Followers read larger ones from the store themselves.
const maxInlineDesired = 16 << 10

// Follow answers another daemon's poll: at once if there is an update for it, otherwise
// when there is one, when the store has answered again, when the local data becomes
// stale, or when the poll's wait is over.
func (v *View) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	receivedAt := v.opt.Clock()
	v.recordPeerVersion(req.ConfigVersion)
	end := time.NewTimer(min(maxPoll, milliseconds(req.WaitMs), v.freshFor(receivedAt)))
	defer end.Stop()
	for over := req.WaitMs <= 0; ; {
		a := v.newer(req)
		if over || a.resp.ConfigVersion > req.ConfigVersion || !a.delta.Empty() || a.resp.Heard > req.Heard {
			a.attachDesired(req)
			a.resp.Whole, a.resp.Gone, a.resp.Endpoints = a.delta.Whole, a.delta.Removed, toWire(a.delta.Endpoints)
			a.setAges(receivedAt, v.opt.Clock())
			return a.resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.updated:
		case <-end.C:
			over = true
		}
	}
}

// recordPeerVersion keeps the highest desired state version that other daemons have reported: a restored
// store may return an older one to a daemon that has just started.
func (v *View) recordPeerVersion(version uint64) {
	for known := v.maxPeerVersion.Load(); known < version; known = v.maxPeerVersion.Load() {
		if v.maxPeerVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// freshFor returns the time until the local data becomes stale, so that a follower of this
// daemon changes to another upstream then and not at the end of its poll. It returns maxAge
// if the data already is stale, as the wait then makes nothing worse.
func (v *View) freshFor(now time.Time) time.Duration {
	left := v.shareOfBound(staleShare) - v.Freshness().Age(now, maxAge)
	if left <= 0 {
		return maxAge
	}
	return left
}

// answer is the answer to a poll, with the updates that the polling daemon does not have yet.
type answer struct {
	resp      *fleetpb.FollowResponse
	delta     relay.Delta
	desired   *desiredContent // nil before the first
	freshness relay.Freshness
	updated   <-chan struct{} // closed at the next update
}

// newer returns an answer with the updates that the polling daemon does not have yet.
func (v *View) newer(req *fleetpb.FollowRequest) *answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	a := &answer{resp: &fleetpb.FollowResponse{Source: v.opt.Self, Change: v.changes.LastChange(), Heard: v.freshnessCount, ConfigVersion: v.desiredVersion(), EndpointsRevision: view.Version.Revision, Generation: view.Version.Generation, HighestGeneration: v.opt.Generations.Highest()}}
	a.desired, a.freshness, a.updated = v.desired, v.freshness(), v.updated
	a.delta = v.changes.Since(req.Change, req.Source == v.opt.Self, view)
	if known := (storeversion.Version{Generation: req.Generation, Revision: req.EndpointsRevision}); a.delta.Whole && view.Version.Before(known) {
		// The polling daemon has newer data. It gets a position in these changes
		// only with a whole list, so that it keeps no entry whose removal none of
		// the changes contains.
		a.delta, a.resp.Source = relay.Delta{}, ""
	}
	return a
}

// attachDesired adds the desired state if it is newer, and if it is small or the poll does
// not wait.
func (a *answer) attachDesired(req *fleetpb.FollowRequest) {
	if a.desired == nil || a.resp.ConfigVersion <= req.ConfigVersion {
		return
	}
	if packed := a.desired.pack(); req.WaitMs <= 0 || len(packed) <= maxInlineDesired {
		a.resp.PackedConfig = packed
	}
}

// setAges sets the ages of the data, rounded up, and the time that the poll waited, rounded
// down, so that the receiver never underestimates the age.
func (a *answer) setAges(receivedAt, now time.Time) {
	a.resp.AgeMs = ageMs(a.freshness[relay.Endpoints], now)
	a.resp.ConfigAgeMs = ageMs(a.freshness[relay.DesiredState], now)
	a.resp.HeldMs = now.Sub(receivedAt).Milliseconds()
}

// ageMs returns an age in milliseconds, above zero; negative if it is unknown.
func ageMs(freshAt, now time.Time) int64 {
	if freshAt.IsZero() {
		return -1
	}
	return now.Sub(freshAt).Milliseconds() + 1
}

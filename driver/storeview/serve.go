package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// inlineConfig bounds the desired states that are sent to all followers, in packed
// bytes: a link of 10 Mbit/s carries it to relay.followersPerWatcher daemons in 0.3 s.
// Larger ones they read from the store themselves.
const inlineConfig = 16 << 10

// Follow answers another daemon's poll: at once if there is something newer
// than it knows, otherwise when there is, when the store has answered again, when
// what is known here gets too old to rely on, or when its wait is over.
func (v *View) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	asked := v.opt.Clock()
	v.noteAsked(req.ConfigVersion)
	end := time.NewTimer(min(maxPoll, milliseconds(req.WaitMs), v.freshFor(asked)))
	defer end.Stop()
	for over := req.WaitMs <= 0; ; {
		a := v.newer(req)
		if over || a.resp.ConfigVersion > req.ConfigVersion || !a.delta.Empty() || a.resp.Heard > req.Heard {
			a.attachDesired(req)
			a.resp.Whole, a.resp.Gone, a.resp.Endpoints = a.delta.Whole, a.delta.Removed, toWire(a.delta.Endpoints)
			a.tellAges(asked, v.opt.Clock())
			return a.resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.told:
		case <-end.C:
			over = true
		}
	}
}

// noteAsked keeps the highest version of a desired state that others know: a restored store may name
// an older one to a daemon that has just started.
func (v *View) noteAsked(version uint64) {
	for known := v.asked.Load(); known < version; known = v.asked.Load() {
		if v.asked.CompareAndSwap(known, version) {
			return
		}
	}
}

// freshFor returns for how long more what is known here is young enough to rely on, so
// that a daemon which takes from this one leaves it then and not at the end of its
// poll; maxAge if it is too old already, and nothing gets worse by the wait.
func (v *View) freshFor(now time.Time) time.Duration {
	left := v.part(stalePart) - v.Freshness().Age(now, maxAge)
	if left <= 0 {
		return maxAge
	}
	return left
}

// news is what the caller of Follow does not know yet.
type news struct {
	resp    *fleetpb.FollowResponse
	delta   relay.Delta
	desired *desiredContent // nil before the first
	seen    relay.Freshness
	told    <-chan struct{} // closed when there is more
}

// newer returns what the caller of Follow does not know yet.
func (v *View) newer(req *fleetpb.FollowRequest) *news {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	a := &news{resp: &fleetpb.FollowResponse{Source: v.opt.Self, Change: v.changes.LastChange(), Heard: v.heard, ConfigVersion: v.version(), EndpointsRevision: view.Version.Revision, Generation: view.Version.Generation, HighestGeneration: v.opt.Generations.Highest()}}
	a.desired, a.seen, a.told = v.desired, v.seen(), v.told
	a.delta = v.changes.Since(req.Change, req.Source == v.opt.Self, view)
	if known := (storeversion.Version{Generation: req.Generation, Revision: req.EndpointsRevision}); a.delta.Whole && view.Version.Before(known) {
		// The caller knows more. It gets a place in these changes only with a
		// whole list, so that it keeps nothing that none of them names.
		a.delta, a.resp.Source = relay.Delta{}, ""
	}
	return a
}

// attachDesired adds the desired state, if it is newer, and small or asked for
// without a wait.
func (a *news) attachDesired(req *fleetpb.FollowRequest) {
	if a.desired == nil || a.resp.ConfigVersion <= req.ConfigVersion {
		return
	}
	if packed := a.desired.pack(); req.WaitMs <= 0 || len(packed) <= inlineConfig {
		a.resp.PackedConfig = packed
	}
}

// tellAges adds how old what is told is, rounded up, and how long the question
// waited, rounded down: it is never taken for younger than it is.
func (a *news) tellAges(asked, now time.Time) {
	a.resp.AgeMs = ageMs(a.seen[relay.Endpoints], now)
	a.resp.ConfigAgeMs = ageMs(a.seen[relay.DesiredState], now)
	a.resp.HeldMs = now.Sub(asked).Milliseconds()
}

// ageMs returns an age in milliseconds, above zero, negative for unknown.
func ageMs(seen, now time.Time) int64 {
	if seen.IsZero() {
		return -1
	}
	return now.Sub(seen).Milliseconds() + 1
}

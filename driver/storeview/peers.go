package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
)

const (
	// stalePart and pollPart are parts of the time in which a leaving endpoint
	// must get no more requests. What was heard through another daemon is good
	// for the first: longer than a watcher takes to hear from the store again
	// (gatherPart + watchPart), with time left to ask the store. An upstream
	// answers within the second, also when it has heard nothing.
	stalePart = 0.7
	pollPart  = 0.6
	// pollSlack is how much later an upstream may answer before it counts as
	// gone: some times the way there and back.
	pollSlack = 300 * time.Millisecond
	// pollRetry is the pause after an upstream that did not answer or is behind.
	pollRetry = 100 * time.Millisecond
	// rolePause is the pause before a daemon that follows the store looks again
	// whether it still should.
	rolePause = 500 * time.Millisecond
	// startGrace is how long a daemon that has just started waits for others to
	// tell it what the store says: they are a join and a poll away. It looks
	// for them each startPause.
	startGrace = 150 * time.Millisecond
	startPause = 20 * time.Millisecond
	// maxPoll bounds the wait of a poll: with pollSlack, it must be over before
	// a call between daemons times out.
	maxPoll = 1500 * time.Millisecond
	// inlineConfig bounds the desired states that are sent to followers in
	// bytes: larger ones they read from the store themselves, since one daemon's
	// link does not carry them to all others in time.
	inlineConfig = 16 << 10
	// graceTick is how often entries in their grace are looked at.
	graceTick = 100 * time.Millisecond
	// peersAfter is how long the store must be silent before peers are asked,
	// and the pause between two questions.
	peersAfter = 600 * time.Millisecond
	// peerTimeout bounds a question to any daemon.
	peerTimeout = time.Second
)

// place is how far this daemon has read another one's changes.
type place struct {
	source string
	change uint64
}

// RunRelay takes from upstreams what the store says, unless this daemon follows
// it itself, until ctx ends.
func (v *View) RunRelay(ctx context.Context) error {
	for ctx.Err() == nil {
		watches, order := v.opt.Upstreams()
		v.setRole(watches)
		if watches {
			pause.For(ctx, v.lookAgain())
			continue
		}
		v.mu.Lock()
		upstream := order[v.source.Pick(len(order))]
		v.mu.Unlock()
		wait := min(v.part(pollPart), maxPoll)
		started := time.Now()
		age, err := v.poll(ctx, upstream, wait, wait+pollSlack)
		if err == nil && v.behind() {
			err = v.catchUp(ctx, upstream)
		}
		if err != nil {
			v.mu.Lock()
			v.source.Failed()
			v.mu.Unlock()
		}
		if err != nil || age >= v.part(stalePart) {
			v.opt.Log.Info(decisions.EventUpstreamLeft, "error", err, "age_ms", age.Milliseconds(), "took_ms", time.Since(started).Milliseconds())
			pause.For(ctx, pollRetry)
		}
	}
	return nil
}

// behind reports whether an upstream has a newer desired state in force.
func (v *View) behind() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.table.Load()
	return v.upstreamVersion > 0 && (t == nil || t.Version < v.upstreamVersion)
}

// catchUp reads a desired state that is too large for a poll: from the store,
// or from the upstream where the store does not answer.
func (v *View) catchUp(ctx context.Context, upstream fleetpb.Fleet) error {
	read, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := v.readDesired(read)
	if err == nil && !v.behind() {
		return nil
	}
	v.opt.Log.Debug("desired state taken from the upstream", "store_error", err)
	_, err = v.poll(ctx, upstream, 0, peerTimeout)
	return err
}

// lookAgain returns the pause before a daemon that follows the store looks
// again whether it still should.
func (v *View) lookAgain() time.Duration {
	if time.Now().Before(v.directFrom) {
		return startPause
	}
	return rolePause
}

// setRole logs whether this daemon follows the store itself.
func (v *View) setRole(watches bool) {
	v.mu.Lock()
	changed := watches != v.watches
	v.watches = watches
	v.mu.Unlock()
	if changed {
		v.opt.Log.Info(decisions.EventStoreRole, "follows_store", watches)
	}
}

// RunPeers drops entries whose grace is over and asks other daemons while the
// store is silent, until ctx ends.
func (v *View) RunPeers(ctx context.Context) error {
	asked := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, v.peersPause())
		v.publish("grace")
		now := time.Now()
		if now.Sub(asked) < peersAfter {
			continue
		}
		asked = now
		v.mu.Lock()
		silent := silentFor(v.endpoints, now) || silentFor(v.config, now) || v.table.Load() == nil
		v.mu.Unlock()
		peer := v.opt.Peer()
		if !silent || peer == nil {
			continue
		}
		_, _ = v.poll(ctx, peer, 0, peerTimeout) // logs its failure; another peer is next
	}
	return nil
}

// peersPause is short while a grace runs, so that it ends in time.
func (v *View) peersPause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.Missing() {
		return graceTick
	}
	return peersAfter
}

func silentFor(f *discovery.Follower, now time.Time) bool {
	since := f.FailingSince()
	return !since.IsZero() && now.Sub(since) >= peersAfter
}

// Silent reports whether the store has not answered for a while.
func (v *View) Silent(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now)
}

// poll takes what is newer from another daemon, and returns how old it is.
func (v *View) poll(ctx context.Context, peer fleetpb.Fleet, wait, timeout time.Duration) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v.mu.Lock()
	req := &fleetpb.FollowRequest{Source: v.place.source, Change: v.place.change, EndpointsRevision: v.registry.Revision(), WaitMs: wait.Milliseconds()}
	v.mu.Unlock()
	if t := v.Table(); t != nil {
		req.ConfigVersion = t.Version
	}
	started := time.Now()
	resp, err := peer.Follow(ctx, req)
	v.logLate("peer", kindEndpoints, time.Since(started)-wait, err)
	if err != nil {
		v.opt.Log.Debug("peer did not answer", "error", err)
		return 0, err
	}
	age = maxAge
	if resp.AgeMs >= 0 {
		age = time.Duration(resp.AgeMs) * time.Millisecond
	}
	return age, v.take(resp, age)
}

// maxAge is the age of what does not come from the store at all.
const maxAge = time.Hour

// take adopts what another daemon has told.
func (v *View) take(resp *fleetpb.FollowResponse, age time.Duration) error {
	list := fromWire(resp.Endpoints)
	if len(resp.Config) > 0 {
		if err := v.adoptDesired(resp.Config, "peer", resp.EndpointsRevision); err != nil {
			return err
		}
	}
	v.mu.Lock()
	now := time.Now()
	if resp.Whole {
		v.registry.List(now, list, resp.EndpointsRevision, time.Time{})
	} else {
		for _, e := range list {
			v.registry.Put(e, resp.EndpointsRevision)
		}
		for _, id := range resp.Gone {
			v.registry.Remove(now, id, resp.EndpointsRevision, time.Time{})
		}
	}
	v.place = place{resp.Source, resp.Change}
	v.upstreamVersion = resp.ConfigVersion
	v.source.Heard(now, age)
	v.mu.Unlock()
	v.publish("peer")
	return nil
}

// Follow answers another daemon's poll: at once if there is something newer
// than it knows, otherwise when there is, when the store has answered again, or
// when its wait is over.
func (v *View) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	end := time.NewTimer(min(maxPoll, time.Duration(req.WaitMs)*time.Millisecond))
	defer end.Stop()
	first := v.SeenAt()
	for over := req.WaitMs <= 0; ; {
		resp, delta, told := v.newer(req)
		if over || resp.ConfigVersion > req.ConfigVersion || !delta.Empty() || v.SeenAt().After(first) {
			resp.Whole, resp.Gone, resp.Endpoints = delta.Whole, delta.Gone, toWire(delta.Endpoints)
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-told:
		case <-end.C:
			over = true
		}
	}
}

// newer returns what the caller of Follow does not know yet, and a channel that
// is closed when there is more.
func (v *View) newer(req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, relay.Delta, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	resp := &fleetpb.FollowResponse{Source: v.opt.Self, Change: v.changes.Change(), EndpointsRevision: view.Revision, AgeMs: v.ageMs(time.Now())}
	if t := v.table.Load(); t != nil {
		resp.ConfigVersion = t.Version
		if t.Version > req.ConfigVersion && (req.WaitMs <= 0 || len(v.raw) <= inlineConfig) {
			resp.Config = v.raw
		}
	}
	delta := v.changes.Since(req.Change, req.Source == v.opt.Self, view)
	if delta.Whole && view.Revision < req.EndpointsRevision {
		// The caller knows more. It gets a place in these changes only with a
		// whole list, so that it keeps nothing that none of them names.
		delta, resp.Source = relay.Delta{}, ""
	}
	return resp, delta, v.told
}

// ageMs returns the milliseconds since the store answered this daemon or
// whoever it takes from, negative if it never did; the caller holds the mutex.
func (v *View) ageMs(now time.Time) int64 {
	seen := v.seenAt()
	if seen.IsZero() {
		return -1
	}
	return now.Sub(seen).Milliseconds() + 1 // rounded up: never younger than it is
}

// SeenAt returns the time up to which the endpoints in the store have been
// followed, by this daemon or by those that it takes from.
func (v *View) SeenAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seenAt()
}

// Age returns how old what is believed of the endpoints may be; maxAge before the
// first word.
func (v *View) Age() time.Duration {
	seen := v.SeenAt()
	if seen.IsZero() {
		return maxAge
	}
	return time.Since(seen)
}

func (v *View) seenAt() time.Time {
	if at := v.source.SeenAt(); at.After(v.endpoints.SeenAt()) {
		return at
	}
	return v.endpoints.SeenAt()
}

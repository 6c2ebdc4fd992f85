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
	// stalePart and pollPart are parts of the time in which a change must be in
	// force. What was heard through another daemon is good
	// for the first: longer than a watcher takes to hear from the store again
	// (refreshPart), with time left to ask the store. An upstream
	// answers within the second, also when it has heard nothing.
	stalePart = 0.7
	pollPart  = 0.6
	// pollSlack is how much later an upstream may answer before it counts as
	// gone: the time that a link of 10 Mbit/s takes for a whole list to each of
	// some ten daemons.
	pollSlack = 400 * time.Millisecond
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
	// inlineConfig bounds the desired states that are sent to all followers, in
	// packed bytes: a link of 10 Mbit/s carries it to relay.followersPerWatcher
	// daemons in 0.3 s. Larger ones they read from the store themselves.
	inlineConfig = 16 << 10
	// graceTick is how often entries in their grace are looked at.
	graceTick = 100 * time.Millisecond
	// peersAfter is how long the store must be silent before peers are asked,
	// and the pause between two questions.
	peersAfter = 600 * time.Millisecond
	// peerTimeout bounds a question to any daemon.
	peerTimeout = time.Second
)

// upstreamState is what is known of the daemon that this one takes from.
type upstreamState struct {
	peer fleetpb.Fleet // that answered last
	// source and change are how far its changes have been read.
	source string
	change uint64
	heard  uint64 // how often it had heard from the store by its last answer
	// version is of the desired state in force there.
	version uint64
}

// RunRelay takes from upstreams what the store says, unless this daemon follows
// it itself, until ctx ends.
func (v *View) RunRelay(ctx context.Context) error {
	failing := false // the last upstream, which has been logged
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
		wait, started := min(v.part(pollPart), maxPoll), time.Now()
		age, err := v.poll(ctx, upstream, wait, wait+pollSlack)
		if err != nil {
			v.mu.Lock()
			v.source.Failed()
			v.mu.Unlock()
		}
		failed := err != nil || age >= v.part(stalePart)
		if failed && !failing {
			v.opt.Log.Info(decisions.EventUpstreamLeft, "error", err, "age_ms", age.Milliseconds(), "took_ms", time.Since(started).Milliseconds())
		}
		if failing = failed; failing {
			pause.For(ctx, pollRetry)
		}
	}
	return nil
}

// lookAgain returns the pause before a daemon that follows the store looks
// again whether it still should.
func (v *View) lookAgain() time.Duration {
	if time.Now().Before(v.directFrom) {
		return startPause
	}
	return rolePause
}

// setRole logs whether this daemon follows the store itself. One that begins to
// asks the store at once, not when what it has heard gets old: others may begin to
// take from it.
func (v *View) setRole(watches bool) {
	v.mu.Lock()
	changed := watches != v.watches
	v.watches = watches
	if changed && watches {
		close(v.roleTaken)
		v.roleTaken = make(chan struct{})
	}
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

// Silent reports whether the store has not answered this daemon for a while.
func (v *View) Silent(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now)
}

// StoreAway reports whether the store has not answered for a while, neither this
// daemon nor one that it hears from. Where it only turns this daemon away, Silent is
// true and StoreAway is not.
func (v *View) StoreAway(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now) && now.Sub(v.seen()[relay.Endpoints]) >= v.part(stalePart)
}

// poll takes what is newer from another daemon, and returns how old it is. One that
// waits need not be told again of a desired state that this daemon is reading.
func (v *View) poll(ctx context.Context, peer fleetpb.Fleet, wait, timeout time.Duration) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v.mu.Lock()
	req := &fleetpb.FollowRequest{
		Source: v.upstream.source, Change: v.upstream.change, ConfigVersion: v.version(), EndpointsRevision: v.registry.Revision(), WaitMs: wait.Milliseconds(),
		Heard: v.upstream.heard,
	}
	if wait > 0 {
		req.ConfigVersion = max(req.ConfigVersion, v.upstream.version)
	}
	v.mu.Unlock()
	asked := time.Now()
	resp, err := peer.Follow(ctx, req)
	if err != nil {
		v.logLate("peer", relay.Endpoints, asked.Add(wait), err)
		v.opt.Log.Debug("peer did not answer", "error", err)
		return 0, err
	}
	made := asked.Add(milliseconds(resp.HeldMs)) // or later: the way there is not counted
	v.logLate("peer", relay.Endpoints, made, nil)
	seen := relay.Seen{relay.Endpoints: asOf(made, resp.AgeMs), relay.DesiredState: asOf(made, resp.ConfigAgeMs)}
	return seen.Age(time.Now(), maxAge), v.take(peer, resp, seen)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// asOf returns up to when something is known that was so old when it was told; zero
// where it is not known. Ages that are told are above zero.
func asOf(told time.Time, ageMs int64) time.Time {
	if ageMs <= 0 {
		return time.Time{}
	}
	return told.Add(-milliseconds(ageMs))
}

// maxAge is the age of what does not come from the store at all.
const maxAge = time.Hour

// take adopts what another daemon has told.
func (v *View) take(peer fleetpb.Fleet, resp *fleetpb.FollowResponse, seen relay.Seen) error {
	list := fromWire(resp.Endpoints)
	if len(resp.PackedConfig) > 0 {
		raw, err := unpack(resp.PackedConfig)
		if err == nil {
			err = v.adoptDesired(raw, "peer", resp.EndpointsRevision)
		}
		if err != nil {
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
	v.upstream = upstreamState{peer: peer, source: resp.Source, change: resp.Change, heard: resp.Heard, version: resp.ConfigVersion}
	taken := seen
	if v.version() < resp.ConfigVersion {
		taken[relay.DesiredState] = time.Time{} // known by its version only
		v.catchUpSoon()
	}
	v.source.Heard(now, seen, taken)
	v.tell()
	v.mu.Unlock()
	v.publish("peer")
	return nil
}

// catchUpSoon wakes RunCatchUp.
func (v *View) catchUpSoon() {
	select {
	case v.named <- struct{}{}:
	default: // it is awake
	}
}

// Follow answers another daemon's poll: at once if there is something newer
// than it knows, otherwise when there is, when the store has answered again, when
// what is known here gets too old to rely on, or when its wait is over.
func (v *View) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	asked := time.Now()
	end := time.NewTimer(min(maxPoll, milliseconds(req.WaitMs), v.freshFor(asked)))
	defer end.Stop()
	for over := req.WaitMs <= 0; ; {
		a := v.newer(req)
		if over || a.resp.ConfigVersion > req.ConfigVersion || !a.delta.Empty() || a.resp.Heard > req.Heard {
			a.attachDesired(req)
			a.resp.Whole, a.resp.Gone, a.resp.Endpoints = a.delta.Whole, a.delta.Gone, toWire(a.delta.Endpoints)
			a.tellAges(asked, time.Now())
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

// freshFor returns for how long more what is known here is young enough to rely on, so
// that a daemon which takes from this one leaves it then and not at the end of its
// poll; maxAge if it is too old already, and nothing gets worse by the wait.
func (v *View) freshFor(now time.Time) time.Duration {
	left := v.part(stalePart) - v.Seen().Age(now, maxAge)
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
	seen    relay.Seen
	told    <-chan struct{} // closed when there is more
}

// newer returns what the caller of Follow does not know yet.
func (v *View) newer(req *fleetpb.FollowRequest) *news {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	a := &news{resp: &fleetpb.FollowResponse{Source: v.opt.Self, Change: v.changes.Change(), Heard: v.heard, ConfigVersion: v.version(), EndpointsRevision: view.Revision}}
	a.desired, a.seen, a.told = v.desired, v.seen(), v.told
	a.delta = v.changes.Since(req.Change, req.Source == v.opt.Self, view)
	if a.delta.Whole && view.Revision < req.EndpointsRevision {
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

// Seen returns the time up to which the store has been followed, by this daemon or
// by those that it takes from.
func (v *View) Seen() relay.Seen {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen()
}

// seen is Seen; the caller holds the mutex.
func (v *View) seen() relay.Seen {
	own := relay.Seen{relay.Endpoints: v.endpoints.SeenAt(), relay.DesiredState: v.config.SeenAt()}
	return relay.Latest(own, v.source.Seen())
}

// Age returns how old what is believed of a kind may be; maxAge before the first
// word.
func (v *View) Age(kind relay.Kind) time.Duration {
	at := v.Seen()[kind]
	if at.IsZero() {
		return maxAge
	}
	return time.Since(at)
}

package storeview

import (
	"context"
	"errors"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const (
	// stalePart and pollPart are parts of the time in which a change must be in
	// force. What was heard through another daemon is good for the first: longer
	// than a watcher takes to hear from the store again (refreshPart), with time
	// left to ask the store. An upstream answers within the second, also when it
	// has heard nothing.
	stalePart = 0.7
	pollPart  = 0.6
	// maxPoll bounds the wait of a poll: with pollSlack, it must be over before
	// a call between daemons times out.
	maxPoll = 1500 * time.Millisecond
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
	// peerTimeout bounds a question that does not wait.
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
		wait, started := min(v.part(pollPart), maxPoll), v.opt.Clock()
		age, err := v.poll(ctx, upstream, wait, wait+pollSlack)
		if err != nil {
			v.mu.Lock()
			v.source.Failed()
			v.mu.Unlock()
		}
		failed := err != nil || age >= v.part(stalePart)
		if failed && !failing {
			v.opt.Log.Info(decisions.EventUpstreamDropped, "error", err, "age_ms", age.Milliseconds(), "took_ms", v.opt.Clock().Sub(started).Milliseconds())
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
	if v.opt.Clock().Before(v.directFrom) {
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

// poll takes what is newer from another daemon, and returns how old it is. One that
// waits need not be told again of a desired state that this daemon is reading.
func (v *View) poll(ctx context.Context, peer fleetpb.Fleet, wait, timeout time.Duration) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v.mu.Lock()
	known := v.registry.Version()
	req := &fleetpb.FollowRequest{
		Source: v.upstream.source, Change: v.upstream.change, ConfigVersion: v.version(), EndpointsRevision: known.Revision, Generation: known.Generation,
		WaitMs: wait.Milliseconds(), Heard: v.upstream.heard,
	}
	if wait > 0 {
		req.ConfigVersion = max(req.ConfigVersion, v.upstream.version)
	}
	v.mu.Unlock()
	asked := v.opt.Clock()
	resp, err := peer.Follow(ctx, req)
	if err != nil {
		v.logLate("peer", relay.Endpoints, asked.Add(wait), err)
		v.opt.Log.Debug("peer did not answer", "error", err)
		return 0, err
	}
	made := asked.Add(milliseconds(resp.HeldMs)) // or later: the way there is not counted
	v.logLate("peer", relay.Endpoints, made, nil)
	seen := relay.Freshness{relay.Endpoints: asOf(made, resp.AgeMs), relay.DesiredState: asOf(made, resp.ConfigAgeMs)}
	return seen.Age(v.opt.Clock(), maxAge), v.take(peer, resp, seen)
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

// take adopts what another daemon has told.
func (v *View) take(peer fleetpb.Fleet, resp *fleetpb.FollowResponse, seen relay.Freshness) error {
	if len(resp.PackedConfig) > 0 {
		raw, err := unpack(resp.PackedConfig)
		if err == nil {
			err = v.adoptDesired(raw, "peer", toldVersion(resp))
		}
		if err != nil {
			return err
		}
	}
	if err := v.heardPeer(resp); err != nil {
		return err
	}
	v.takeIn("peer", func(now time.Time) []string { return v.takeFrom(now, peer, resp, seen) })
	return nil
}

// toldVersion returns the version of the store that another daemon's endpoints are as of.
func toldVersion(resp *fleetpb.FollowResponse) storeversion.Version {
	return storeversion.Version{Generation: resp.Generation, Revision: resp.EndpointsRevision}
}

// errPeerBehind says that another daemon has not heard yet that the store has come back from a copy.
var errPeerBehind = errors.New("the daemon knows an older generation of the store only")

// heardPeer takes what another daemon has heard of the store's generation, and returns why its
// endpoints cannot be used: they are of an older one than those known here.
func (v *View) heardPeer(resp *fleetpb.FollowResponse) error {
	told := toldVersion(resp)
	heard := max(told.Generation, resp.HighestGeneration)
	v.opt.Generations.Observe(heard, "peer")
	v.mu.Lock()
	v.heardGeneration(v.opt.Clock(), heard)
	known := v.registry.Version()
	v.mu.Unlock()
	if told.Generation < known.Generation {
		v.noteSetAside("peer", relay.Endpoints, told, known)
		return errPeerBehind
	}
	return nil
}

// takeFrom adopts another daemon's endpoints and the place in its changes; the caller holds
// the mutex.
func (v *View) takeFrom(now time.Time, peer fleetpb.Fleet, resp *fleetpb.FollowResponse, seen relay.Freshness) (kept []string) {
	if now.Sub(seen[relay.Endpoints]) < v.part(stalePart) {
		v.noteOutage(now, toldVersion(resp))
	}
	kept, whole := v.takeEndpoints(now, resp)
	v.upstream = upstreamState{peer: peer, source: resp.Source, change: resp.Change, heard: resp.Heard, version: resp.ConfigVersion}
	if resp.Whole && !whole {
		// Without a place in the changes there, the next answer is a list again: an
		// entry that only others kept is else never named as gone.
		v.upstream.source = ""
	}
	taken := seen
	if v.version() < resp.ConfigVersion {
		taken[relay.DesiredState] = time.Time{} // known by its version only
		v.catchUpSoon()
	}
	v.source.Receive(now, seen, taken)
	return kept
}

// takeEndpoints adopts another daemon's endpoints, the caller holds the mutex. What
// that one keeps though the store does not have it is missing here as well. It returns
// the ids that are kept here, and whether a whole list was taken: not if another daemon
// has told more since it was asked for.
func (v *View) takeEndpoints(now time.Time, resp *fleetpb.FollowResponse) (kept []string, whole bool) {
	list, gone, until, told := fromWire(resp.Endpoints), resp.Gone, v.outage.GraceUntil(), toldVersion(resp)
	present := list[:0]
	for _, e := range list {
		if e.Missing {
			gone = append(gone, e.ID)
		} else {
			present = append(present, e)
		}
	}
	if resp.Whole {
		whole = !told.Before(v.registry.Version())
		return v.registry.List(now, present, told, until), whole
	}
	for _, e := range present {
		v.registry.Put(e, told)
	}
	for _, id := range gone {
		kept = append(kept, v.registry.Remove(now, id, told, until)...)
	}
	return kept, false
}

// catchUpSoon wakes RunCatchUp.
func (v *View) catchUpSoon() { wake.Once(v.named) }

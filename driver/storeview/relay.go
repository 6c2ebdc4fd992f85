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
	// staleShare and pollShare are shares of the propagation bound. Data received
	// through another daemon counts as fresh for the first: longer than a watcher
	// takes to receive the store's next answer (refreshShare), with time left to
	// read the store. An upstream answers within the second, also when it has no
	// update.
	stalePart = 0.7
	pollPart  = 0.6
	// maxPoll bounds the wait of a poll: with pollSlack, it must be over before
	// a call between daemons times out.
	maxPoll = 1500 * time.Millisecond
	// pollSlack is how much later an upstream may answer before it counts as
	// unreachable: the time that a link of 10 Mbit/s needs to transfer a whole
	// list to each of some ten daemons.
	pollSlack = 400 * time.Millisecond
	// pollRetry is the pause after a poll of an upstream that did not answer or whose
	// data is stale.
	pollRetry = 100 * time.Millisecond
	// roleCheckInterval is the interval at which a watcher checks whether it still
	// is to be one.
	rolePause = 500 * time.Millisecond
	// startGrace is how long a daemon that has just started waits to receive the
	// store's data from others, which takes a join and a poll. It looks for them
	// each startCheckInterval.
	startGrace = 150 * time.Millisecond
	startPause = 20 * time.Millisecond
	// peerTimeout bounds a poll that does not wait for updates.
	peerTimeout = time.Second
)

// upstreamState describes the daemon that this one copies from.
type upstreamState struct {
	peer fleetpb.Fleet // that sent the last answer
	// source and change are the position up to which its changes have been read.
	source string
	change uint64
	heard  uint64 // its count of freshness updates in its last answer
	// version is the version of the desired state in force there.
	version uint64
}

// RunRelay copies the store's data from upstreams, unless this daemon is a watcher,
// until ctx ends.
func (v *View) RunRelay(ctx context.Context) error {
	failing := false // the last poll failed, and this has been logged
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

// roleCheckPause returns the pause before a watcher checks again whether it still is
// to be one.
func (v *View) lookAgain() time.Duration {
	if v.opt.Clock().Before(v.directFrom) {
		return startPause
	}
	return rolePause
}

// setRole records and logs whether this daemon is a watcher. A daemon that becomes a
// watcher reads the store at once, not when its copied data becomes stale, since others
// may begin to copy from it.
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

// poll requests updates from another daemon, and returns the age of its data. A poll that
// waits does not ask again for a desired state that this daemon is already fetching.
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
		v.opt.Log.Debug("poll of a peer failed", "error", err)
		return 0, err
	}
	made := asked.Add(milliseconds(resp.HeldMs)) // or later, since the transfer of the request is not included
	v.logLate("peer", relay.Endpoints, made, nil)
	seen := relay.Freshness{relay.Endpoints: asOf(made, resp.AgeMs), relay.DesiredState: asOf(made, resp.ConfigAgeMs)}
	return seen.Age(v.opt.Clock(), maxAge), v.take(peer, resp, seen)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// asOf returns the time up to which data is complete that had an age when it was sent;
// zero if the age is unknown. Known ages are sent as values above zero.
func asOf(told time.Time, ageMs int64) time.Time {
	if ageMs <= 0 {
		return time.Time{}
	}
	return told.Add(-milliseconds(ageMs))
}

// receive applies an answer from another daemon.
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

// peerVersion returns the version of the store that another daemon's endpoints are based on.
func toldVersion(resp *fleetpb.FollowResponse) storeversion.Version {
	return storeversion.Version{Generation: resp.Generation, Revision: resp.EndpointsRevision}
}

// errPeerBehind means that another daemon has not yet noticed a restore of the store from a copy.
var errPeerBehind = errors.New("the peer only has data of an older generation of the store")

// checkPeerVersion records the store's generation as received from another daemon, and returns an
// error if its endpoints are of an older generation than the local ones and cannot be used.
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

// receiveEndpoints applies another daemon's endpoints and records the position in its changes; the
// caller holds the mutex.
func (v *View) takeFrom(now time.Time, peer fleetpb.Fleet, resp *fleetpb.FollowResponse, seen relay.Freshness) (kept []string) {
	if now.Sub(seen[relay.Endpoints]) < v.part(stalePart) {
		v.noteOutage(now, toldVersion(resp))
	}
	kept, whole := v.takeEndpoints(now, resp)
	v.upstream = upstreamState{peer: peer, source: resp.Source, change: resp.Change, heard: resp.Heard, version: resp.ConfigVersion}
	if resp.Whole && !whole {
		// Without a position in the changes there, the next answer is a list again.
		// Otherwise, the removal of an entry that only other daemons kept would
		// never be reported.
		v.upstream.source = ""
	}
	taken := seen
	if v.version() < resp.ConfigVersion {
		taken[relay.DesiredState] = time.Time{} // only its version has been received
		v.catchUpSoon()
	}
	v.source.Receive(now, seen, taken)
	return kept
}

// applyEndpoints applies another daemon's endpoints; the caller holds the mutex. Entries that
// it keeps although the store no longer has them count as missing here as well. It returns the
// ids that are kept here, and whether a whole list was applied: it is not if newer data has
// arrived from another daemon since it was requested.
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

// wakeCatchUp wakes RunCatchUp.
func (v *View) catchUpSoon() { wake.Once(v.named) }

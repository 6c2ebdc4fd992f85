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
	staleShare = 0.7
	pollShare  = 0.6
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
	roleCheckInterval = 500 * time.Millisecond
	// startGrace is how long a daemon that has just started waits to receive the
	// store's data from others, which takes a join and a poll. It looks for them
	// each startCheckInterval.
	startGrace         = 150 * time.Millisecond
	startCheckInterval = 20 * time.Millisecond
	// peerTimeout bounds a poll that does not wait for updates.
	peerTimeout = time.Second
)

// upstreamState describes the daemon that this one copies from.
type upstreamState struct {
	peer fleetpb.Fleet // that sent the last answer
	// source and change are the position up to which its changes have been read.
	source         string
	change         uint64
	freshnessCount uint64 // its count of freshness updates in its last answer
	// version is the version of the desired state in force there.
	version uint64
}

// RunRelay copies the store's data from upstreams until ctx ends. A watcher does so as well,
// from the watcher that reads the store's version for all.
func (v *View) RunRelay(ctx context.Context) error {
	failing := false // the last poll failed, and this has been logged
	for ctx.Err() == nil {
		watcher, order := v.opt.Upstreams()
		v.setRole(watcher, len(order) > 0)
		if len(order) == 0 {
			pause.For(ctx, v.roleCheckPause())
			continue
		}
		v.mu.Lock()
		upstream := order[v.source.Pick(len(order))]
		v.mu.Unlock()
		wait, started := min(v.shareOfBound(pollShare), maxPoll), v.opt.Clock()
		age, err := v.poll(ctx, upstream, wait, wait+pollSlack)
		if err != nil {
			v.mu.Lock()
			v.source.Failed()
			v.mu.Unlock()
		}
		failed := err != nil || age >= v.shareOfBound(staleShare)
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
func (v *View) roleCheckPause() time.Duration {
	if v.opt.Clock().Before(v.startGraceEnd) {
		return startCheckInterval
	}
	return roleCheckInterval
}

// setRole records and logs whether this daemon is a watcher, and records whether it has an upstream. A daemon that becomes a
// watcher reads the store at once, not when its copied data becomes stale, since others
// may begin to copy from it.
func (v *View) setRole(watcher, hasUpstream bool) {
	v.mu.Lock()
	v.schedule.Rely(watcher && hasUpstream)
	changed := watcher != v.watcher
	v.watcher = watcher
	if changed && watcher {
		close(v.becameWatcher)
		v.becameWatcher = make(chan struct{})
	}
	v.mu.Unlock()
	if changed {
		v.opt.Log.Info(decisions.EventStoreRole, "follows_store", watcher)
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
		Source: v.upstream.source, Change: v.upstream.change, ConfigVersion: v.desiredVersion(), EndpointsRevision: known.Revision, Generation: known.Generation,
		WaitMs: wait.Milliseconds(), Heard: v.upstream.freshnessCount,
	}
	if wait > 0 {
		req.ConfigVersion = max(req.ConfigVersion, v.upstream.version)
	}
	v.mu.Unlock()
	requestedAt := v.opt.Clock()
	resp, err := peer.Follow(ctx, req)
	if err != nil {
		v.logLate("peer", relay.Endpoints, requestedAt.Add(wait), err)
		v.opt.Log.Debug("poll of a peer failed", "error", err)
		return 0, err
	}
	answeredAt := requestedAt.Add(milliseconds(resp.HeldMs)) // or later, since the transfer of the request is not included
	v.logLate("peer", relay.Endpoints, answeredAt, nil)
	freshness := relay.Freshness{relay.Endpoints: asOf(answeredAt, resp.AgeMs), relay.DesiredState: asOf(answeredAt, resp.ConfigAgeMs)}
	return freshness.Age(v.opt.Clock(), maxAge), v.receive(peer, resp, freshness)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// asOf returns the time up to which data is complete that had an age when it was sent;
// zero if the age is unknown. Known ages are sent as values above zero.
func asOf(sentAt time.Time, ageMs int64) time.Time {
	if ageMs <= 0 {
		return time.Time{}
	}
	return sentAt.Add(-milliseconds(ageMs))
}

// receive applies an answer from another daemon.
func (v *View) receive(peer fleetpb.Fleet, resp *fleetpb.FollowResponse, freshness relay.Freshness) error {
	if len(resp.PackedConfig) > 0 {
		raw, err := unpack(resp.PackedConfig)
		if err == nil {
			err = v.adoptDesired(raw, "peer", peerVersion(resp))
		}
		if err != nil {
			return err
		}
	}
	if err := v.checkPeerVersion(resp); err != nil {
		return err
	}
	v.update("peer", func(now time.Time) []string { return v.receiveEndpoints(now, peer, resp, freshness) })
	return nil
}

// peerVersion returns the version of the store that another daemon's endpoints are based on.
func peerVersion(resp *fleetpb.FollowResponse) storeversion.Version {
	return storeversion.Version{Generation: resp.Generation, Revision: resp.EndpointsRevision}
}

// errPeerBehind means that another daemon has not yet noticed a restore of the store from a copy.
var errPeerBehind = errors.New("the peer only has data of an older generation of the store")

// checkPeerVersion records the store's generation as received from another daemon, and returns an
// error if its endpoints are of an older generation than the local ones and cannot be used.
func (v *View) checkPeerVersion(resp *fleetpb.FollowResponse) error {
	received := peerVersion(resp)
	generation := max(received.Generation, resp.HighestGeneration)
	v.opt.Generations.Observe(generation, "peer")
	v.mu.Lock()
	v.observeGeneration(v.opt.Clock(), generation)
	known := v.registry.Version()
	v.mu.Unlock()
	if received.Generation < known.Generation {
		v.recordDiscarded("peer", relay.Endpoints, received, known)
		return errPeerBehind
	}
	return nil
}

// receiveEndpoints applies another daemon's endpoints and records the position in its changes; the
// caller holds the mutex.
func (v *View) receiveEndpoints(now time.Time, peer fleetpb.Fleet, resp *fleetpb.FollowResponse, freshness relay.Freshness) (kept []string) {
	if now.Sub(freshness[relay.Endpoints]) < v.shareOfBound(staleShare) {
		v.observeOutage(now, peerVersion(resp))
	}
	kept, whole := v.applyEndpoints(now, resp)
	v.upstream = upstreamState{peer: peer, source: resp.Source, change: resp.Change, freshnessCount: resp.Heard, version: resp.ConfigVersion}
	if resp.Whole && !whole {
		// Without a position in the changes there, the next answer is a list again.
		// Otherwise, the removal of an entry that only other daemons kept would
		// never be reported.
		v.upstream.source = ""
	}
	applied := freshness
	if v.desiredVersion() < resp.ConfigVersion {
		applied[relay.DesiredState] = time.Time{} // only its version has been received
		if !v.watcher {
			v.wakeCatchUp()
		}
	}
	v.source.Receive(now, freshness, applied)
	if v.watcher {
		v.schedule.ObserveShared(applied.Oldest())
	}
	return kept
}

// applyEndpoints applies another daemon's endpoints; the caller holds the mutex. Entries that
// it keeps although the store no longer has them count as missing here as well. It returns the
// ids that are kept here, and whether a whole list was applied: it is not if newer data has
// arrived from another daemon since it was requested.
func (v *View) applyEndpoints(now time.Time, resp *fleetpb.FollowResponse) (kept []string, whole bool) {
	list, removed, until, version := fromWire(resp.Endpoints), resp.Gone, v.outage.GraceUntil(), peerVersion(resp)
	present := list[:0]
	for _, e := range list {
		if e.Missing {
			removed = append(removed, e.ID)
		} else {
			present = append(present, e)
		}
	}
	if resp.Whole {
		whole = !version.Before(v.registry.Version())
		return v.registry.List(now, present, version, until), whole
	}
	for _, e := range present {
		v.registry.Put(e, version)
	}
	for _, id := range removed {
		kept = append(kept, v.registry.Remove(now, id, version, until)...)
	}
	return kept, false
}

// wakeCatchUp wakes RunCatchUp.
func (v *View) wakeCatchUp() { wake.Once(v.catchUpPending) }

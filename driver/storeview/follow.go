package storeview

import (
	"context"
	"errors"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const (
	// gatherShare is the share of the propagation bound for which changes of the
	// endpoints gather, so that changes which arrive together cost one call.
	gatherShare = 0.2
	// refreshShare is the share of the propagation bound after which the watches end
	// and the store's version has been read: a watch that has become unresponsive
	// must be detected before the platform expects this daemon to be up to date
	// again, and at staleShare, followers of this daemon would change to another
	// upstream.
	refreshShare = 0.58
	// maxRefresh bounds this time if the propagation bound is long: the platform's
	// windows do not grow with it.
	maxRefresh = 1600 * time.Millisecond
	// proofPatience is how long a watcher waits for the news of the watcher that reads the
	// store's version for all before it reads it itself.
	proofPatience = 150 * time.Millisecond
	// minLead and maxLead bound the time by which the store's version is read before
	// the watches end.
	minLead = 50 * time.Millisecond
	maxLead = 400 * time.Millisecond
	// maxSlack is how long after its end a slow store may begin to answer a watch
	// before the watch counts as failed. It is shorter, but at least minSlack, where
	// the list that follows a failed watch would otherwise begin later than
	// relistShare, a share of the propagation bound, after the watch.
	maxSlack    = 600 * time.Millisecond
	minSlack    = 250 * time.Millisecond
	relistShare = 0.85
	// minRetry is the pause after a failed call; it doubles up to maxRetry with
	// each further failure, since failed calls are charged as well.
	minRetry = 250 * time.Millisecond
	maxRetry = time.Second
	// emptyRetry is the pause between reads while there is no desired state yet.
	emptyRetry = 200 * time.Millisecond
	// lateAnswer is the delay after which an answer is logged as late: many times
	// the round-trip time to the store or to another daemon.
	lateAnswer = 300 * time.Millisecond
)

// RunDesiredState follows the desired state until ctx ends.
func (v *View) RunDesiredState(ctx context.Context) error {
	return v.follow(ctx, v.desiredFollower, relay.DesiredState, v.readDesired, v.watchDesired)
}

// RunEndpoints follows the endpoints until ctx ends.
func (v *View) RunEndpoints(ctx context.Context) error {
	return v.follow(ctx, v.endpointsFollower, relay.Endpoints, v.listEndpoints, v.watchEndpoints)
}

// follow carries out the actions that a Follower returns.
func (v *View) follow(ctx context.Context, f *discovery.Follower, kind relay.Kind, list, watch func(context.Context) error) error {
	for ctx.Err() == nil {
		if until, becameWatcher := v.relayedUntil(f, kind); v.opt.Clock().Before(until) {
			pause.Until(ctx, time.Now().Add(until.Sub(v.opt.Clock())), becameWatcher)
			continue
		}
		v.mu.Lock()
		action, until := f.Next(v.opt.Clock())
		failing := f.FailingSince()
		v.mu.Unlock()
		var err error
		switch action {
		case discovery.Wait:
			pause.For(ctx, until.Sub(v.opt.Clock()))
			continue
		case discovery.List:
			err = list(ctx)
		case discovery.Watch:
			err = watch(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		v.recordOutcome(f, kind, failing, err)
	}
	return nil
}

// logLate logs an answer that arrived long after it was due: its content may be older by
// the same time.
func (v *View) logLate(from string, kind relay.Kind, due time.Time, err error) {
	if late := v.opt.Clock().Sub(due); late >= lateAnswer {
		v.opt.Log.Info(decisions.EventLateAnswer, "from", from, "of", kind.String(), "late_ms", late.Milliseconds(), "error", err)
	}
}

// relayedUntil returns the time until which a Follower may be suspended because this
// daemon receives the same data from another one, zero if it may not, and a channel that
// is closed if this daemon becomes a watcher before.
func (v *View) relayedUntil(f *discovery.Follower, kind relay.Kind) (until time.Time, becameWatcher <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, until := v.opt.Clock(), v.source.FreshUntil(kind)
	if until.IsZero() {
		return v.startGraceEnd, nil // no peer has sent any data yet
	}
	if v.watcher {
		return time.Time{}, nil
	}
	if !now.Before(until) {
		return until, nil
	}
	if failing := f.FailingSince(); !failing.IsZero() {
		v.opt.Log.Info(decisions.EventDependencyRegained, "dependency", "store", "of", kind.String(), "through", "peer", "after_ms", now.Sub(failing).Milliseconds())
	}
	f.Suspend()
	return until, v.becameWatcher
}

// recordOutcome records the outcome of a call and logs the loss and return of the store.
func (v *View) recordOutcome(f *discovery.Follower, kind relay.Kind, failing time.Time, err error) {
	now := v.opt.Clock()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, errProofLate):
		f.Relist()
	case errors.Is(err, discovery.ErrHistoryLost):
		f.HistoryLost(now)
		v.opt.Log.Info(decisions.EventDependencyLost, "dependency", "store history", "of", kind.String(), "since_revision", f.Since())
	case err != nil:
		f.Failed(now)
		if failing.IsZero() {
			v.opt.Log.Warn(decisions.EventDependencyLost, "dependency", "store", "of", kind.String(), "error", err, "revision", f.Since())
		}
	case !failing.IsZero():
		v.opt.Log.Info(decisions.EventDependencyRegained, "dependency", "store", "of", kind.String(), "after_ms", now.Sub(failing).Milliseconds(), "revision", f.Since())
	}
}

func (v *View) listEndpoints(ctx context.Context) error {
	requestedAt := v.opt.Clock()
	list, stored, unusable, err := v.opt.Store.ListEndpoints(ctx)
	v.logLate("store", relay.Endpoints, requestedAt, err)
	if err == nil {
		err = v.checkStoreVersion(stored, relay.Endpoints)
	}
	if err != nil {
		return err
	}
	var fresh []discovery.Unusable
	v.update("store", func(now time.Time) (kept []string) {
		v.observeOutage(now, stored)
		fresh = v.recordUnusable(unusable, stored)
		v.pruneUnusable(unusable)
		v.endpointsFollower.Listed(requestedAt, now, stored)
		v.observeCheckpoint(discovery.Checkpoint{RequestedAt: requestedAt, ReceivedAt: now, Version: stored})
		return v.registry.List(now, list, stored, v.outage.GraceUntil())
	})
	v.logUnusable(fresh)
	return nil
}

// observeOutage updates the outage state for an answer of the store as of a version, received from
// the store or through another daemon. It must be called before the answer is applied; the caller
// holds the mutex.
func (v *View) observeOutage(now time.Time, stored storeversion.Version) {
	v.outage.ObserveAnswer(now, v.freshness()[relay.Endpoints], v.endpointsFollower.Failures())
	if known := v.registry.Version(); known.Generation < stored.Generation && !known.Absent() {
		v.outage.ObserveRestore(now)
	}
}

// errOlderGeneration means that an answer dates from before a restore of the store that this daemon
// already knows of.
var errOlderGeneration = errors.New("the answer is of an older generation of the store")

// checkStoreVersion records the version of an answer of the store, and returns an error if the answer
// is of an older generation than the highest known one and cannot be used.
func (v *View) checkStoreVersion(stored storeversion.Version, of relay.Kind) error {
	v.opt.Generations.Observe(stored.Generation, "store")
	v.mu.Lock()
	v.observeGeneration(v.opt.Clock(), stored.Generation)
	v.mu.Unlock()
	if highest := v.opt.Generations.Highest(); stored.Generation < highest {
		v.recordDiscarded("store", of, stored, storeversion.Version{Generation: highest})
		return errOlderGeneration
	}
	return nil
}

// checkContinuity returns an error if the answer to a watch that started from a version does not
// contain all changes since then.
func (v *View) checkContinuity(since, stored storeversion.Version, of relay.Kind) error {
	if err := v.checkStoreVersion(stored, of); err != nil {
		return err
	}
	if stored.Generation != since.Generation {
		return discovery.ErrHistoryLost
	}
	return nil
}

func (v *View) watchEndpoints(ctx context.Context) error {
	w := v.beginWatch(v.endpointsFollower, relay.Endpoints)
	var changes []discovery.Change
	err := v.watch(ctx, w, relay.Endpoints, func(ctx context.Context) (stored storeversion.Version, err error) {
		changes, stored, err = v.opt.Store.WatchEndpoints(ctx, w.since, w.wait, v.slack(w.wait))
		return stored, err
	})
	if err != nil {
		return err
	}
	var fresh []discovery.Unusable
	v.update("store", func(now time.Time) (kept []string) {
		kept, fresh = v.applyChanges(now, changes)
		v.observeWatch(w, relay.Endpoints, len(changes) > 0)
		return kept
	})
	v.logUnusable(fresh)
	return nil
}

// applyChanges applies the changes from a watch to the registry, and returns the entries that
// are kept although the store no longer has them, and the entries that have newly become
// unusable; the caller holds the mutex.
func (v *View) applyChanges(now time.Time, changes []discovery.Change) (kept []string, fresh []discovery.Unusable) {
	until := v.outage.GraceUntil() // a watch follows a list, which ends an outage
	for _, c := range changes {
		switch {
		case c.Removed:
			delete(v.unusable, c.ID)
			kept = append(kept, v.registry.Remove(now, c.ID, c.Version, until)...)
		case c.Unusable != nil:
			fresh = append(fresh, v.recordUnusable([]discovery.Unusable{*c.Unusable}, c.Version)...)
		default:
			delete(v.unusable, c.ID)
			v.registry.Put(c.Endpoint, c.Version)
		}
	}
	return kept, fresh
}

// logKept logs entries that are kept although the store no longer has them, because they may
// only have lapsed during an outage of the store.
func (v *View) logKept(ids []string) {
	if len(ids) == 0 {
		return
	}
	v.mu.Lock()
	left := v.outage.GraceUntil().Sub(v.opt.Clock())
	v.mu.Unlock()
	v.opt.Log.Info(decisions.EventMissingEndpointKept, "endpoints", ids, "for_ms", left.Milliseconds())
}

package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// storeWatch is one call that watches a kind of object. A read of the store's version accompanies
// it, as the answer to a watch alone does not prove how old it is.
type storeWatch struct {
	follower        *discovery.Follower
	requestedAt     time.Time
	since           storeversion.Version
	wait            time.Duration // for a change
	checkpointAfter time.Duration // part of the wait after which the store's version is read
	stored          storeversion.Version
}

// newSchedule returns the schedule of the watches and of the reads of the store's version.
func (v *View) newSchedule() *discovery.Schedule {
	return discovery.NewSchedule(discovery.ScheduleOptions{
		Interval: min(v.shareOfBound(refreshShare), maxRefresh), MinLead: minLead, MaxLead: maxLead, Patience: proofPatience,
	})
}

// beginWatch returns a watch that is to be requested now.
func (v *View) beginWatch(f *discovery.Follower) *storeWatch {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := &storeWatch{follower: f, requestedAt: v.opt.Clock(), since: f.Since()}
	w.wait, w.checkpointAfter = v.schedule.Plan(w.requestedAt)
	return w
}

// slack returns how long after its end the store may begin to answer a watch.
func (v *View) slack(wait time.Duration) time.Duration {
	return min(maxSlack, max(minSlack, v.shareOfBound(relistShare)-minRetry-wait))
}

// watch makes the call of a watch, and reads the store's version when it is due. A failed read ends
// the watch: its connection may be as unresponsive.
func (v *View) watch(ctx context.Context, w *storeWatch, of relay.Kind, call func(context.Context) (storeversion.Version, error)) error {
	watchCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	// The read also takes place if the watch has ended by then: the next one needs it.
	time.AfterFunc(w.checkpointAfter, func() {
		if err := v.readCheckpoint(ctx); err != nil {
			end(err)
		}
	})
	stored, err := call(watchCtx)
	if cause := context.Cause(watchCtx); err != nil && cause != nil {
		err = cause
	}
	v.logLate("store", of, w.requestedAt.Add(w.wait), err)
	w.stored = stored
	if err != nil {
		return err
	}
	return v.checkContinuity(w.since, stored, of)
}

// observeWatch passes the answer of a watch, which has been applied, to its follower; the caller
// holds the mutex.
func (v *View) observeWatch(w *storeWatch, of relay.Kind, changed bool) {
	sound := w.follower.Watched(discovery.WatchAnswer{RequestedAt: w.requestedAt, ReceivedAt: v.opt.Clock(), Wait: w.wait, Version: w.stored, Changed: changed})
	if !v.schedule.Relies() {
		w.follower.EndPauseBy(v.schedule.Due()) // all daemons wait for the proof that these changes are all
	}
	if !sound {
		v.opt.Log.Warn(decisions.EventDependencyLost, "dependency", "store watch", "of", of.String(), "since_revision", w.since, "revision", w.stored)
	}
}

// readCheckpoint reads the store's version, unless it has been read since it was due or this daemon
// has ceased to watch the store. Concurrent reads share one call.
func (v *View) readCheckpoint(ctx context.Context) error {
	_, err, _ := v.reads.Do("version", func() (any, error) {
		v.mu.Lock()
		requestedAt, due := v.opt.Clock(), v.schedule.Due()
		watching := v.endpointsFollower.Watching() || v.desiredFollower.Watching()
		v.mu.Unlock()
		if ctx.Err() != nil || !watching || requestedAt.Before(due) {
			return nil, nil
		}
		stored, err := v.opt.Store.CurrentVersion(ctx)
		if err == nil {
			err = v.checkStoreVersion(stored, relay.DesiredState)
		}
		if err != nil {
			return nil, err
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.observeCheckpoint(discovery.Checkpoint{RequestedAt: requestedAt, ReceivedAt: v.opt.Clock(), Version: stored}) {
			v.notify()
		}
		return nil, nil
	})
	return err
}

// observeCheckpoint records a version of the store as of a time. It reports whether this proves that
// any of the data is newer than known before; the caller holds the mutex.
func (v *View) observeCheckpoint(c discovery.Checkpoint) (advanced bool) {
	v.schedule.Observe(c)
	for _, f := range []*discovery.Follower{v.endpointsFollower, v.desiredFollower} {
		advanced = f.Observe(c) || advanced
	}
	return advanced
}

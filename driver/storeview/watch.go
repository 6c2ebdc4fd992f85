package storeview

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// storeWatch is one call that watches a kind of object. A read of the store's version accompanies
// it, as the answer to a watch alone does not prove how old it is.
type storeWatch struct {
	follower        *discovery.Follower
	requestedAt     time.Time
	since           storeversion.Version
	wait            time.Duration // for a change
	checkpointAfter time.Duration // time after which the store's version is read
	stored          storeversion.Version
}

// newSchedule returns the schedule of the watches and of the reads of the store's version.
func (v *View) newSchedule() *discovery.Schedule {
	return discovery.NewSchedule(discovery.ScheduleOptions{
		Interval: min(v.shareOfBound(refreshShare), maxRefresh), MinLead: minLead, MaxLead: maxLead, Patience: proofPatience,
	})
}

// beginWatch returns a watch that is to be requested now.
func (v *View) beginWatch(f *discovery.Follower, of relay.Kind) *storeWatch {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := &storeWatch{follower: f, requestedAt: v.opt.Clock(), since: f.Since()}
	w.wait, w.checkpointAfter = v.schedule.Plan(w.requestedAt, v.freshness()[of])
	return w
}

// slack returns how long after its end the store may begin to answer a watch.
func (v *View) slack(wait time.Duration) time.Duration {
	return min(maxSlack, max(minSlack, v.shareOfBound(relistShare)-minRetry-wait))
}

// watch makes the call of a watch, and reads the store's version when it is due. A failed read ends
// the watch, as its connection may be as unresponsive, and so does one that calls for a list, unless the
// answer has begun: its transfer may take long.
func (v *View) watch(ctx context.Context, w *storeWatch, of relay.Kind, call func(context.Context) (storeversion.Version, error)) error {
	var begun atomic.Bool
	watchCtx, end := context.WithCancelCause(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Store(true) }}))
	defer end(nil)
	go v.keepProven(ctx, watchCtx, w.checkpointAfter, of, func(err error) {
		if !begun.Load() {
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

// keepProven reads the store's version whenever it is due while a watch waits.
func (v *View) keepProven(ctx, watchCtx context.Context, wait time.Duration, of relay.Kind, end func(error)) {
	for ; ; wait = max(minLead, v.untilDue()) {
		if pause.For(watchCtx, wait); watchCtx.Err() != nil {
			return
		}
		err := v.readCheckpoint(ctx)
		if err == nil && v.proofLate(of) {
			err = errProofLate
		}
		if err != nil {
			end(err)
			return
		}
	}
}

// proofLate reports whether a watch of a kind is to end because it would prove the age of the data too late.
func (v *View) proofLate(of relay.Kind) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.schedule.ProofLate(v.freshness()[of])
}

// untilDue returns the time until the store's version is to be read.
func (v *View) untilDue() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.schedule.Due().Sub(v.opt.Clock())
}

// observeWatch passes the answer of a watch, which has been applied, to its follower; the caller
// holds the mutex.
func (v *View) observeWatch(w *storeWatch, of relay.Kind, changed bool) {
	now := v.opt.Clock()
	sound := w.follower.Watched(discovery.WatchAnswer{RequestedAt: w.requestedAt, ReceivedAt: now, Wait: w.wait, Version: w.stored, Changed: changed})
	if changed && of == relay.Endpoints {
		w.follower.SetPause(v.schedule.PauseEnd(now, v.shareOfBound(gatherShare)))
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

// errProofLate means that the store's version is known, and the watches would end too late to prove that all
// changes up to it have been received: the objects must be listed.
var errProofLate = errors.New("the data is behind the store's version")

// observeCheckpoint records a version of the store as of a time. It reports whether this proves that
// any of the data is newer than known before; the caller holds the mutex.
func (v *View) observeCheckpoint(c discovery.Checkpoint) (advanced bool) {
	v.schedule.Observe(c)
	for _, f := range []*discovery.Follower{v.endpointsFollower, v.desiredFollower} {
		advanced = f.Observe(c) || advanced
	}
	return advanced
}

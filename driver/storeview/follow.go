package storeview

import (
	"context"
	"errors"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// gatherPart, watchPart and configPart are parts of the time in which a
	// leaving endpoint must get no more requests. Changes of the endpoints
	// gather for the first, so that those which come together cost one call; a
	// watch of the endpoints waits for the second, one of the desired state for
	// the third: a watch that has gone silent must be noticed before the
	// platform expects this daemon to be up to date again.
	gatherPart = 0.2
	watchPart  = 0.3
	configPart = 0.6
	// watchMost and configMost bound the waits where that time is long: the
	// platform's windows do not grow with it.
	watchMost  = 900 * time.Millisecond
	configMost = 1500 * time.Millisecond
	// watchSlack is how much later than its end a watch may be answered by a
	// slow store before it counts as dead.
	watchSlack = 600 * time.Millisecond
	// retryFirst is the pause after a failed call; it doubles up to retryMost
	// with each further one, since failed calls are priced as well.
	retryFirst = 250 * time.Millisecond
	retryMost  = time.Second
	// emptyRetry is the pause while there is no desired state yet.
	emptyRetry = 200 * time.Millisecond
	// lateAnswer is how much later than asked for an answer is logged as late:
	// many times the way to the store or to another daemon and back.
	lateAnswer = 300 * time.Millisecond
	// lapseGrace is how long an entry that lapsed in an outage of the store
	// may be missing after the store's return.
	lapseGrace = 2 * time.Second
)

// RunDesiredState follows the desired state until ctx ends.
func (v *View) RunDesiredState(ctx context.Context) error {
	return v.follow(ctx, v.config, kindDesired, v.readDesired, v.watchDesired)
}

// RunEndpoints follows the endpoints until ctx ends.
func (v *View) RunEndpoints(ctx context.Context) error {
	return v.follow(ctx, v.endpoints, kindEndpoints, v.listEndpoints, v.watchEndpoints)
}

// follow does what a follower asks for.
func (v *View) follow(ctx context.Context, f *discovery.Follower, what string, list, watch func(context.Context) error) error {
	for ctx.Err() == nil {
		if until := v.relayedUntil(f, what); time.Now().Before(until) {
			pause.For(ctx, time.Until(until))
			continue
		}
		v.mu.Lock()
		action, until := f.Next(time.Now())
		failing := f.FailingSince()
		v.mu.Unlock()
		var err error
		started := time.Now()
		switch action {
		case discovery.Wait:
			pause.For(ctx, time.Until(until))
			continue
		case discovery.List:
			err = list(ctx)
			v.logLate("store", what, time.Since(started), err)
		case discovery.Watch:
			err = watch(ctx)
			v.logLate("store", what, time.Since(started)-v.watchWait(what), err)
		}
		if ctx.Err() != nil {
			return nil
		}
		v.settle(f, what, failing, err)
	}
	return nil
}

// Kinds of object that are followed, as the log names them.
const (
	kindDesired   = "desired state"
	kindEndpoints = "endpoints"
)

// watchWait returns how long a watch of a kind may wait for a change.
func (v *View) watchWait(kind string) time.Duration {
	if kind == kindDesired {
		return min(v.part(configPart), configMost)
	}
	return min(v.part(watchPart), watchMost)
}

// logLate logs an answer that took long beyond the wait that was asked for: what
// it tells may be as much older than it seems.
func (v *View) logLate(from, what string, took time.Duration, err error) {
	if took >= lateAnswer {
		v.opt.Log.Info(decisions.EventLateAnswer, "from", from, "of", what, "late_ms", took.Milliseconds(), "error", err)
	}
}

// relayedUntil returns until when a follower may rest, because this daemon
// takes what it follows from another one; zero if it may not.
func (v *View) relayedUntil(f *discovery.Follower, what string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, until := time.Now(), v.source.FreshUntil()
	if v.source.SeenAt().IsZero() {
		return v.directFrom // nobody has told anything yet
	}
	if v.watches {
		return time.Time{}
	}
	if !now.Before(until) {
		return until
	}
	if failing := f.FailingSince(); !failing.IsZero() {
		v.opt.Log.Info(decisions.EventDependencyBack, "dependency", "store", "of", what, "through", "peer", "after_ms", now.Sub(failing).Milliseconds())
	}
	f.Rest()
	return until
}

// settle records how a call ended and logs the loss and return of the store.
func (v *View) settle(f *discovery.Follower, what string, failing time.Time, err error) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, discovery.ErrHistoryLost):
		f.HistoryLost(now)
		v.opt.Log.Info(decisions.EventDependencyLost, "dependency", "store history", "of", what, "since_revision", f.Since())
	case err != nil:
		f.Failed(now)
		if failing.IsZero() {
			v.opt.Log.Warn(decisions.EventDependencyLost, "dependency", "store", "of", what, "error", err, "revision", f.Since())
		}
	case !failing.IsZero():
		v.opt.Log.Info(decisions.EventDependencyBack, "dependency", "store", "of", what, "after_ms", now.Sub(failing).Milliseconds(), "revision", f.Since())
	}
}

func (v *View) readDesired(ctx context.Context) error {
	raw, revision, err := v.opt.Store.ReadDesiredState(ctx)
	if err != nil {
		return err
	}
	if raw == nil && v.Table() == nil {
		pause.For(ctx, emptyRetry)
	}
	_ = v.adoptDesired(raw, "store", revision) // the last good one stays in force
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config.Listed(time.Now(), revision)
	return nil
}

func (v *View) watchDesired(ctx context.Context) error {
	wait := v.watchWait(kindDesired)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	raw, revision, err := v.opt.Store.WatchDesiredState(ctx, v.since(v.config), wait)
	if err != nil {
		return err
	}
	_ = v.adoptDesired(raw, "store", revision) // the last good one stays in force
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config.Watched(time.Now(), revision, raw != nil)
	return nil
}

func (v *View) since(f *discovery.Follower) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return f.Since()
}

func (v *View) listEndpoints(ctx context.Context) error {
	list, revision, unreadable, err := v.opt.Store.ListEndpoints(ctx)
	if err != nil {
		return err
	}
	v.logUnreadable(unreadable)
	v.mu.Lock()
	now := time.Now()
	failing := v.endpoints.FailingSince()
	until := v.grace(now)
	kept := v.registry.List(now, list, revision, until)
	v.endpoints.Listed(now, revision)
	v.tell()
	v.mu.Unlock()
	v.logKept(kept, now, until, failing)
	v.publish("store")
	return nil
}

// grace returns until when entries that go missing may only have lapsed while
// the store was away; the caller holds the mutex.
func (v *View) grace(now time.Time) time.Time {
	if !v.endpoints.FailingSince().IsZero() {
		v.graceUntil = now.Add(lapseGrace)
	}
	return v.graceUntil
}

func (v *View) watchEndpoints(ctx context.Context) error {
	wait := v.watchWait(kindEndpoints)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, revision, unreadable, err := v.opt.Store.WatchEndpoints(ctx, v.since(v.endpoints), wait)
	if err != nil {
		return err
	}
	v.logUnreadable(unreadable)
	v.mu.Lock()
	now := time.Now()
	failing := v.endpoints.FailingSince()
	until := v.grace(now)
	var kept []string
	for _, c := range changes {
		if c.Removed {
			kept = append(kept, v.registry.Remove(now, c.ID, c.Revision, until)...)
		} else {
			v.registry.Put(c.Endpoint, c.Revision)
		}
	}
	v.endpoints.Watched(now, revision, len(changes) > 0)
	v.tell()
	v.mu.Unlock()
	v.logKept(kept, now, until, failing)
	v.publish("store")
	return nil
}

// logKept logs entries that the store does not have and that are kept, because
// they may only have lapsed while it was away.
func (v *View) logKept(ids []string, now, until, failing time.Time) {
	if len(ids) == 0 {
		return
	}
	failed := int64(0)
	if !failing.IsZero() {
		failed = now.Sub(failing).Milliseconds()
	}
	v.opt.Log.Info(decisions.EventEndpointKept, "endpoints", ids, "for_ms", until.Sub(now).Milliseconds(), "store_failed_for_ms", failed)
}

func (v *View) logUnreadable(unreadable []error) {
	for _, err := range unreadable {
		v.opt.Log.Error(decisions.EventEndpointRejected, "error", err)
	}
}

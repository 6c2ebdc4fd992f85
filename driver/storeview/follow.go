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
	// gatherPart, watchPart and configPart are parts of the time in which a
	// change must be in force. Changes of the endpoints gather for the first, so
	// that those which come together cost one call; a watch of the endpoints
	// waits for the second, one of the desired state for the third: a watch that
	// has gone silent must be noticed before the platform expects this daemon to
	// be up to date again.
	gatherPart = 0.2
	watchPart  = 0.3
	configPart = 0.6
	// watchMost and configMost bound the waits where that time is long: the
	// platform's windows do not grow with it.
	watchMost  = 900 * time.Millisecond
	configMost = 1500 * time.Millisecond
	// refreshPart and watchLeast shorten a watch after one that brought changes,
	// of which only the question's time is known: it ends before what is known is
	// older than the first, and waits for the second at least. Daemons that take
	// from this one would leave it at stalePart.
	refreshPart = 0.55
	watchLeast  = 0.1
	// watchSlack is how much later than its end a watch may begin to be answered
	// by a slow store before it counts as dead.
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
)

// RunDesiredState follows the desired state until ctx ends.
func (v *View) RunDesiredState(ctx context.Context) error {
	return v.follow(ctx, v.config, relay.DesiredState, v.readDesired, v.watchDesired)
}

// RunEndpoints follows the endpoints until ctx ends.
func (v *View) RunEndpoints(ctx context.Context) error {
	return v.follow(ctx, v.endpoints, relay.Endpoints, v.listEndpoints, v.watchEndpoints)
}

// follow does what a follower asks for.
func (v *View) follow(ctx context.Context, f *discovery.Follower, kind relay.Kind, list, watch func(context.Context) error) error {
	for ctx.Err() == nil {
		if until, role := v.relayedUntil(f, kind); v.opt.Clock().Before(until) {
			pause.Until(ctx, time.Now().Add(until.Sub(v.opt.Clock())), role)
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
		v.settle(f, kind, failing, err)
	}
	return nil
}

// beginWatch returns when a watch of a kind is asked for, how long it may wait and
// the version that it starts from.
func (v *View) beginWatch(f *discovery.Follower, kind relay.Kind) (asked time.Time, wait time.Duration, since storeversion.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	asked = v.opt.Clock()
	wait = min(v.part(watchPart), watchMost)
	if kind == relay.DesiredState {
		wait = min(v.part(configPart), configMost)
	}
	left := v.part(refreshPart) - asked.Sub(f.AsOf())
	return asked, min(wait, max(left, v.part(watchLeast))), f.Since()
}

// logLate logs an answer that came long after it was due: what it tells may be as
// much older.
func (v *View) logLate(from string, kind relay.Kind, due time.Time, err error) {
	if late := v.opt.Clock().Sub(due); late >= lateAnswer {
		v.opt.Log.Info(decisions.EventLateAnswer, "from", from, "of", kind.String(), "late_ms", late.Milliseconds(), "error", err)
	}
}

// relayedUntil returns until when a follower may rest, because this daemon
// takes what it follows from another one, zero if it may not; and a channel that is
// closed when its role changes before.
func (v *View) relayedUntil(f *discovery.Follower, kind relay.Kind) (until time.Time, role <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, until := v.opt.Clock(), v.source.FreshUntil(kind)
	if until.IsZero() {
		return v.directFrom, nil // nobody has told anything yet
	}
	if v.watches {
		return time.Time{}, nil
	}
	if !now.Before(until) {
		return until, nil
	}
	if failing := f.FailingSince(); !failing.IsZero() {
		v.opt.Log.Info(decisions.EventDependencyRegained, "dependency", "store", "of", kind.String(), "through", "peer", "after_ms", now.Sub(failing).Milliseconds())
	}
	f.Suspend()
	return until, v.roleTaken
}

// settle records how a call ended and logs the loss and return of the store.
func (v *View) settle(f *discovery.Follower, kind relay.Kind, failing time.Time, err error) {
	now := v.opt.Clock()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
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
	asked := v.opt.Clock()
	list, stored, unusable, err := v.opt.Store.ListEndpoints(ctx)
	v.logLate("store", relay.Endpoints, asked, err)
	if err == nil {
		err = v.heardStore(stored, relay.Endpoints)
	}
	if err != nil {
		return err
	}
	var fresh []discovery.Unusable
	v.takeIn("store", func(now time.Time) (kept []string) {
		v.noteOutage(now, stored)
		fresh = v.takeUnusable(unusable, stored)
		v.forgetUnusable(unusable)
		v.endpoints.Listed(asked, now, stored)
		return v.registry.List(now, list, stored, v.outage.GraceUntil())
	})
	v.logUnusable(fresh)
	return nil
}

// noteOutage takes an answer of the store as of a version, also one that another daemon tells
// of, before it changes what is known; the caller holds the mutex.
func (v *View) noteOutage(now time.Time, stored storeversion.Version) {
	v.outage.ObserveAnswer(now, v.seen()[relay.Endpoints], v.endpoints.Failures())
	if known := v.registry.Version(); known.Generation < stored.Generation && !known.Absent() {
		v.outage.ObserveRestore(now)
	}
}

// errOlderGeneration says that an answer was given by the store before it came back from a copy
// that this daemon has heard of.
var errOlderGeneration = errors.New("the answer is of an older generation of the store")

// heardStore takes the version that an answer of the store is as of, and returns why what the answer
// tells cannot be used.
func (v *View) heardStore(stored storeversion.Version, of relay.Kind) error {
	v.opt.Generations.Observe(stored.Generation, "store")
	v.mu.Lock()
	v.heardGeneration(v.opt.Clock(), stored.Generation)
	v.mu.Unlock()
	if highest := v.opt.Generations.Highest(); stored.Generation < highest {
		v.noteSetAside("store", of, stored, storeversion.Version{Generation: highest})
		return errOlderGeneration
	}
	return nil
}

// continues returns why the answer to a watch from a version, as of another one, does not tell
// all that has changed since.
func (v *View) continues(since, stored storeversion.Version, of relay.Kind) error {
	if err := v.heardStore(stored, of); err != nil {
		return err
	}
	if stored.Generation != since.Generation {
		return discovery.ErrHistoryLost
	}
	return nil
}

func (v *View) watchEndpoints(ctx context.Context) error {
	asked, wait, since := v.beginWatch(v.endpoints, relay.Endpoints)
	changes, stored, err := v.opt.Store.WatchEndpoints(ctx, since, wait, watchSlack)
	v.logLate("store", relay.Endpoints, asked.Add(wait), err)
	if err == nil {
		err = v.continues(since, stored, relay.Endpoints)
	}
	if err != nil {
		return err
	}
	var fresh []discovery.Unusable
	v.takeIn("store", func(now time.Time) (kept []string) {
		kept, fresh = v.takeChanges(now, changes)
		v.endpoints.Watched(asked, now, wait, stored, len(changes) > 0)
		return kept
	})
	v.logUnusable(fresh)
	return nil
}

// takeChanges brings what a watch has told into the registry, and returns the entries that
// are kept though the store does not have them and those that are news as unusable; the
// caller holds the mutex.
func (v *View) takeChanges(now time.Time, changes []discovery.Change) (kept []string, fresh []discovery.Unusable) {
	until := v.outage.GraceUntil() // a watch follows a list, which has ended an outage
	for _, c := range changes {
		switch {
		case c.Removed:
			delete(v.unusable, c.ID)
			kept = append(kept, v.registry.Remove(now, c.ID, c.Version, until)...)
		case c.Unusable != nil:
			fresh = append(fresh, v.takeUnusable([]discovery.Unusable{*c.Unusable}, c.Version)...)
		default:
			delete(v.unusable, c.ID)
			v.registry.Put(c.Endpoint, c.Version)
		}
	}
	return kept, fresh
}

// logKept logs entries that the store does not have and that are kept, because
// they may only have lapsed while it was away.
func (v *View) logKept(ids []string) {
	if len(ids) == 0 {
		return
	}
	v.mu.Lock()
	left := v.outage.GraceUntil().Sub(v.opt.Clock())
	v.mu.Unlock()
	v.opt.Log.Info(decisions.EventMissingEndpointKept, "endpoints", ids, "for_ms", left.Milliseconds())
}

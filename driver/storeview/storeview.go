// Package storeview keeps a daemon's local view of the platform's store: the
// desired state and the endpoints. It publishes both as immutable values. A few
// daemons, the watchers, follow the store themselves; the others are followers
// that copy both from a watcher, and read the store when the copy is too old.
package storeview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Store is the part of the platform's store that a View follows.
type Store interface {
	ListEndpoints(ctx context.Context) (list []*fleet.Endpoint, version storeversion.Version, unusable []discovery.Unusable, err error)
	ReadDesiredState(ctx context.Context) (raw []byte, version storeversion.Version, err error)
	// The watches wait for a change for up to wait, and for up to slack longer
	// until their answer begins; the transfer of the answer is bounded by its
	// size, not by time.
	WatchEndpoints(ctx context.Context, since storeversion.Version, wait, slack time.Duration) (changes []discovery.Change, version storeversion.Version, err error)
	WatchDesiredState(ctx context.Context, since storeversion.Version, wait, slack time.Duration) (raw []byte, version storeversion.Version, err error)
	// CurrentVersion returns the store's version at some time after the call began.
	CurrentVersion(ctx context.Context) (storeversion.Version, error)
}

// Options configure a View.
type Options struct {
	Store  Store
	Decode func(raw []byte) (*routing.Table, error) // decodes a desired state
	Log    *decisions.Log
	// Self identifies this process to its followers.
	Self string
	// Peer returns any other daemon, or nil if there is none.
	Peer func() fleetpb.Fleet
	// Upstreams reports whether this daemon is a watcher, and returns the daemons
	// that it may copy from, the best first; none for the watcher that reads the
	// store's version for all.
	Upstreams func() (watcher bool, order []fleetpb.Fleet)
	// PropagationBound is the time within which a change in the store must be in
	// force here: a leaving endpoint gets no more requests, and requests are
	// served by a new desired state.
	PropagationBound time.Duration
	// Heartbeat is the time between two heartbeats of an endpoint.
	Heartbeat time.Duration
	// Generations tracks the highest generation of the store; nil: the view
	// creates a tracker of its own.
	Generations *generations.Tracker
	// FirstStart declares that no daemon has run before, so that no desired state can be lost.
	FirstStart bool
	// Records holds the record of the store's generation; nil: a daemon that starts takes the store to have lost
	// nothing.
	Records record.Store
	// Metrics receives the counters; nil: they are discarded.
	Metrics tally.Scope
	// Clock must advance while the host is suspended, so that the age of the view
	// includes the suspension; nil: the system's clock.
	Clock clock.Clock
}

// View is a daemon's local view of the store. It is safe for concurrent use.
type View struct {
	opt   Options
	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[fleet.View]

	mu                sync.Mutex
	desired           *desiredContent // in force; nil before the first
	registry          *discovery.Registry
	endpointsFollower *discovery.Follower
	desiredFollower   *discovery.Follower
	schedule          *discovery.Schedule
	outage            *discovery.Outage
	proof             proof
	unusable          map[string]storeversion.Version // entries that describe no usable endpoint, by id
	startGraceEnd     time.Time                       // end of startGrace: the store is read from then on, at the latest
	watcher           bool                            // this daemon is a watcher
	source            *relay.Source
	upstream          upstreamState
	changes           *relay.ChangeLog // of this daemon's view, for its followers
	updated           chan struct{}    // closed when there is an update for followers
	notifiedFreshness relay.Freshness  // freshness when updated was last closed
	freshnessCount    uint64           // number of times that the freshness has increased
	becameWatcher     chan struct{}    // closed when this daemon becomes a watcher
	onChange          []func()
	discarded         tally.Counter

	reads          singleflight.Group // of the desired state, and of the store's version
	catchUpPending chan struct{}      // holds one element when an upstream has announced a newer desired state
	maxPeerVersion atomic.Uint64      // highest desired state version reported by followers of this daemon
}

// New returns an empty view.
func New(opt Options) *View {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.Metrics == nil {
		opt.Metrics = tally.NoopScope
	}
	if opt.Generations == nil {
		opt.Generations = generations.New(opt.Log, opt.Metrics)
	}
	v := &View{
		discarded: opt.Metrics.SubScope("view").Counter("answers_set_aside_total"),
		opt:       opt, registry: discovery.NewRegistry(opt.Heartbeat), watcher: true, changes: relay.NewChangeLog(), updated: make(chan struct{}),
		unusable: map[string]storeversion.Version{}, becameWatcher: make(chan struct{}), catchUpPending: make(chan struct{}, 1), outage: discovery.NewOutage(opt.Heartbeat),
		desiredFollower: discovery.NewFollower(discovery.FollowOptions{Retry: minRetry, MaxRetry: maxRetry}),
	}
	v.endpointsFollower = discovery.NewFollower(discovery.FollowOptions{Retry: minRetry, MaxRetry: maxRetry})
	v.schedule = v.newSchedule()
	v.source = relay.NewSource(v.shareOfBound(staleShare))
	v.startGraceEnd = v.opt.Clock().Add(startGrace)
	v.view.Store(fleet.NewView(storeversion.Version{}, nil))
	return v
}

// shareOfBound returns a share of the propagation bound.
func (v *View) shareOfBound(share float64) time.Duration {
	return time.Duration(share * float64(v.opt.PropagationBound))
}

// Table returns the desired state in force, nil before the first.
func (v *View) Table() *routing.Table { return v.table.Load() }

// Endpoints returns the current endpoints.
func (v *View) Endpoints() *fleet.View { return v.view.Load() }

// OnChange adds a function that is called after the desired state or the endpoints
// have changed. It must be called before any of the Run methods.
func (v *View) OnChange(f func()) { v.onChange = append(v.onChange, f) }

func (v *View) changed() {
	for _, f := range v.onChange {
		f()
	}
}

// adoptDesired brings a desired state into force, unless it is not newer than the
// one in force. It logs and returns the error if the state cannot be decoded.
//
// Invariant: the version in force never decreases.
func (v *View) adoptDesired(raw []byte, from string, stored storeversion.Version) error {
	if raw == nil {
		return nil
	}
	t, err := v.opt.Decode(raw)
	if err != nil {
		v.opt.Log.Error(decisions.EventDesiredRejected, "from", from, "revision", stored, "error", err)
		return err
	}
	v.mu.Lock()
	old := v.table.Load()
	if old != nil && t.Version <= old.Version {
		v.mu.Unlock()
		return nil
	}
	v.desired = &desiredContent{raw: raw}
	v.table.Store(t)
	v.notify()
	v.mu.Unlock()
	v.opt.Log.Info(decisions.EventDesiredState, "version", t.Version, "from", from, "revision", stored, "routes", t.RouteCount())
	v.logWorkspaces(old, t)
	v.changed()
	return nil
}

// logWorkspaces logs the number of workspaces if it has changed, or if several workspaces
// share keys, which operators should know.
func (v *View) logWorkspaces(old, next *routing.Table) {
	before := 0
	if old != nil {
		before = len(old.Workspaces.List())
	}
	if n, shared := len(next.Workspaces.List()), next.Workspaces.SharedKeys(); n != before || shared > 0 {
		v.opt.Log.Info(decisions.EventWorkspaces, "version", next.Version, "workspaces", n, "shared_keys", shared)
	}
}

// ObserveLeaving records that an endpoint itself has reported that it is leaving.
func (v *View) ObserveLeaving(incarnation fleet.Incarnation) {
	v.mu.Lock()
	v.registry.MarkLeaving(incarnation)
	v.mu.Unlock()
	v.publish("endpoint")
}

// notify wakes the polls of followers that wait for an update; the caller holds the mutex.
func (v *View) notify() {
	if current := v.freshness(); current.After(v.notifiedFreshness) {
		v.notifiedFreshness = current
		v.freshnessCount++
	}
	close(v.updated)
	v.updated = make(chan struct{})
}

// viewChange is a change of the view of the endpoints.
type viewChange struct{ old, next *fleet.View } // identical if nothing changed

// refresh publishes the registry's endpoints as the view; the caller holds the mutex. It must
// be called after each update of the registry before the mutex is released, so that the view
// is never older than Freshness reports.
func (v *View) refresh() viewChange {
	v.registry.Expire(v.opt.Clock())
	old := v.view.Load()
	next, changed := v.registry.View()
	if !changed {
		return viewChange{old, old}
	}
	v.view.Store(next)
	v.changes.Record(old, next)
	return viewChange{old, next}
}

// update calls apply to change the registry, publishes the result and notifies the waiting
// polls of followers. apply is called with the mutex held, and returns the ids of entries
// that are kept although the store no longer has them.
func (v *View) update(from string, apply func(now time.Time) (kept []string)) {
	v.mu.Lock()
	before := v.registry.Version()
	kept := apply(v.opt.Clock())
	c := v.refresh()
	v.notify()
	discarded := v.registry.TakeDiscarded()
	known := v.registry.Version()
	v.mu.Unlock()
	if before.Generation < known.Generation && !before.Absent() {
		v.logRestored(before, known, from, c, kept)
	}
	v.logKept(kept)
	v.logDiscarded(discarded, from, known)
	v.notifyChange(c, from)
}

// notifyChange logs a change of the view and calls the functions added by OnChange.
func (v *View) notifyChange(c viewChange, from string) {
	if c.old == c.next {
		return
	}
	v.logChange(c.old, c.next, from)
	v.logRestarted(c.old, c.next, from)
	v.changed()
}

// publish publishes the view if the registry has changed, as by the expiry of entries.
func (v *View) publish(from string) {
	v.mu.Lock()
	c := v.refresh()
	if c.old != c.next {
		v.notify()
	}
	v.mu.Unlock()
	v.notifyChange(c, from)
}

// maxLoggedIDs bounds the endpoints that one log line lists.
const maxLoggedIDs = 8

// logDiscarded counts and logs the parts of an answer that were discarded as stale.
func (v *View) logDiscarded(a discovery.Discarded, from string, known storeversion.Version) {
	if a.Empty() {
		return
	}
	v.discarded.Inc(1)
	v.opt.Log.Info(decisions.EventStaleDiscarded, "from", from, "of", relay.Endpoints.String(), "lists", a.Lists,
		"endpoints", a.Endpoints[:min(len(a.Endpoints), maxLoggedIDs)], "others", max(0, len(a.Endpoints)-maxLoggedIDs), "revision", known)
}

// recordDiscarded counts and logs an answer that is discarded as a whole because it is stale.
func (v *View) recordDiscarded(from string, of relay.Kind, received, known storeversion.Version) {
	v.discarded.Inc(1)
	v.opt.Log.Info(decisions.EventStaleDiscarded, "from", from, "of", of.String(), "lists", 1, "told", received, "revision", known)
}

// logRestored logs that the endpoints were replaced by those of a later generation of the store.
func (v *View) logRestored(before, known storeversion.Version, from string, c viewChange, kept []string) {
	changed := 0
	for id, e := range c.next.ByID {
		if o := c.old.ByID[id]; o == nil || o.Leaving != e.Leaving || !o.Incarnation().Matches(e.Incarnation()) {
			changed++
		}
	}
	v.opt.Log.Info(decisions.EventEndpointsRestored, "before", before, "revision", known, "from", from, "endpoints", len(c.next.ByID), "changed", changed, "kept", len(kept))
}

func (v *View) logChange(old, next *fleet.View, from string) {
	var added, removed, leaving []string
	for id, e := range next.ByID {
		o := old.ByID[id]
		if o == nil {
			added = append(added, id)
		}
		if e.Leaving && (o == nil || !o.Leaving) {
			leaving = append(leaving, id)
		}
	}
	for id := range old.ByID {
		if next.ByID[id] == nil {
			removed = append(removed, id)
		}
	}
	if len(added)+len(removed)+len(leaving) > 0 {
		v.opt.Log.Info(decisions.EventEndpoints, "revision", next.Version, "from", from, "come", added, "gone", removed, "leaving", leaving, "endpoints", len(next.ByID))
	}
}

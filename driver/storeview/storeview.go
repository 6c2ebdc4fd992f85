// Package storeview follows the platform's store: the desired state and the
// endpoints. It publishes both as immutable values. A few daemons follow the
// store themselves, the others take both from them, and from the store when
// what they heard is too old.
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
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Store is the platform's store as far as it is followed.
type Store interface {
	ListEndpoints(ctx context.Context) (list []*fleet.Endpoint, version storeversion.Version, unusable []discovery.Unusable, err error)
	ReadDesiredState(ctx context.Context) (raw []byte, version storeversion.Version, err error)
	// The watches wait for a change, and for slack longer until their answer
	// begins; what bounds its transfer is the size of the answer.
	WatchEndpoints(ctx context.Context, since storeversion.Version, wait, slack time.Duration) (changes []discovery.Change, version storeversion.Version, err error)
	WatchDesiredState(ctx context.Context, since storeversion.Version, wait, slack time.Duration) (raw []byte, version storeversion.Version, err error)
}

// Options configure a View.
type Options struct {
	Store  Store
	Decode func(raw []byte) (*routing.Table, error) // of a desired state
	Log    *decisions.Log
	// Self names this process to those that take from it.
	Self string
	// Peer returns any other daemon, or nil.
	Peer func() fleetpb.Fleet
	// Upstreams reports whether this daemon follows the store itself, and
	// returns whom it takes from otherwise, the best first.
	Upstreams func() (watches bool, order []fleetpb.Fleet)
	// Within is the time in which a change in the store must be in force here: a
	// leaving endpoint gets no more requests, a desired state is served by.
	PropagationBound time.Duration
	// Heartbeat is the time between two heartbeats of an endpoint.
	Heartbeat time.Duration
	// Generations keeps the highest generation of the store; nil: the view's own.
	Generations *generations.Tracker
	// Metrics takes the counters; nil: nobody does.
	Metrics tally.Scope
	// Clock goes on while the host is suspended, so that what was heard before is as old
	// as it is; nil: the system's.
	Clock clock.Clock
}

// View is safe for concurrent use.
type View struct {
	opt   Options
	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[fleet.View]

	mu         sync.Mutex
	desired    *desiredContent // in force; nil before the first
	registry   *discovery.Registry
	endpoints  *discovery.Follower
	config     *discovery.Follower
	outage     *discovery.Outage
	proof      proof
	unusable   map[string]storeversion.Version // entries that name no endpoint to use, by id
	directFrom time.Time                       // the store is asked from then on, at the latest
	watches    bool                            // this daemon follows the store itself
	source     *relay.Source
	upstream   upstreamState
	changes    *relay.ChangeLog // of this daemon's view, for those that take from it
	told       chan struct{}    // closed when there is something newer to tell
	toldSeen   relay.Freshness  // when it was closed last
	heard      uint64           // counts how often more was seen
	roleTaken  chan struct{}    // closed when this daemon begins to follow the store itself
	onChange   []func()
	setAside   tally.Counter

	reads singleflight.Group // of the desired state
	named chan struct{}      // holds one when an upstream has named a newer desired state
	asked atomic.Uint64      // highest version of a desired state that those who take from this daemon know
}

// New returns a view that knows nothing.
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
		setAside: opt.Metrics.SubScope("view").Counter("answers_set_aside_total"),
		opt:      opt, registry: discovery.NewRegistry(opt.Heartbeat), watches: true, changes: relay.NewChangeLog(), told: make(chan struct{}),
		unusable: map[string]storeversion.Version{}, roleTaken: make(chan struct{}), named: make(chan struct{}, 1), outage: discovery.NewOutage(opt.Heartbeat),
		config: discovery.NewFollower(discovery.FollowOptions{Retry: retryFirst, MaxRetry: retryMost}),
	}
	v.endpoints = discovery.NewFollower(discovery.FollowOptions{Pause: v.part(gatherPart), Retry: retryFirst, MaxRetry: retryMost})
	v.source = relay.NewSource(v.part(stalePart))
	v.directFrom = v.opt.Clock().Add(startGrace)
	v.view.Store(fleet.NewView(storeversion.Version{}, nil))
	return v
}

// part returns a part of the time in which a change must be in force.
func (v *View) part(p float64) time.Duration {
	return time.Duration(p * float64(v.opt.PropagationBound))
}

// Table returns the desired state in force, nil before the first.
func (v *View) Table() *routing.Table { return v.table.Load() }

// Endpoints returns the present endpoints.
func (v *View) Endpoints() *fleet.View { return v.view.Load() }

// OnChange adds a function that is called after either has changed. It must be
// called before Run.
func (v *View) OnChange(f func()) { v.onChange = append(v.onChange, f) }

func (v *View) changed() {
	for _, f := range v.onChange {
		f()
	}
}

// adoptDesired brings a desired state into force. It logs the error that it
// returns for one that cannot be read.
//
// Invariant: the version in force never goes back.
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
	v.tell()
	v.mu.Unlock()
	v.opt.Log.Info(decisions.EventDesiredState, "version", t.Version, "from", from, "revision", stored, "routes", t.RouteCount())
	v.logWorkspaces(old, t)
	v.changed()
	return nil
}

// logWorkspaces logs how many workspaces there are, where that has changed or operators
// should know of keys that several share.
func (v *View) logWorkspaces(old, next *routing.Table) {
	before := 0
	if old != nil {
		before = len(old.Workspaces.List())
	}
	if n, shared := len(next.Workspaces.List()), next.Workspaces.SharedKeys(); n != before || shared > 0 {
		v.opt.Log.Info(decisions.EventWorkspaces, "version", next.Version, "workspaces", n, "shared_keys", shared)
	}
}

// EndpointLeaving takes an endpoint's own word that it leaves.
func (v *View) ObserveLeaving(life fleet.Incarnation) {
	v.mu.Lock()
	v.registry.MarkLeaving(life)
	v.mu.Unlock()
	v.publish("endpoint")
}

// tell wakes those that wait for something newer; the caller holds the mutex.
func (v *View) tell() {
	if seen := v.seen(); seen.After(v.toldSeen) {
		v.toldSeen = seen
		v.heard++
	}
	close(v.told)
	v.told = make(chan struct{})
}

// viewChange is a change of the view of the endpoints.
type viewChange struct{ old, next *fleet.View } // the same where nothing changed

// refresh makes what the registry knows the view; the caller holds the mutex. Whoever
// takes what is newer into the registry does this before it lets go of the mutex: the
// view is never older than what Seen tells.
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

// takeIn lets take bring what is newer into the registry, makes it visible, and tells
// those that wait for it. take is called with the mutex held, and returns the entries
// that are kept though the store does not have them.
func (v *View) takeIn(from string, take func(now time.Time) (kept []string)) {
	v.mu.Lock()
	before := v.registry.Version()
	kept := take(v.opt.Clock())
	c := v.refresh()
	v.tell()
	aside := v.registry.TakeDiscarded()
	known := v.registry.Version()
	v.mu.Unlock()
	if before.Generation < known.Generation && !before.Absent() {
		v.logRestored(before, known, from, c, kept)
	}
	v.logKept(kept)
	v.logSetAside(aside, from, known)
	v.announce(c, from)
}

// announce logs a change of the view and tells the rest of the daemon.
func (v *View) announce(c viewChange, from string) {
	if c.old == c.next {
		return
	}
	v.logChange(c.old, c.next, from)
	v.logReborn(c.old, c.next, from)
	v.changed()
}

// publish makes a changed view visible.
func (v *View) publish(from string) {
	v.mu.Lock()
	c := v.refresh()
	if c.old != c.next {
		v.tell()
	}
	v.mu.Unlock()
	v.announce(c, from)
}

// loggedIDs bounds the endpoints that one line names.
const loggedIDs = 8

// logSetAside logs what an answer told that was older than what is known.
func (v *View) logSetAside(a discovery.Discarded, from string, known storeversion.Version) {
	if a.Empty() {
		return
	}
	v.setAside.Inc(1)
	v.opt.Log.Info(decisions.EventStaleDiscarded, "from", from, "of", relay.Endpoints.String(), "lists", a.Lists,
		"endpoints", a.Endpoints[:min(len(a.Endpoints), loggedIDs)], "others", max(0, len(a.Endpoints)-loggedIDs), "revision", known)
}

// noteSetAside counts and logs an answer that is set aside as a whole.
func (v *View) noteSetAside(from string, of relay.Kind, told, known storeversion.Version) {
	v.setAside.Inc(1)
	v.opt.Log.Info(decisions.EventStaleDiscarded, "from", from, "of", of.String(), "lists", 1, "told", told, "revision", known)
}

// logRestored logs that the endpoints were taken anew, of a later generation of the store.
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
	var come, gone, leaving []string
	for id, e := range next.ByID {
		o := old.ByID[id]
		if o == nil {
			come = append(come, id)
		}
		if e.Leaving && (o == nil || !o.Leaving) {
			leaving = append(leaving, id)
		}
	}
	for id := range old.ByID {
		if next.ByID[id] == nil {
			gone = append(gone, id)
		}
	}
	if len(come)+len(gone)+len(leaving) > 0 {
		v.opt.Log.Info(decisions.EventEndpoints, "revision", next.Version, "from", from, "come", come, "gone", gone, "leaving", leaving, "endpoints", len(next.ByID))
	}
}

// Package storeview follows the platform's store: the desired state and the
// endpoints. It publishes both as immutable values, and takes them from other
// daemons while the store turns this one away.
package storeview

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// Store is the platform's store as far as it is followed.
type Store interface {
	ListEndpoints(ctx context.Context) (list []*fleet.Endpoint, revision uint64, unreadable []error, err error)
	WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) (changes []discovery.Change, revision uint64, unreadable []error, err error)
	ReadDesiredState(ctx context.Context) (raw []byte, revision uint64, err error)
	WatchDesiredState(ctx context.Context, since uint64, wait time.Duration) (raw []byte, revision uint64, err error)
}

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
	// watchSlack is how much later than its end a watch may be answered by a
	// slow store before it counts as dead.
	watchSlack = 600 * time.Millisecond
	// retryAfter is the pause after a failed call.
	retryAfter = 250 * time.Millisecond
	// emptyRetry is the pause while there is no desired state yet.
	emptyRetry = 200 * time.Millisecond
	// lapseGrace is how long an entry that lapsed in an outage of the store
	// may be missing after the store's return.
	lapseGrace = 2 * time.Second
	// graceTick is how often entries in their grace are looked at.
	graceTick = 100 * time.Millisecond
	// peersAfter is how long the store must be silent before peers are asked,
	// and the pause between two questions.
	peersAfter = 600 * time.Millisecond
)

// Options configure a View.
type Options struct {
	Store  Store
	Decode func(raw []byte) (*routing.Table, error) // of a desired state
	Log    *decisions.Log
	// Peer returns another daemon to ask, or nil.
	Peer func() fleetpb.Fleet
	// LeaveWithin is the time in which a leaving endpoint must get no more
	// requests.
	LeaveWithin time.Duration
}

// View is safe for concurrent use.
type View struct {
	opt   Options
	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[fleet.View]

	mu         sync.Mutex
	raw        []byte // of the desired state in force
	registry   *discovery.Registry
	endpoints  *discovery.Follower
	config     *discovery.Follower
	graceUntil time.Time // entries that go missing before may only have lapsed
	onChange   []func()
}

// New returns a view that knows nothing.
func New(opt Options) *View {
	v := &View{
		opt: opt, registry: discovery.NewRegistry(),
		config: discovery.NewFollower(discovery.FollowOptions{Retry: retryAfter}),
	}
	v.endpoints = discovery.NewFollower(discovery.FollowOptions{Pause: v.part(gatherPart), Retry: retryAfter})
	v.view.Store(fleet.NewView(0, nil))
	return v
}

// part returns a part of the time in which a leaving endpoint must get no more
// requests.
func (v *View) part(p float64) time.Duration {
	return time.Duration(p * float64(v.opt.LeaveWithin))
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

// RunDesiredState follows the desired state until ctx ends.
func (v *View) RunDesiredState(ctx context.Context) error {
	return v.follow(ctx, v.config, "desired state", v.readDesired, v.watchDesired)
}

// RunEndpoints follows the endpoints until ctx ends.
func (v *View) RunEndpoints(ctx context.Context) error {
	return v.follow(ctx, v.endpoints, "endpoints", v.listEndpoints, v.watchEndpoints)
}

// follow does what a follower asks for.
func (v *View) follow(ctx context.Context, f *discovery.Follower, what string, list, watch func(context.Context) error) error {
	for ctx.Err() == nil {
		v.mu.Lock()
		action, until := f.Next(time.Now())
		failing := f.FailingSince()
		v.mu.Unlock()
		var err error
		switch action {
		case discovery.Wait:
			pause.For(ctx, time.Until(until))
			continue
		case discovery.List:
			err = list(ctx)
		case discovery.Watch:
			err = watch(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		v.settle(f, what, failing, err)
	}
	return nil
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
	v.adoptDesired(raw, "store", revision)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config.Listed(time.Now(), revision)
	return nil
}

func (v *View) watchDesired(ctx context.Context) error {
	wait := v.part(configPart)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	raw, revision, err := v.opt.Store.WatchDesiredState(ctx, v.since(v.config), wait)
	if err != nil {
		return err
	}
	v.adoptDesired(raw, "store", revision)
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

// adoptDesired brings a desired state into force.
//
// Invariant: the version in force never goes back.
func (v *View) adoptDesired(raw []byte, from string, revision uint64) {
	if raw == nil {
		return
	}
	t, err := v.opt.Decode(raw)
	if err != nil {
		v.opt.Log.Error(decisions.EventDesiredRejected, "from", from, "revision", revision, "error", err)
		return
	}
	v.mu.Lock()
	old := v.table.Load()
	if old != nil && t.Version <= old.Version {
		v.mu.Unlock()
		return
	}
	v.raw = raw
	v.table.Store(t)
	v.mu.Unlock()
	v.opt.Log.Info(decisions.EventDesiredState, "version", t.Version, "from", from, "revision", revision, "routes", t.Routes())
	v.changed()
}

func (v *View) listEndpoints(ctx context.Context) error {
	list, revision, unreadable, err := v.opt.Store.ListEndpoints(ctx)
	if err != nil {
		return err
	}
	v.logUnreadable(unreadable)
	v.mu.Lock()
	now := time.Now()
	v.registry.List(now, list, revision, v.grace(now))
	v.endpoints.Listed(now, revision)
	v.mu.Unlock()
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
	wait := v.part(watchPart)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, revision, unreadable, err := v.opt.Store.WatchEndpoints(ctx, v.since(v.endpoints), wait)
	if err != nil {
		return err
	}
	v.logUnreadable(unreadable)
	v.mu.Lock()
	now := time.Now()
	until := v.grace(now)
	for _, c := range changes {
		if c.Removed {
			v.registry.Remove(now, c.ID, c.Revision, until)
		} else {
			v.registry.Put(c.Endpoint, c.Revision)
		}
	}
	v.endpoints.Watched(now, revision, len(changes) > 0)
	v.mu.Unlock()
	v.publish("store")
	return nil
}

func (v *View) logUnreadable(unreadable []error) {
	for _, err := range unreadable {
		v.opt.Log.Error(decisions.EventEndpointRejected, "error", err)
	}
}

// EndpointLeaving takes an endpoint's own word that it leaves.
func (v *View) EndpointLeaving(id string) {
	v.mu.Lock()
	v.registry.Leave(id)
	v.mu.Unlock()
	v.publish("endpoint")
}

// publish makes a changed view visible.
func (v *View) publish(from string) {
	v.mu.Lock()
	v.registry.Expire(time.Now())
	old := v.view.Load()
	next, changed := v.registry.View()
	if changed {
		v.view.Store(next)
	}
	v.mu.Unlock()
	if !changed {
		return
	}
	v.logChange(old, next, from)
	v.changed()
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
		v.opt.Log.Info(decisions.EventEndpoints, "revision", next.Revision, "from", from, "come", come, "gone", gone, "leaving", leaving, "endpoints", len(next.ByID))
	}
}

// RunPeers drops entries whose grace is over and asks other daemons while the
// store is silent, until ctx ends.
func (v *View) RunPeers(ctx context.Context) error {
	asked := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, v.peersPause())
		v.publish("grace")
		now := time.Now()
		if now.Sub(asked) < peersAfter {
			continue
		}
		asked = now
		v.mu.Lock()
		silent := silentFor(v.endpoints, now) || silentFor(v.config, now) || v.table.Load() == nil
		v.mu.Unlock()
		if silent {
			v.askPeer(ctx)
		}
	}
	return nil
}

// peersPause is short while a grace runs, so that it ends in time.
func (v *View) peersPause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.Missing() {
		return graceTick
	}
	return peersAfter
}

func silentFor(f *discovery.Follower, now time.Time) bool {
	since := f.FailingSince()
	return !since.IsZero() && now.Sub(since) >= peersAfter
}

// peerTimeout bounds a question to another daemon.
const peerTimeout = time.Second

func (v *View) askPeer(ctx context.Context) {
	peer := v.opt.Peer()
	if peer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req := &fleetpb.StateRequest{EndpointsRevision: v.Endpoints().Revision}
	if t := v.Table(); t != nil {
		req.ConfigVersion = t.Version
	}
	resp, err := peer.State(ctx, req)
	if err != nil {
		v.opt.Log.Debug("peer did not answer", "error", err)
		return
	}
	if len(resp.Config) > 0 {
		v.adoptDesired(resp.Config, "peer", resp.EndpointsRevision)
	}
	if len(resp.Endpoints) == 0 {
		return
	}
	var list []*fleet.Endpoint
	if err := json.Unmarshal(resp.Endpoints, &list); err != nil {
		v.opt.Log.Error(decisions.EventEndpointRejected, "from", "peer", "error", err)
		return
	}
	v.mu.Lock()
	v.registry.List(time.Now(), list, resp.EndpointsRevision, time.Time{})
	v.mu.Unlock()
	v.publish("peer")
}

// State answers another daemon's question.
func (v *View) State(req *fleetpb.StateRequest) (*fleetpb.StateResponse, error) {
	v.mu.Lock()
	raw := v.raw
	seen := v.endpoints.SeenAt()
	v.mu.Unlock()
	view := v.Endpoints()
	resp := &fleetpb.StateResponse{EndpointsRevision: view.Revision, AgeMs: time.Since(seen).Milliseconds()}
	if t := v.Table(); t != nil && t.Version > req.ConfigVersion {
		resp.Config = raw
	}
	if view.Revision <= req.EndpointsRevision {
		return resp, nil
	}
	list := make([]*fleet.Endpoint, 0, len(view.ByID))
	for _, e := range view.ByID {
		list = append(list, e)
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	resp.Endpoints = encoded
	return resp, nil
}

// Silent reports whether the store has not answered for a while.
func (v *View) Silent(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return silentFor(v.endpoints, now)
}

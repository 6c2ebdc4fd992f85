// Package rollout keeps the configuration in force at one daemon: it receives new generations from
// the platform or from peers, fetches and checks the bundle, and publishes it as a snapshot. It also
// publishes which endpoints operators drain, and which ones the host list calls leaving. The rules
// of a rollout are in coordination/rollout.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	rules "github.com/doorvalve/doorvalve/coordination/rollout"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gossip"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/transport/peers"
	"github.com/doorvalve/doorvalve/transport/platform"
)

// Names of objects and facts.
const (
	PointerName   = "current" // of the object of KindConfig
	factConfig    = "config"
	drainPrefix   = "d/" // of facts: whether an operator drains an endpoint
	leavingPrefix = "e/" // of facts: whether the host list calls an endpoint leaving
	factTrue      = "1"
	factFalse     = "0"
)

const (
	watcherCount   = 3 // daemons that watch the platform, independent of the number of daemons
	watchWait      = 5 * time.Second
	rereadInterval = 10 * time.Second // for reads of the pointer beside the watch, which may lag
	hostsInterval  = time.Second
	retryDelay     = 500 * time.Millisecond
)

// Rollout adopts new generations of the configuration, and carries out operators' changes. It is safe
// for concurrent use.
type Rollout struct {
	log      *decisions.Log
	lostAt   time.Time // when the platform stopped answering; zero while it answers. Used only by watch
	platform *platform.Client
	peers    *peers.Client
	gossip   *gossip.Gossip

	current  atomic.Pointer[snapshot.Snapshot]
	onChange []func(*snapshot.Snapshot)
	wake     chan struct{}

	mu sync.Mutex // held while a generation is adopted
}

// New returns a Rollout without a configuration.
func New(log *decisions.Log, p *platform.Client, c *peers.Client, g *gossip.Gossip) *Rollout {
	r := &Rollout{log: log, platform: p, peers: c, gossip: g, wake: make(chan struct{}, 1)}
	g.OnChange(r.wakeRun)
	return r
}

// OnChange adds a function that is called with each new snapshot, before Current returns it and
// before its generation is announced to peers. OnChange must be called before Run.
func (r *Rollout) OnChange(f func(*snapshot.Snapshot)) { r.onChange = append(r.onChange, f) }

// Current returns the snapshot in force, or nil if there is none yet.
func (r *Rollout) Current() *snapshot.Snapshot { return r.current.Load() }

// wakeRun makes Run look for a new generation.
func (r *Rollout) wakeRun() { wake.Once(r.wake) }

// Run adopts new generations until ctx ends.
func (r *Rollout) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.watch(ctx) })
	wg.Go(func() { r.watchHosts(ctx) })
	for ctx.Err() == nil {
		if !r.adoptOffered(ctx) {
			pause.For(ctx, retryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		}
	}
	wg.Wait()
	return nil
}

// generation returns the generation in force, or zero.
func (r *Rollout) generation() uint64 {
	if s := r.current.Load(); s != nil {
		return s.Generation
	}
	return 0
}

// adoptOffered brings the generation of the gossiped pointer into force, if it is newer. It returns
// false if that must be tried again.
func (r *Rollout) adoptOffered(ctx context.Context) bool {
	e, ok := r.gossip.Get(factConfig)
	if !ok || !rules.Adopt(r.generation(), e.Version) {
		return true
	}
	var step rules.Step
	if json.Unmarshal(e.Value, &step) != nil || step.Generation != e.Version {
		r.log.Error(decisions.EventDesiredRejected, "from", "peer", "generation", e.Version)
		return true
	}
	content, err := r.fetch(ctx, step)
	if err != nil {
		r.log.Warn(decisions.EventBundlePending, "generation", step.Generation, "error", err)
		return false
	}
	return r.adopt(step, content)
}

// adopt checks a bundle and brings it into force, if its generation is newer. It returns false if
// that must be tried again.
func (r *Rollout) adopt(step rules.Step, content []byte) bool {
	b, err := bundle.Parse(rules.Short(step.Digest), content)
	if err != nil {
		r.log.Error(decisions.EventDesiredRejected, "from", "bundle", "generation", step.Generation, "error", err)
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !rules.Adopt(r.generation(), step.Generation) {
		return true
	}
	s := snapshot.New(step.Generation, step.Digest, content, b)
	for _, f := range r.onChange {
		f(s)
	}
	r.current.Store(s)
	r.log.Info(decisions.EventDesiredState, "generation", s.Generation, "digest", rules.Short(s.Digest))
	r.gossip.Update(func(m *membership.Member) { m.Generation = s.Generation })
	return true
}

// fetch gets the bundle of a step by its digest, from a peer that may have it in force or else from the
// platform. The digest of the content is checked, so the source need not be trusted.
func (r *Rollout) fetch(ctx context.Context, step rules.Step) ([]byte, error) {
	members := r.gossip.Members()
	start := rand.IntN(max(1, len(members)))
	for i := range members {
		m := members[(start+i)%len(members)]
		if m.Generation < step.Generation || m.ID == r.gossip.Self().ID {
			continue
		}
		resp, err := r.peers.To(m.PeerAddress).Fetch(ctx, &peerpb.FetchRequest{Digest: step.Digest})
		if err == nil && resp.Found && bundle.Digest(resp.Content) == step.Digest {
			return resp.Content, nil
		}
	}
	var text string
	if _, err := r.platform.Get(ctx, platform.KindBundle, step.Digest, &text); err != nil {
		return nil, err
	}
	if bundle.Digest([]byte(text)) != step.Digest {
		return nil, rules.Error.New("content does not match its digest")
	}
	return []byte(text), nil
}

// HandleFetch serves the Fetch call: it returns the bundle in force if that has the requested digest.
func (r *Rollout) HandleFetch(req *peerpb.FetchRequest) *peerpb.FetchResponse {
	s := r.current.Load()
	if s == nil || s.Digest != req.Digest {
		return &peerpb.FetchResponse{}
	}
	return &peerpb.FetchResponse{Found: true, Content: s.Content}
}

// publishPointer publishes a pointer that the platform has accepted to all daemons. It ignores the
// zero pointer.
func (r *Rollout) publishPointer(p rules.Pointer) {
	value, err := json.Marshal(p.Step)
	if err != nil || p.Generation == 0 {
		return
	}
	r.gossip.Set(membership.Entry{Key: factConfig, Version: p.Generation, Value: value})
	r.wakeRun()
}

// isWatcher reports whether this daemon is one of the n that watch the platform for all daemons.
func (r *Rollout) isWatcher(n int) bool {
	self := r.gossip.Self().ID
	list := membership.Rendezvous("config-watch", r.gossip.Members())
	for i := range list[:min(n, len(list))] {
		if list[i].ID == self {
			return true
		}
	}
	return len(list) == 0
}

// watch follows changes of the pointer and of drains while this daemon is a watcher or has no
// configuration. It also reads them again every rereadInterval.
func (r *Rollout) watch(ctx context.Context) {
	since, readAt := storeversion.Version{}, time.Time{}
	for ctx.Err() == nil {
		if r.generation() > 0 && !r.isWatcher(watcherCount) {
			pause.For(ctx, time.Second)
			continue
		}
		if time.Since(readAt) >= rereadInterval {
			err := r.readPointer(ctx)
			r.platformAnswered(ctx, err)
			if err != nil {
				pause.For(ctx, retryDelay)
				continue
			}
			readAt = time.Now()
		}
		w, err := r.platform.Watch(ctx, []platform.Kind{platform.KindConfig, platform.KindDrain}, since, watchWait)
		if !errors.Is(err, platform.ErrHistoryLost) {
			r.platformAnswered(ctx, err)
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			r.log.Info(decisions.EventDependencyLost, "dependency", "platform history", "of", "configuration", "since_revision", since)
			since, readAt = storeversion.Version{}, time.Time{}
			continue
		}
		if err != nil {
			readAt = time.Time{}
			pause.For(ctx, retryDelay)
			continue
		}
		since = storeversion.Version{Generation: w.Generation, Revision: w.Revision}
		for _, o := range w.Objects {
			r.handleChange(o, w.Generation)
		}
	}
}

// handleChange publishes a changed object of the watch.
func (r *Rollout) handleChange(o platform.Object, generation uint64) {
	switch o.Kind {
	case platform.KindConfig:
		var p rules.Pointer
		if json.Unmarshal(o.Value, &p) == nil {
			r.publishPointer(p)
		}
	case platform.KindDrain:
		r.publishDrain(o, generation)
	}
}

// platformAnswered logs when the platform stops answering this daemon's watch, and when it answers
// again.
func (r *Rollout) platformAnswered(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && r.lostAt.IsZero():
		r.lostAt = time.Now()
		r.log.Warn(decisions.EventDependencyLost, "dependency", "platform", "of", "configuration", "error", err, "generation", r.generation())
	case err == nil && !r.lostAt.IsZero():
		r.log.Info(decisions.EventDependencyRegained, "dependency", "platform", "of", "configuration", "after_ms", time.Since(r.lostAt).Milliseconds(), "generation", r.generation())
		r.lostAt = time.Time{}
	}
}

// readPointer reads the pointer and the drains, and publishes them. As the first watcher it also
// writes those again that a restored platform has lost. An error means that the platform did not
// answer.
func (r *Rollout) readPointer(ctx context.Context) error {
	var p rules.Pointer
	version, err := r.platform.Get(ctx, platform.KindConfig, PointerName, &p)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	r.publishPointer(p)
	if p.Generation < r.generation() && r.isWatcher(1) {
		r.restorePointer(ctx, p, version)
	}
	drains, generation, err := r.platform.List(ctx, platform.KindDrain)
	if err != nil {
		return err
	}
	r.restoreDrains(ctx, drains, generation)
	for _, o := range drains {
		r.publishDrain(o, generation)
	}
	return nil
}

// publishDrain publishes a stored drain, unless the object is older than the published fact.
func (r *Rollout) publishDrain(o platform.Object, generation uint64) {
	var drain Drain
	if o.Deleted || json.Unmarshal(o.Value, &drain) != nil {
		return
	}
	known, ok := r.gossip.Get(drainPrefix + o.Name)
	if ok && storeversion.GenerationOf(known.Version) < generation && string(known.Value) != factValue(drain.On) {
		return // the object is from the copy that the platform was restored from; see restoreDrains
	}
	r.setDrainFact(o.Name, storeversion.Version{Generation: generation, Revision: o.Version}, drain.On)
}

func (r *Rollout) setDrainFact(endpoint string, version storeversion.Version, on bool) {
	r.gossip.Set(membership.Entry{Key: drainPrefix + endpoint, Version: version.Number(), Value: []byte(factValue(on))})
}

// factValue returns the value of a fact that stands for b.
func factValue(b bool) string {
	if b {
		return factTrue
	}
	return factFalse
}

// Leaving reports whether an operator drains an endpoint, or the host list calls it leaving.
func (r *Rollout) Leaving(endpoint string) bool {
	for _, key := range []string{drainPrefix + endpoint, leavingPrefix + endpoint} {
		if e, ok := r.gossip.Get(key); ok && string(e.Value) == factTrue {
			return true
		}
	}
	return false
}

// watchHosts publishes the host list as facts, every hostsInterval until ctx ends. The first watcher
// does it for all daemons.
func (r *Rollout) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if s := r.current.Load(); s != nil && r.isWatcher(1) {
			if hosts, err := r.platform.Hosts(ctx); err == nil {
				r.publishHosts(s, hosts)
			}
		}
		pause.For(ctx, hostsInterval)
	}
}

// publishHosts publishes the endpoints whose leaving state in the host list has changed.
func (r *Rollout) publishHosts(s *snapshot.Snapshot, hosts []platform.Host) {
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.Role == platform.RoleEndpoint {
			leaving[h.Address] = h.Leaving
		}
	}
	for _, svc := range s.Bundle.Services {
		for _, e := range svc.Endpoints {
			is, listed := leaving[e.Address]
			key := leavingPrefix + e.Name
			old, known := r.gossip.Get(key)
			if !listed || factValue(is) == string(old.Value) || !known && !is {
				continue
			}
			r.gossip.Set(membership.Entry{Key: key, Version: uint64(time.Now().UnixNano()), Value: []byte(factValue(is))})
		}
	}
}

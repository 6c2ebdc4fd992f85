// Package rollout keeps the configuration in force: it learns of new
// generations from the platform or from peers, fetches and checks the bundle
// and publishes it as a snapshot.
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
	drainPrefix   = "d/" // endpoints drained by an operator
	leavingPrefix = "e/" // endpoints that the host list calls leaving
	yes           = "1"
	no            = "0"
)

const (
	watchers    = 3 // daemons that wait on the platform, whatever the fleet's size
	watchWait   = 5 * time.Second
	rereadEvery = 10 * time.Second // against a watch that lags
	hostsEvery  = time.Second
	retryWait   = 500 * time.Millisecond
)

// Rollout is safe for concurrent use.
type Rollout struct {
	log      *decisions.Log
	lostAt   time.Time // of the platform; used by the watch alone
	platform *platform.Client
	peers    *peers.Client
	gossip   *gossip.Gossip

	current  atomic.Pointer[snapshot.Snapshot]
	onChange []func(*snapshot.Snapshot)
	wake     chan struct{}

	mu sync.Mutex // adoption, one at a time
}

// New returns a driver without a configuration.
func New(log *decisions.Log, p *platform.Client, c *peers.Client, g *gossip.Gossip) *Rollout {
	r := &Rollout{log: log, platform: p, peers: c, gossip: g, wake: make(chan struct{}, 1)}
	g.OnChange(r.kick)
	return r
}

// OnChange adds a function that is called with each new snapshot, before it is
// announced. It must be called before Run.
func (r *Rollout) OnChange(f func(*snapshot.Snapshot)) { r.onChange = append(r.onChange, f) }

// Current returns the snapshot in force, or nil.
func (r *Rollout) Current() *snapshot.Snapshot { return r.current.Load() }

func (r *Rollout) kick() { wake.Once(r.wake) }

// Run adopts new generations until ctx ends.
func (r *Rollout) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.watch(ctx) })
	wg.Go(func() { r.watchHosts(ctx) })
	for ctx.Err() == nil {
		if !r.adoptOffered(ctx) {
			pause.For(ctx, retryWait)
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

func (r *Rollout) generation() uint64 {
	if s := r.current.Load(); s != nil {
		return s.Generation
	}
	return 0
}

// adoptOffered brings the gossiped pointer into force. It returns false when
// that has to be tried again.
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

// fetch gets a bundle by digest: from a peer that has it in force, or else
// from the platform. The digest is checked, so the source does not matter.
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

// HandleFetch serves the Fetch call.
func (r *Rollout) HandleFetch(req *peerpb.FetchRequest) *peerpb.FetchResponse {
	s := r.current.Load()
	if s == nil || s.Digest != req.Digest {
		return &peerpb.FetchResponse{}
	}
	return &peerpb.FetchResponse{Found: true, Content: s.Content}
}

// offer tells all daemons of a pointer that the platform has accepted.
func (r *Rollout) offer(p rules.Pointer) {
	value, err := json.Marshal(p.Step)
	if err != nil || p.Generation == 0 {
		return
	}
	r.gossip.Set(membership.Entry{Key: factConfig, Version: p.Generation, Value: value})
	r.kick()
}

// watching reports whether this daemon is one of the few that wait on the
// platform for all.
func (r *Rollout) watching(n int) bool {
	self := r.gossip.Self().ID
	list := membership.Rendezvous("config-watch", r.gossip.Members())
	for i := range list[:min(n, len(list))] {
		if list[i].ID == self {
			return true
		}
	}
	return len(list) == 0
}

// watch waits for moves of the pointer, and reads it anew now and then.
func (r *Rollout) watch(ctx context.Context) {
	since, readAt := storeversion.Version{}, time.Time{}
	for ctx.Err() == nil {
		if r.generation() > 0 && !r.watching(watchers) {
			pause.For(ctx, time.Second)
			continue
		}
		if time.Since(readAt) >= rereadEvery {
			err := r.readPointer(ctx)
			r.platformAnswered(ctx, err)
			if err != nil {
				pause.For(ctx, retryWait)
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
			pause.For(ctx, retryWait)
			continue
		}
		since = storeversion.Version{Generation: w.Generation, Revision: w.Revision}
		for _, o := range w.Objects {
			r.watched(o, w.Generation)
		}
	}
}

func (r *Rollout) watched(o platform.Object, generation uint64) {
	switch o.Kind {
	case platform.KindConfig:
		var p rules.Pointer
		if json.Unmarshal(o.Value, &p) == nil {
			r.offer(p)
		}
	case platform.KindDrain:
		r.drainFact(o, generation)
	}
}

// platformAnswered logs the loss and the return of the platform, as the daemons
// that watch it see them.
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

// readPointer reads the pointer and the drains; its error says that the
// platform did not answer.
func (r *Rollout) readPointer(ctx context.Context) error {
	var p rules.Pointer
	version, err := r.platform.Get(ctx, platform.KindConfig, PointerName, &p)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	r.offer(p)
	if p.Generation < r.generation() && r.watching(1) {
		r.restorePointer(ctx, p, version)
	}
	drains, generation, err := r.platform.List(ctx, platform.KindDrain)
	if err != nil {
		return err
	}
	r.restoreDrains(ctx, drains, generation)
	for _, o := range drains {
		r.drainFact(o, generation)
	}
	return nil
}

func (r *Rollout) drainFact(o platform.Object, generation uint64) {
	var drain Drain
	if o.Deleted || json.Unmarshal(o.Value, &drain) != nil {
		return
	}
	known, ok := r.gossip.Get(drainPrefix + o.Name)
	if ok && storeversion.GenerationOf(known.Version) < generation && string(known.Value) != flag(drain.On) {
		return // of the copy that the platform came back from; see restoreDrains
	}
	r.setDrainFact(o.Name, storeversion.Version{Generation: generation, Revision: o.Version}, drain.On)
}

func (r *Rollout) setDrainFact(endpoint string, version storeversion.Version, on bool) {
	r.gossip.Set(membership.Entry{Key: drainPrefix + endpoint, Version: version.Number(), Value: []byte(flag(on))})
}

func flag(b bool) string {
	if b {
		return yes
	}
	return no
}

// Leaving reports whether an operator or the host list takes an endpoint out.
func (r *Rollout) Leaving(endpoint string) bool {
	for _, key := range []string{drainPrefix + endpoint, leavingPrefix + endpoint} {
		if e, ok := r.gossip.Get(key); ok && string(e.Value) == yes {
			return true
		}
	}
	return false
}

// watchHosts turns the host list into facts. One daemon does it for all.
func (r *Rollout) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if s := r.current.Load(); s != nil && r.watching(1) {
			if hosts, err := r.platform.Hosts(ctx); err == nil {
				r.hostFacts(s, hosts)
			}
		}
		pause.For(ctx, hostsEvery)
	}
}

func (r *Rollout) hostFacts(s *snapshot.Snapshot, hosts []platform.Host) {
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
			if !listed || flag(is) == string(old.Value) || !known && !is {
				continue
			}
			r.gossip.Set(membership.Entry{Key: key, Version: uint64(time.Now().UnixNano()), Value: []byte(flag(is))})
		}
	}
}

// Package claimer claims idempotency keys: it finds the owner of a key's shard among the
// daemons, and runs the shards that this daemon owns. The rules are in coordination/claims.
package claimer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/coordination/claims"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/transport/peers"
	"github.com/doorvalve/doorvalve/transport/platform"
)

const (
	readRetry   = 200 * time.Millisecond  // pause before a shard is read again after an error
	callTimeout = 1500 * time.Millisecond // for a claim or release, at the calling and the called daemon
)

// Options configure a Claimer. Functions must be safe for concurrent use.
type Options struct {
	Self     string
	Platform *platform.Client
	Peers    *peers.Client
	Members  func() []membership.Member
	Config   func() bundle.Claims
	Log      hclog.Logger
}

// Claimer claims and releases idempotency keys. It is safe for concurrent use.
type Claimer struct {
	opt    Options
	mu     sync.Mutex
	shards map[uint32]*shard
}

// New returns a Claimer that has read no shard yet.
func New(opt Options) *Claimer { return &Claimer{opt: opt, shards: map[uint32]*shard{}} }

// Claim claims a key for the attempt with the id claimID. Unless it returns
// claims.Granted, the request must not be dispatched.
func (c *Claimer) Claim(ctx context.Context, key claims.Key, claimID string) claims.Outcome {
	return c.submit(ctx, key, claimID, false)
}

// Release withdraws the claim of a key. It may be called only if the request has certainly
// not run.
func (c *Claimer) Release(ctx context.Context, key claims.Key, claimID string) claims.Outcome {
	return c.submit(ctx, key, claimID, true)
}

// submit passes a claim or release to the shard's owner, and to the next candidate if the
// owner does not answer. Both may act as the owner at the same time: the conditional writes
// of the platform let only one of them succeed.
func (c *Claimer) submit(ctx context.Context, key claims.Key, claimID string, release bool) claims.Outcome {
	n := key.Shard(c.opt.Config().Shards)
	owners := membership.Rendezvous("claims/"+strconv.Itoa(int(n)), c.opt.Members())
	for _, m := range owners[:min(len(owners), 2)] {
		if m.ID == c.opt.Self {
			return c.local(ctx, n, key, claimID, release)
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := c.opt.Peers.To(m.PeerAddress).Claim(callCtx, &peerpb.ClaimRequest{Shard: n, Key: key[:], ClaimId: claimID, Release: release})
		cancel()
		if err == nil && resp.Outcome != peerpb.ClaimOutcome_UNAVAILABLE {
			return fromWire[resp.Outcome]
		}
		if ctx.Err() != nil {
			return claims.Unavailable
		}
	}
	return c.local(ctx, n, key, claimID, release)
}

var fromWire = map[peerpb.ClaimOutcome]claims.Outcome{
	peerpb.ClaimOutcome_UNAVAILABLE: claims.Unavailable,
	peerpb.ClaimOutcome_GRANTED:     claims.Granted,
	peerpb.ClaimOutcome_DUPLICATE:   claims.Duplicate,
}

var toWire = map[claims.Outcome]peerpb.ClaimOutcome{
	claims.Unavailable: peerpb.ClaimOutcome_UNAVAILABLE,
	claims.Granted:     peerpb.ClaimOutcome_GRANTED,
	claims.Duplicate:   peerpb.ClaimOutcome_DUPLICATE,
}

// HandleClaim serves the Claim call.
func (c *Claimer) HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	var key claims.Key
	if len(req.Key) != claims.KeySize {
		return &peerpb.ClaimResponse{}
	}
	copy(key[:], req.Key)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return &peerpb.ClaimResponse{Outcome: toWire[c.local(ctx, req.Shard, key, req.ClaimId, req.Release)]}
}

// local claims or releases a key in the shard of this daemon.
func (c *Claimer) local(ctx context.Context, n uint32, key claims.Key, claimID string, release bool) claims.Outcome {
	return c.shard(n).do(ctx, key, claimID, release)
}

// shard returns the shard n with the retention in force, and creates it if there is none.
func (c *Claimer) shard(n uint32) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shards[n]
	if s == nil {
		s = &shard{name: strconv.Itoa(int(n)), platform: c.opt.Platform, waiters: map[waiter]chan claims.Outcome{}}
		s.machine = claims.NewShard(claims.Options{
			Owner: c.opt.Self, Shard: n, Interval: claims.DefaultInterval, RetryWait: readRetry,
			MaxOpen: claims.DefaultMaxOpen,
		})
		c.shards[n] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetRetention(c.opt.Config().Retention.D())
	return s
}

// PlatformRestored makes each shard write again the claims that a restored platform may have
// lost. generation is that of the restored platform.
func (c *Claimer) PlatformRestored(generation uint64) {
	c.mu.Lock()
	shards := slices.Collect(maps.Values(c.shards))
	c.mu.Unlock()
	for _, s := range shards {
		s.mu.Lock()
		s.step(claims.GenerationUpdate{Generation: generation})
		s.mu.Unlock()
	}
}

// Sizes returns the number of keys held in each shard, for the state dump.
func (c *Claimer) Sizes() map[uint32]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sizes := map[uint32]int{}
	for n, s := range c.shards {
		s.mu.Lock()
		sizes[n] = s.machine.Size()
		s.mu.Unlock()
	}
	return sizes
}

// waiter identifies a claim or release whose outcome a caller waits for.
type waiter struct {
	claimID string
	release bool
}

// shard runs one claims.Shard, a state machine without I/O: it passes events to the machine
// and carries out the actions that the machine returns.
type shard struct {
	name     string
	platform *platform.Client

	mu      sync.Mutex
	machine *claims.Shard
	waiters map[waiter]chan claims.Outcome
	timer   *time.Timer
}

// do claims or releases a key, and waits for the outcome. It returns claims.Unavailable if ctx
// ends first.
func (s *shard) do(ctx context.Context, key claims.Key, claimID string, release bool) claims.Outcome {
	ch := make(chan claims.Outcome, 1)
	w := waiter{claimID, release}
	s.mu.Lock()
	s.waiters[w] = ch
	if release {
		s.step(claims.Release{Key: key, ClaimID: claimID})
	} else {
		s.step(claims.Claim{Key: key, ClaimID: claimID})
	}
	s.mu.Unlock()
	select {
	case out := <-ch:
		return out
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiters, w)
		s.mu.Unlock()
		return claims.Unavailable
	}
}

// step passes an event to the machine and carries out its actions. The caller holds the mutex.
func (s *shard) step(e claims.Event) {
	s.machine.Step(time.Now(), e)
	s.runReady()
}

// runReady carries out the actions that the machine returns. The caller holds the mutex.
func (s *shard) runReady() {
	r := s.machine.Ready(time.Now())
	switch {
	case r.Read:
		go s.read()
	case r.Write != nil:
		go s.write(*r.Write)
	}
	for _, res := range r.Results {
		w := waiter{res.ClaimID, res.Release}
		if ch := s.waiters[w]; ch != nil {
			delete(s.waiters, w)
			ch <- res.Outcome
		}
	}
	for _, ref := range r.Expired {
		go func() { _ = s.platform.Delete(context.Background(), platform.KindSegment, ref.Name) }()
	}
	s.schedule()
}

// schedule starts a timer for the time at which the machine has its next action. The caller holds
// the mutex.
func (s *shard) schedule() {
	at := s.machine.NextAt()
	if at.IsZero() || s.timer != nil {
		return
	}
	s.timer = time.AfterFunc(max(0, time.Until(at)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.runReady()
	})
}

// read reads the head and its sealed segments from the platform.
func (s *shard) read() {
	ctx := context.Background() // each call has the platform's timeout
	e := claims.ReadDone{Segments: map[string]claims.Segment{}}
	version, err := s.platform.Get(ctx, platform.KindClaim, s.name, &e.Head)
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	e.Version = version
	for _, ref := range e.Head.Sealed {
		if err != nil {
			break
		}
		var seg claims.Segment
		_, err = s.platform.Get(ctx, platform.KindSegment, ref.Name, &seg)
		e.Segments[ref.Name] = seg
	}
	e.Err = err != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(e)
}

// write creates the sealed segment, if there is one, and then updates the head.
func (s *shard) write(w claims.Write) {
	ctx := context.Background()
	out := protocol.WriteOK
	if w.Seal != nil {
		_, out = s.platform.Put(ctx, platform.KindSegment, w.SealName, s.platform.IfAbsent(), w.Seal)
	}
	var version storeversion.Version
	if out == protocol.WriteOK {
		version, out = s.platform.Put(ctx, platform.KindClaim, s.name, w.ExpectedVersion, w.Head)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(claims.WriteDone{Outcome: out, Version: version})
}

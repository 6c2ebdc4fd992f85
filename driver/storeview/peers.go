package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// graceCheckInterval is the interval at which entries in their grace period are checked.
	graceTick = 100 * time.Millisecond
	// peerFallbackDelay is how long calls to the store must have failed before
	// peers are polled, and the pause between two polls.
	peersAfter = 600 * time.Millisecond
)

// RunPeers drops entries whose grace period has ended, and polls other daemons while the store does
// not answer or has an older desired state than they have, until ctx ends.
func (v *View) RunPeers(ctx context.Context) error {
	asked := v.opt.Clock()
	for ctx.Err() == nil {
		pause.For(ctx, v.peersPause())
		v.publish("grace")
		v.confirmRevived()
		now := v.opt.Clock()
		if now.Sub(asked) < peersAfter {
			continue
		}
		asked = now
		v.mu.Lock()
		ask := silentFor(v.endpoints, now) || silentFor(v.config, now) || v.version() < max(1, v.asked.Load())
		v.mu.Unlock()
		peer := v.opt.Peer()
		if !ask || peer == nil {
			continue
		}
		_, _ = v.poll(ctx, peer, 0, peerTimeout) // logs its failure; the next poll goes to another peer
	}
	return nil
}

// relistAfterRestore requests a whole list once entries that a restored store may list for stopped
// endpoints must have lapsed.
func (v *View) confirmRevived() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.WantsList(v.opt.Clock()) {
		v.endpoints.Relist()
		v.upstream.source = "" // the next answer is a whole list
	}
}

// peerCheckPause returns the pause between two rounds of RunPeers. It is short while the registry holds
// entries with a grace period, so that they are dropped in time.
func (v *View) peersPause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.ExpiryPending() {
		return graceTick
	}
	return peersAfter
}

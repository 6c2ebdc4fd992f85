package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// graceCheckInterval is the interval at which entries in their grace period are checked.
	graceCheckInterval = 100 * time.Millisecond
	// peerFallbackDelay is how long calls to the store must have failed before
	// peers are polled, and the pause between two polls.
	peerFallbackDelay = 600 * time.Millisecond
)

// RunPeers drops entries whose grace period has ended, and polls other daemons while the store does
// not answer or has an older desired state than they have, until ctx ends.
func (v *View) RunPeers(ctx context.Context) error {
	polledAt := v.opt.Clock()
	for ctx.Err() == nil {
		pause.For(ctx, v.peerCheckPause())
		v.publish("grace")
		v.relistAfterRestore()
		now := v.opt.Clock()
		if now.Sub(polledAt) < peerFallbackDelay {
			continue
		}
		polledAt = now
		v.mu.Lock()
		poll := unresponsive(v.endpointsFollower, now) || unresponsive(v.desiredFollower, now) || v.desiredVersion() < max(1, v.maxPeerVersion.Load())
		v.mu.Unlock()
		peer := v.opt.Peer()
		if !poll || peer == nil {
			continue
		}
		_, _ = v.poll(ctx, peer, 0, peerTimeout) // logs its failure; the next poll goes to another peer
	}
	return nil
}

// relistAfterRestore requests a whole list once entries that a restored store may list for stopped
// endpoints must have lapsed.
func (v *View) relistAfterRestore() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.WantsList(v.opt.Clock()) {
		v.endpointsFollower.Relist()
		v.upstream.source = "" // the next answer is a whole list
	}
}

// peerCheckPause returns the pause between two rounds of RunPeers. It is short while the registry holds
// entries with a grace period, so that they are dropped in time.
func (v *View) peerCheckPause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.ExpiryPending() {
		return graceCheckInterval
	}
	return peerFallbackDelay
}

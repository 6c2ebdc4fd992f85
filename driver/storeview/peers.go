package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// graceTick is how often entries in their grace are looked at.
	graceTick = 100 * time.Millisecond
	// peersAfter is how long the store must be silent before peers are asked,
	// and the pause between two questions.
	peersAfter = 600 * time.Millisecond
)

// RunPeers drops entries whose grace is over, and asks other daemons while the store is silent or
// names an older desired state than they know, until ctx ends.
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
		_, _ = v.poll(ctx, peer, 0, peerTimeout) // logs its failure; another peer is next
	}
	return nil
}

// confirmRevived asks for a whole list once dead entries that a restored store names have lapsed.
func (v *View) confirmRevived() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.WantsList(v.opt.Clock()) {
		v.endpoints.Relist()
		v.upstream.source = "" // the next answer is a whole list
	}
}

// peersPause is short while the registry waits for something to end, so that it does in time.
func (v *View) peersPause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.ExpiryPending() {
		return graceTick
	}
	return peersAfter
}

package storeview

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
)

// proof tracks the time up to which the store certainly had confirmed no newer desired state than this
// daemon has. A store that was restored from a copy may have lost confirmed states until the operator has
// written them again, so its answers prove nothing until then.
type proof struct {
	generation    uint64    // of the store, the highest received
	rewrittenBy   time.Time // lost states are written again by then; answers prove nothing before
	beforeRestore time.Time // time proven before the restore, valid until then
	// lostUntil is rewrittenBy also where this daemon's first start shows that nothing is lost.
	lostUntil time.Time
	// remembered: this daemon knew an earlier generation, so it has seen the present one begin.
	remembered bool
}

// observeGeneration records the generation of the store in an answer; the caller holds the mutex.
func (v *View) observeGeneration(now time.Time, generation uint64) {
	if generation <= v.proof.generation {
		return
	}
	v.proof.lostUntil = now.Add(discovery.RestoreRewriteWindow)
	v.proof.remembered = v.proof.generation > 0
	unknown := !v.proof.remembered && !v.opt.FirstStart && v.opt.Records != nil // whether the generation has just begun
	if proven := v.provenAt(now); !proven.IsZero() || unknown || now.Before(v.proof.rewrittenBy) {
		v.proof.beforeRestore, v.proof.rewrittenBy = proven, v.proof.lostUntil
	}
	v.proof.generation = generation
}

// provenAt returns the time up to which the desired state in force was certainly the newest; the caller
// holds the mutex.
func (v *View) provenAt(now time.Time) time.Time {
	if now.Before(v.proof.rewrittenBy) {
		return v.proof.beforeRestore
	}
	return v.freshness()[relay.DesiredState]
}

// StalenessBound returns the time since the desired state in force was last certain to be the newest;
// maxAge before any data has been received.
func (v *View) StalenessBound() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opt.Clock()
	at := v.provenAt(now)
	if at.IsZero() {
		return maxAge
	}
	return now.Sub(at)
}

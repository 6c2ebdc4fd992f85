package storeview

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
)

// proof is up to when it is certain that no desired state was confirmed which this daemon does not
// have. A store that has come back from a copy may lack what it has confirmed, until the operator has
// written it again; so what it says proves nothing before.
type proof struct {
	generation uint64    // of the store, as heard last
	until      time.Time // what the restored store says proves nothing before
	frozen     time.Time // proven before the restore
}

// heardGeneration takes a generation of the store that an answer names; the caller holds the mutex.
func (v *View) heardGeneration(now time.Time, generation uint64) {
	if generation <= v.proof.generation {
		return
	}
	if seen := v.provenAt(now); !seen.IsZero() {
		v.proof.frozen, v.proof.until = seen, now.Add(discovery.RestoreRewriteWindow)
	}
	v.proof.generation = generation
}

// provenAt returns the time up to which the desired state is proven; the caller holds the mutex.
func (v *View) provenAt(now time.Time) time.Time {
	if now.Before(v.proof.until) {
		return v.proof.frozen
	}
	return v.seen()[relay.DesiredState]
}

// ProvenAge returns up to how long ago it is certain that the desired state in force was the newest;
// maxAge before the first word.
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

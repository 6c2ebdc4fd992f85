package rollout

import (
	"context"
	"encoding/json"
	"strings"

	rules "github.com/doorvalve/doorvalve/coordination/rollout"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/transport/platform"
)

// A platform that is restored from a copy has lost the rollouts and drains since that copy. Daemons
// keep the configuration and the drains in force, and the first watcher writes them again.

// restorePointer writes the pointer of the generation in force again, in place of an older one.
func (r *Rollout) restorePointer(ctx context.Context, older rules.Pointer, version storeversion.Version) {
	s := r.current.Load()
	e, ok := r.gossip.Get(factConfig)
	var step rules.Step
	if s == nil || !ok || json.Unmarshal(e.Value, &step) != nil || step.Generation != s.Generation {
		return // a newer generation is being adopted; the next read of the pointer decides
	}
	review := rules.Review{Digest: step.Digest, Author: step.Author, At: step.At, SignOffs: step.SignedBy}
	err := r.create(ctx, platform.KindBundle, step.Digest, string(s.Content))
	if err == nil {
		err = r.create(ctx, platform.KindReview, step.Digest, review)
	}
	outcome := protocol.WriteUnknown
	if err == nil {
		_, outcome = r.platform.Put(ctx, platform.KindConfig, PointerName, version, older.MoveTo(step, writeID()))
	}
	r.log.Warn(decisions.EventStateRewritten, "of", "rollout", "generation", step.Generation, "before", older.Generation, "written", outcome == protocol.WriteOK, "error", err)
}

// restoreDrains writes drains again that the restored copy lacks or holds with another value. It
// considers only facts of an older generation of the platform: later facts are changes that operators
// have made since the restore.
func (r *Rollout) restoreDrains(ctx context.Context, drains []platform.Object, generation uint64) {
	if !r.isWatcher(1) {
		return
	}
	stored := map[string]bool{}
	for _, o := range drains {
		var d Drain
		stored[o.Name] = json.Unmarshal(o.Value, &d) == nil && d.On
	}
	for _, fact := range r.gossip.Facts(drainPrefix) {
		endpoint, on := strings.TrimPrefix(fact.Key, drainPrefix), string(fact.Value) == factTrue
		if storeversion.GenerationOf(fact.Version) >= generation || stored[endpoint] == on {
			continue
		}
		err := r.SetDrain(ctx, endpoint, on, restoredBy)
		r.log.Warn(decisions.EventStateRewritten, "of", "drain", "endpoint", endpoint, "on", on, "written", err == nil, "error", err)
	}
}

// restoredBy is the author of drains that daemons have written again.
const restoredBy = "doorvalve, after a restore of the platform"

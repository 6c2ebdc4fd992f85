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

// A platform that comes back from a copy has lost what operators have rolled out and drained since.
// Daemons go on with what is in force; the first watcher writes it again.

// restorePointer writes the pointer of the generation in force again, over an older one.
func (r *Rollout) restorePointer(ctx context.Context, older rules.Pointer, version storeversion.Version) {
	s := r.current.Load()
	e, ok := r.gossip.Get(factConfig)
	var step rules.Step
	if s == nil || !ok || json.Unmarshal(e.Value, &step) != nil || step.Generation != s.Generation {
		return // a newer one is being adopted; the next look tells
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

// restoreDrains writes drains again that the copy lacks or has otherwise. Only facts of an older
// generation of the platform are: later ones are what operators have said since.
func (r *Rollout) restoreDrains(ctx context.Context, drains []platform.Object, generation uint64) {
	if !r.watching(1) {
		return
	}
	stored := map[string]bool{}
	for _, o := range drains {
		var d Drain
		stored[o.Name] = json.Unmarshal(o.Value, &d) == nil && d.On
	}
	for _, fact := range r.gossip.Facts(drainPrefix) {
		endpoint, on := strings.TrimPrefix(fact.Key, drainPrefix), string(fact.Value) == yes
		if storeversion.GenerationOf(fact.Version) >= generation || stored[endpoint] == on {
			continue
		}
		err := r.SetDrain(ctx, endpoint, on, restoredBy)
		r.log.Warn(decisions.EventStateRewritten, "of", "drain", "endpoint", endpoint, "on", on, "written", err == nil, "error", err)
	}
}

// restoredBy names the daemons as those who have written a drain again.
const restoredBy = "doorvalve, after a restore of the platform"

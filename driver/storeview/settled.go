package storeview

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/pause"
)

// A daemon that has just started cannot tell whether the generation of the store that it finds has just begun, so that
// confirmed desired states may be missing. One record in the store therefore names the latest generation that has lasted for
// discovery.RestoreRewriteWindow. A copy holds an earlier one. A watcher writes the record once in each generation.

const (
	// generationRecord is the name of the record in the store.
	generationRecord = "generation"
	// generationCheckInterval is the interval of checks while the record may have to be read at once.
	generationCheckInterval = startCheckInterval
	// generationSoon is how long after its start a daemon expects the first answer of a store that names its
	// generation; later checks are rare.
	generationSoon = 5 * time.Second
)

// settledRecord is the object in the store.
type settledRecord struct {
	Generation uint64 `json:"generation"`
}

// RunGeneration reads and writes the record of the store's generation until ctx ends.
func (v *View) RunGeneration(ctx context.Context) error {
	if v.opt.Records == nil {
		return nil
	}
	rec := record.New(v.opt.Records, v.opt.Generations, generationRecord)
	var stored settledRecord
	startedAt := v.opt.Clock()
	for ctx.Err() == nil {
		now := v.opt.Clock()
		v.mu.Lock()
		generation, lasted, pending := v.proof.generation, !now.Before(v.proof.lostUntil), now.Before(v.proof.rewrittenBy) && !v.proof.remembered
		watcher := v.watcher
		v.mu.Unlock()
		outdated := generation > 0 && stored.Generation < generation
		var err error
		switch {
		case !outdated || !rec.Due(now):
		case pending || lasted && watcher && !rec.Known():
			err = rec.Read(ctx, now, &stored)
		case lasted && watcher:
			var written bool
			if written, err = rec.Write(ctx, now, settledRecord{generation}); written {
				stored.Generation = generation
			}
		}
		if err != nil {
			v.opt.Log.Info(decisions.EventGenerationRecord, "generation", generation, "recorded", stored.Generation, "error", err)
		}
		if pending && generation > 0 && stored.Generation == generation {
			v.settle(generation)
		}
		if pending || generation == 0 && now.Sub(startedAt) < generationSoon {
			pause.For(ctx, generationCheckInterval)
		} else {
			pause.For(ctx, record.MinCallInterval)
		}
	}
	return nil
}

// settle records that a generation has lasted for discovery.RestoreRewriteWindow before this daemon started.
func (v *View) settle(generation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.proof.generation == generation {
		v.proof.rewrittenBy = v.opt.Clock()
	}
	v.opt.Log.Info(decisions.EventGenerationRecord, "generation", generation, "recorded", generation)
}

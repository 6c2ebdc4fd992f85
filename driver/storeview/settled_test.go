package storeview

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/record"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// generationRecords are records of a store that names its generation.
type generationRecords struct {
	record.Records
	store *fakeStore
}

func (r *generationRecords) named(v storeversion.Version) storeversion.Version {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	v.Generation = r.store.generation
	return v
}

func (r *generationRecords) ReadRecord(ctx context.Context, name string, v any) (storeversion.Version, error) {
	version, err := r.Records.ReadRecord(ctx, name, v)
	return r.named(version), err
}

func (r *generationRecords) WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (storeversion.Version, protocol.WriteOutcome, error) {
	version, outcome, err := r.Records.WriteRecord(ctx, name, expected, v)
	return r.named(version), outcome, err
}

// Guards against the use of revoked keys after a restart of all daemons: if the store has come back from a copy meanwhile, it
// returns a desired state of before the revocation until the operator has written again, and no daemon remembers a later one. If
// it has not, the first answer proves the desired state, whenever the daemons had started before.
func TestProofOfKeysOutlastsAllDaemons(t *testing.T) {
	for _, c := range []struct {
		name     string
		ran      time.Duration // how long the first daemons ran
		restores int           // of the store while no daemon runs
		proven   time.Duration // by when the desired state is proven after the restart
	}{
		{"store as it was", 10 * time.Second, 0, time.Second},
		{"just started", time.Second, 0, discovery.RestoreRewriteWindow + time.Second},
		{"restored", 10 * time.Second, 1, discovery.RestoreRewriteWindow + time.Second},
		{"restored twice", 10 * time.Second, 2, discovery.RestoreRewriteWindow + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(b *bubble) {
				s := newFakeStore()
				records := &generationRecords{store: s}
				s.generation = 1
				start := func(first bool) (v *View, kill context.CancelFunc) {
					life := *b
					life.ctx, kill = context.WithCancel(b.ctx)
					v = life.view(s, func(o *Options) {
						o.FirstStart, o.Records, o.Generations = first, records, generations.New(b.log, tally.NoopScope)
					})
					go func() { _ = v.RunGeneration(life.ctx) }()
					return v, kill
				}
				_, kill := start(true)
				time.Sleep(c.ran / 2)
				copied := s.copyNow()
				s.setDesired(2)
				confirmed := time.Now()
				time.Sleep(c.ran / 2)
				kill()
				for range c.restores {
					s.restore(copied)
				}
				restarted := time.Now()
				v, _ := start(false)
				if c.restores > 0 {
					time.AfterFunc(discovery.RestoreRewriteWindow-100*time.Millisecond, func() { s.setDesired(2) })
				}
				for time.Since(restarted) < 5*time.Second {
					time.Sleep(20 * time.Millisecond)
					age, table := v.StalenessBound(), v.Table()
					if table != nil && table.Version < 2 && age < time.Since(confirmed) {
						b.t.Fatalf("version 1 counts as current %v ago, version 2 was confirmed %v ago", age, time.Since(confirmed))
					}
					if time.Since(restarted) > c.proven && age > leaveWithin {
						b.t.Fatalf("the desired state is not proven %v after the restart", time.Since(restarted))
					}
				}
			})
		})
	}
}

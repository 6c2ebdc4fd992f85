package storeview

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/internal/pause"
)

// revokeWithin is the bound on the use of revoked keys, in the same proportion to leaveWithin as
// in the users' data sheets.
const revokeWithin = leaveWithin * 5 / 3

// Guards against the use of revoked keys: StalenessBound of a desired state must prove that a key
// was not revoked longer ago. Under any faults, each version that the store confirmed before the
// bound is in force, and at a daemon whose own connection to the store is without fault the bound
// stays below revokeWithin.
func TestAgeProvesTheDesiredStateUnderRandomHarms(t *testing.T) {
	for i := range *boundRuns {
		checkProof(t, *boundSeed+i, false)
	}
}

// Guards against keys that are accepted although they were revoked before a restore: the store may have
// lost the version that revoked them, and returns an older one as its newest until the operator has
// written the lost one again.
func TestAgeProvesTheDesiredStateThroughRestores(t *testing.T) {
	for i := range *boundRuns {
		checkProof(t, *boundSeed+i, true)
	}
}

// restoreDesired restores the store to an earlier version, and writes the newest one again within
// discovery.RestoreRewriteWindow.
func (f *randomFleet) restoreDesired(c storeCopy) {
	f.note(fmt.Sprintf("%v restored to version %d", time.Since(testStart), c.desiredVersion))
	f.store.setUnreachable(true)
	time.Sleep(time.Duration(f.rng.IntN(2000)) * time.Millisecond)
	f.store.restore(c)
	f.store.setUnreachable(false)
	newest, after := f.version, time.Duration(f.rng.Int64N(int64(discovery.RestoreRewriteWindow-100*time.Millisecond)))
	go func() {
		pause.For(f.ctx, after)
		f.store.mu.Lock()
		older := f.store.desiredVersion < newest
		f.store.mu.Unlock()
		if older {
			f.store.setDesired(newest)
		}
	}()
}

func checkProof(t *testing.T, seed uint64, restores bool) {
	const changes = 60
	inBubble(t, func(b *bubble) {
		f := newRandomFleet(b, seed)
		if seed%2 == 0 {
			f.store.mu.Lock()
			f.store.padding = large // announced first, and fetched afterwards
			f.store.mu.Unlock()
		}
		time.Sleep(minHealthy + 2*time.Second)
		go f.injectFaults()
		confirmed := []time.Time{1: time.Now()} // by version
		var copies []storeCopy
		for range changes {
			copies = append(copies, f.store.copyNow())
			f.version++
			f.store.setDesired(f.version)
			confirmed = append(confirmed, time.Now())
			if restores && f.rng.IntN(6) == 0 {
				time.Sleep(time.Duration(f.rng.IntN(600)) * time.Millisecond)
				f.restoreDesired(copies[max(0, len(copies)-1-f.rng.IntN(3))])
				copies = copies[:0]
			}
			for range 5 {
				time.Sleep(time.Duration(f.rng.IntN(400)) * time.Millisecond)
				for _, m := range f.members {
					healthy := m.healthy()
					age := m.peer.view.StalenessBound() // before the table, in the order in which requests read them
					version := int(m.peer.view.Table().Version)
					if version+1 < len(confirmed) && time.Since(confirmed[version+1]) > age {
						t.Errorf("seed %d: %s has version %d with a staleness bound of %v, but the next was confirmed %v ago; faults: %v", seed, m.name, version, age, time.Since(confirmed[version+1]), f.lastFaults())
						return
					}
					if healthy && !restores && age > revokeWithin {
						t.Errorf("seed %d: %s reaches the store, but its staleness bound is %v; faults: %v", seed, m.name, age, f.lastFaults())
						return
					}
				}
			}
		}
	})
}

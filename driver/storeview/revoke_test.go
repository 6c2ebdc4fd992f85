package storeview

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/internal/pause"
)

// revokeWithin is the bound on keys that were taken away beside leaveWithin, in the
// proportion of the users' sheets.
const revokeWithin = leaveWithin * 5 / 3

// The age that a daemon tells of its desired state is the proof that a key was not taken
// away: whatever happens to it and the others, each version that the store had confirmed
// longer ago is in force. And a daemon whose own way to the store is sound can give the
// proof.
func TestAgeProvesTheDesiredStateUnderRandomHarms(t *testing.T) {
	for i := range *boundRuns {
		checkProof(t, *boundSeed+i, false)
	}
}

// Guards against keys that are taken though they were taken away before a restore: the store may have
// lost the version that did, and names an older one as its newest until the operator has written again.
func TestAgeProvesTheDesiredStateThroughRestores(t *testing.T) {
	for i := range *boundRuns {
		checkProof(t, *boundSeed+i, true)
	}
}

// restoreDesired restores the store to a version of before, and writes the newest one again in time.
func (f *randomFleet) restoreDesired(c storeCopy) {
	f.note(fmt.Sprintf("%v restored to version %d", time.Since(testStart), c.config))
	f.store.setAway(true)
	time.Sleep(time.Duration(f.rng.IntN(2000)) * time.Millisecond)
	f.store.restore(c)
	f.store.setAway(false)
	newest, after := f.version, time.Duration(f.rng.Int64N(int64(discovery.RestoreRewriteWindow-100*time.Millisecond)))
	go func() {
		pause.For(f.ctx, after)
		f.store.mu.Lock()
		older := f.store.config < newest
		f.store.mu.Unlock()
		if older {
			f.store.setConfig(newest)
		}
	}()
}

func checkProof(t *testing.T, seed uint64, restores bool) {
	const changes = 60
	inBubble(t, func(b *bubble) {
		f := newRandomFleet(b, seed)
		if seed%2 == 0 {
			f.store.mu.Lock()
			f.store.padding = large // named first, and fetched afterwards
			f.store.mu.Unlock()
		}
		time.Sleep(calmBefore + 2*time.Second)
		go f.harmSome()
		confirmed := []time.Time{1: time.Now()} // by version
		var copies []storeCopy
		for range changes {
			copies = append(copies, f.store.copyNow())
			f.version++
			f.store.setConfig(f.version)
			confirmed = append(confirmed, time.Now())
			if restores && f.rng.IntN(6) == 0 {
				time.Sleep(time.Duration(f.rng.IntN(600)) * time.Millisecond)
				f.restoreDesired(copies[max(0, len(copies)-1-f.rng.IntN(3))])
				copies = copies[:0]
			}
			for range 5 {
				time.Sleep(time.Duration(f.rng.IntN(400)) * time.Millisecond)
				for _, m := range f.members {
					sound := m.sound()
					age := m.peer.view.StalenessBound() // before the table, as requests read them
					version := int(m.peer.view.Table().Version)
					if version+1 < len(confirmed) && time.Since(confirmed[version+1]) > age {
						t.Errorf("seed %d: %s has version %d and takes it for %v old, but the next was confirmed %v ago; harms: %v", seed, m.name, version, age, time.Since(confirmed[version+1]), f.lastHarms())
						return
					}
					if sound && !restores && age > revokeWithin {
						t.Errorf("seed %d: %s hears the store and cannot show that its desired state is younger than %v; harms: %v", seed, m.name, age, f.lastHarms())
						return
					}
				}
			}
		}
	})
}

package storeview

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// For more runs: go test ./driver/storeview -run TestAgeUnderRandomFaultsOfTheStore -age.runs 5000
var (
	ageRuns = flag.Uint64("age.runs", 25, "random runs of the age of a view under faults of the store")
	ageSeed = flag.Uint64("age.seed", 0, "seed of the first of these runs")
)

// views returns the views of all daemons of a pair.
func (p *pair) views() map[string]*View {
	return map[string]*View{"watcher": p.first.view, "second watcher": p.second.view, "follower": p.follower}
}

// Guards against a revoked key that is accepted after its bound (up to half a second): it was revoked in
// the second in which the store's watches heard nothing, and each of their empty answers passed for the
// state of the store at that time. The same age bounds how long a removed endpoint passes for present.
func TestDeafWatchesDoNotRenewTheAge(t *testing.T) {
	for name, deaf := range map[string]deafness{"answers as of the start of the watch": standsStill, "answers as of the last revision heard": stopped} {
		t.Run(name, func(t *testing.T) {
			atOffsets(t, func(b *bubble, offset time.Duration) {
				p := b.pair()
				p.store.setEndpoint(fleet.Endpoint{ID: "c", Service: "llm"}) // so that the revision of the watches moves once more
				time.Sleep(offset)
				p.store.setDeaf(deaf)
				changedAt := time.Now()
				p.change()
				time.Sleep(time.Second)
				p.store.setUnreachable(true)
				p.store.setDeaf(hears)
				for range 50 {
					for who, v := range p.views() {
						checkAge(t, fmt.Sprint(who, " at offset ", offset), v, relay.DesiredState, changedAt, v.Table().Version == 2)
						checkAge(t, fmt.Sprint(who, " at offset ", offset), v, relay.Endpoints, changedAt, !v.routable("a") && !v.routable("b"))
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// checkAge checks that a view whose data lacks a change is known to be as old as the change.
func checkAge(t *testing.T, who string, v *View, kind relay.Kind, changedAt time.Time, includes bool) {
	t.Helper()
	if age := v.Age(kind); !includes && age < time.Since(changedAt) {
		t.Errorf("%s: the data of the %v lacks a change of %v ago and passes for %v old", who, kind, time.Since(changedAt), age)
	}
}

// Watches that hear nothing are detected while the store is otherwise sound: the changes are read with
// a list, also if the history is never dropped.
func TestDeafWatchesAreDetected(t *testing.T) {
	for _, deaf := range []deafness{standsStill, stopped} {
		atOffsets(t, func(b *bubble, offset time.Duration) {
			p := b.pair()
			time.Sleep(offset)
			p.store.setDeaf(deaf)
			p.change()
			time.Sleep(leaveWithin - boundMargin)
			p.inForce(t)
		})
	}
}

// A sound store proves that the data is up to date, whether its revision stands still or moves because of
// other kinds of objects, and without many more calls of the watchers.
func TestSoundStoreKeepsTheAgeLow(t *testing.T) {
	const (
		checked = 20 * time.Second
		// maxCalls is the number of calls that two watchers made in this time before any of them read
		// the store's version, and a tenth.
		maxCalls = 112
	)
	for name, moves := range map[string]time.Duration{"the revision stands still": 0, "it moves": 130 * time.Millisecond, "it moves all the time": 3 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(b *bubble) {
				p := b.pair()
				before, ofFollower, maxSeen := p.watcherCalls(), p.connections[2].calls(), time.Duration(0)
				for end := time.Now().Add(checked); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if moves > 0 && time.Until(end)%moves < 10*time.Millisecond {
						p.store.setOther()
					}
					for who, v := range p.views() {
						age := max(v.Age(relay.DesiredState), v.Age(relay.Endpoints))
						maxSeen = max(maxSeen, age)
						if limit := v.shareOfBound(staleShare); age >= limit {
							t.Fatalf("%s: data %v old, followers change to another upstream at %v", who, age, limit)
						}
					}
				}
				calls := p.watcherCalls() - before
				t.Logf("%d calls, at most %v old", calls, maxSeen)
				if calls > maxCalls {
					t.Errorf("%d calls in %v, want at most %d", calls, checked, maxCalls)
				}
				if n := p.connections[2].calls() - ofFollower; n > 0 {
					t.Errorf("the follower made %d calls", n)
				}
			})
		})
	}
}

// watcherCalls returns the number of calls that the watchers have made.
func (p *pair) watcherCalls() int { return p.connections[0].calls() + p.connections[1].calls() }

// setOther writes an object of a kind that no view follows.
func (s *fakeStore) setOther() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

// A daemon never takes its data for younger than it is, whatever the store does: its watches hear nothing,
// it answers no call, it is restored from a copy, or single daemons are cut off, in series and overlapping.
func TestAgeUnderRandomFaultsOfTheStore(t *testing.T) {
	for i := range *ageRuns {
		checkAgeUnderFaults(t, *ageSeed+i)
	}
}

// checkAgeUnderFaults writes desired states while random faults disturb the store. Restores keep the newest
// desired state, as the operator writes it again.
func checkAgeUnderFaults(t *testing.T, seed uint64) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		rng := rand.New(rand.NewPCG(seed, 2))
		written := map[uint64]time.Time{}
		version := uint64(1)
		var faults []string
		between := func(low, high int) time.Duration {
			return time.Duration(low+rng.IntN(high-low)) * time.Millisecond
		}
		nextFault := time.Now()
		for range 400 {
			if rng.IntN(4) == 0 {
				version++
				p.store.setDesired(version)
				written[version] = time.Now()
			}
			if !time.Now().Before(nextFault) {
				faults = append(faults, p.randomFault(b, rng, between(100, 6000)))
				nextFault = time.Now().Add(between(50, 4000))
			}
			time.Sleep(between(5, 120))
			for who, v := range p.views() {
				age := v.Age(relay.DesiredState) // read before the version, which may change in between
				included := v.Table().Version
				for version, at := range written {
					if version > included && time.Since(at) > age {
						t.Errorf("seed %d: %s lacks version %d of %v ago and passes for %v old; faults: %v", seed, who, version, time.Since(at), age, faults[max(0, len(faults)-4):])
						return
					}
				}
			}
		}
	})
}

// randomFault begins a fault that ends after a time, and returns its name.
func (p *pair) randomFault(b *bubble, rng *rand.Rand, lasts time.Duration) string {
	var end func()
	name := ""
	switch connection := p.connections[rng.IntN(len(p.connections))]; rng.IntN(5) {
	case 0:
		name = "deaf, stands still"
		p.store.setDeaf(standsStill)
		end = func() { p.store.setDeaf(hears) }
	case 1:
		name = "deaf, stopped"
		p.store.setDeaf(stopped)
		end = func() { p.store.setDeaf(hears) }
	case 2:
		name = "unreachable"
		p.store.setUnreachable(true)
		end = func() { p.store.setUnreachable(false) }
	case 3:
		name = "one daemon cut off"
		connection.setCut(true)
		end = func() { connection.setCut(false) }
	default:
		c := p.store.copyNow()
		p.store.restore(c)
		return fmt.Sprint("restored at ", time.Since(testStart))
	}
	go func() {
		select {
		case <-time.After(lasts):
			end()
		case <-b.ctx.Done():
		}
	}()
	return fmt.Sprint(name, " at ", time.Since(testStart), " for ", lasts)
}

// slowTransfer is a store whose answers to watches of the desired state take long to arrive once they have begun,
// and whose version cannot be read meanwhile, as over a full link.
type slowTransfer struct {
	*fakeStore
	transfer     time.Duration
	transferring atomic.Int64 // answers that have begun
}

func (s *slowTransfer) WatchDesiredState(ctx context.Context, since storeversion.Version, wait, slack time.Duration) ([]byte, storeversion.Version, error) {
	raw, version, err := s.fakeStore.WatchDesiredState(ctx, since, wait, slack)
	if err != nil || raw == nil {
		return raw, version, err
	}
	s.transferring.Add(1)
	defer s.transferring.Add(-1)
	httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
	pause.For(ctx, s.transfer)
	return raw, version, ctx.Err()
}

func (s *slowTransfer) CurrentVersion(ctx context.Context) (storeversion.Version, error) {
	if s.transferring.Load() > 0 {
		return storeversion.Version{}, errUnreachable
	}
	return s.fakeStore.CurrentVersion(ctx)
}

// Guards against a desired state that is given up in the middle of its transfer because the store's version cannot
// be read beside it.
func TestAnswerInTransferIsNotGivenUp(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := &slowTransfer{fakeStore: newFakeStore(), transfer: 4 * time.Second}
		v := b.view(s, nil)
		time.Sleep(5 * time.Second)
		s.setDesired(2)
		time.Sleep(s.transfer - time.Millisecond)
		if s.transferring.Load() != 1 {
			t.Error("the transfer was given up")
		}
		time.Sleep(10 * time.Millisecond)
		if v.Table().Version != 2 {
			t.Error("the desired state is not in force")
		}
	})
}

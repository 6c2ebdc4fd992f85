package storeview

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// boundRegressions are seeds of former failures: a daemon that had reached neither the store
// nor any peer for seconds kept a removed entry when it was connected again, and its followers
// kept it as well.
var boundRegressions = []uint64{571, 1042, 1396, 1460}

// For more runs: go test ./driver/storeview -run TestBoundHolds -bound.runs 2000
var (
	boundRuns = flag.Uint64("bound.runs", 25, "random runs of each of the random tests")
	boundSeed = flag.Uint64("bound.seed", 0, "seed of the first random run")
)

const (
	// minHealthy is how long a daemon's own connection to the store must have been
	// without fault before a change for the bound to apply to it.
	minHealthy = 3 * time.Second
	// boundMargin is the margin to the bound, in which requests are still sent according
	// to an earlier view.
	boundMargin = 100 * time.Millisecond
	// fleetWatchers and fleetFollowers are the numbers of daemons in a random run.
	fleetWatchers  = 2
	fleetFollowers = 2
)

// member is one daemon of a random run.
type member struct {
	name       string
	connection *connection
	peer       *upstream

	mu           sync.Mutex
	faults       int       // present faults of its own connection to the store
	healthySince time.Time // when the last of these faults ended
}

// faultBegan records the start of a fault of the member's own connection to the store.
func (m *member) faultBegan() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults++
}

func (m *member) faultEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults--
	m.healthySince = time.Now()
}

// healthy reports whether the bound applies to the member for a change made now.
func (m *member) healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults == 0 && time.Since(m.healthySince) >= minHealthy
}

// fault disturbs a member's connection to the store, if own is set, or its answers to
// other daemons, for some time.
type fault struct {
	name       string
	own        bool
	begin, end func(m *member)
}

var faults = []fault{
	{"store rejects it", true, func(m *member) { m.connection.setCut(true) }, func(m *member) { m.connection.setCut(false) }},
	{"large answers hang", true, func(m *member) { m.connection.setHung(true) }, func(m *member) { m.connection.setHung(false) }},
	{"frozen for peers", false, func(m *member) { m.peer.setFrozen(true) }, func(m *member) { m.peer.setFrozen(false) }},
	{"late for peers", false, func(m *member) { m.peer.setLate(1100 * time.Millisecond) }, func(m *member) { m.peer.setLate(0) }},
}

func (u *upstream) setLate(late time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.late = late
}

// randomFleet is a store and several daemons, with random faults that may overlap.
type randomFleet struct {
	*bubble
	seed     uint64
	rng      *rand.Rand // source of the changes
	store    *fakeStore
	members  []*member
	version  uint64
	restarts bool // endpoints also restart, and entries become unusable

	mu  sync.Mutex
	log []string // of the faults
}

func newRandomFleet(b *bubble, seed uint64) *randomFleet {
	f := &randomFleet{bubble: b, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), store: newFakeStore(), version: 1}
	f.store.generation = 1
	for i := range fleetWatchers + fleetFollowers {
		f.members = append(f.members, &member{name: fmt.Sprint("d", i), connection: &connection{fakeStore: f.store}, peer: &upstream{}})
	}
	watchers := []fleetpb.Fleet{f.members[0].peer, f.members[1].peer}
	for i, m := range f.members {
		m.peer.view = b.view(m.connection, func(o *Options) {
			o.Self = m.name
			o.Upstreams = func() (bool, []fleetpb.Fleet) {
				if i < fleetWatchers {
					return true, watchers[:min(i, 1)] // the first watcher has no upstream
				}
				return false, watchers
			}
			o.Peer = func() fleetpb.Fleet { return f.members[(i+1)%len(f.members)].peer }
		})
	}
	return f
}

// injectFaults disturbs random members until the test ends. Faults may last longer than the
// pause until the next one.
func (f *randomFleet) injectFaults() {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	for f.ctx.Err() == nil {
		m, ft := f.members[rng.IntN(len(f.members))], faults[rng.IntN(len(faults))]
		duration := time.Duration(200+rng.IntN(5000)) * time.Millisecond
		f.note(fmt.Sprintf("%v %s: %s for %v", time.Since(testStart), m.name, ft.name, duration))
		go f.inject(m, ft, duration)
		pause.For(f.ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	}
}

func (f *randomFleet) inject(m *member, ft fault, duration time.Duration) {
	if ft.own {
		m.faultBegan()
		defer m.faultEnded()
	}
	ft.begin(m)
	pause.For(f.ctx, duration)
	ft.end(m)
}

func (f *randomFleet) note(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, line)
}

// lastFaults returns the latest faults, which may explain a failure.
func (f *randomFleet) lastFaults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log[max(0, len(f.log)-6):])
}

// testStart is the initial time of a bubble's clock.
var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// healthy returns the members to which the bound applies for a change made now.
func (f *randomFleet) healthy() []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return !m.healthy() })
}

// change writes a change and returns a function that reports whether it is in force in a view.
func (f *randomFleet) change(i int) (what string, inForce func(v *View) bool) {
	id := fmt.Sprint("e", i)
	if f.restarts && f.rng.IntN(2) == 0 {
		return f.changeIncarnation(id)
	}
	switch f.rng.IntN(3) {
	case 0:
		f.version++
		version := f.version
		f.store.setDesired(version)
		return fmt.Sprint("version ", version), func(v *View) bool { return v.Table().Version >= version }
	case 1:
		f.store.setEndpoint(f.endpoint(id, firstStart, true))
		return id + " leaving", func(v *View) bool { return !v.routable(id) }
	default:
		f.store.remove(id)
		return id + " removed", func(v *View) bool { return !v.routable(id) }
	}
}

// firstStart and nextStart are the starts of two incarnations of one endpoint.
const firstStart, nextStart = 1000, 2000

// endpoint returns the entry of an endpoint, without a start time if endpoints do not restart, as
// on platforms that do not report it.
func (f *randomFleet) endpoint(id string, start int64, leaving bool) fleet.Endpoint {
	e := fleet.Endpoint{ID: id, Service: "llm", Leaving: leaving}
	if f.restarts {
		e.StartUnixMs = start
	}
	return e
}

// changeIncarnation restarts an endpoint under its id, or makes its entry unusable.
func (f *randomFleet) changeIncarnation(id string) (what string, inForce func(v *View) bool) {
	if f.rng.IntN(2) == 0 {
		f.store.corrupt(id)
		return id + " unusable", func(v *View) bool { return !v.routable(id) }
	}
	f.store.setEndpoint(f.endpoint(id, firstStart, true))
	f.store.setEndpoint(f.endpoint(id, nextStart, false))
	if f.rng.IntN(2) == 0 {
		f.store.setEndpoint(f.endpoint(id, firstStart, true)) // a delayed write
		f.store.setEndpoint(f.endpoint(id, nextStart, false))
	}
	return id + " restarted", func(v *View) bool {
		e := v.Endpoints().ByID[id]
		return e != nil && e.StartUnixMs == nextStart && !e.Leaving
	}
}

// Guards against changes that are late because of faults of other daemons, also repeated and
// overlapping ones: a daemon whose own connection to the store is without fault has each change
// in force within the bound.
func TestBoundHoldsUnderRandomHarms(t *testing.T) {
	seeds := slices.Clone(boundRegressions)
	for i := range *boundRuns {
		seeds = append(seeds, *boundSeed+i)
	}
	for _, seed := range seeds {
		checkBound(t, seed, false)
	}
}

// The same bound holds if endpoints restart under their ids and other writers make entries
// unusable: the new incarnation gets requests, and an unusable entry gets none.
func TestBoundHoldsForLivesUnderRandomHarms(t *testing.T) {
	for i := range *boundRuns {
		checkBound(t, *boundSeed+i, true)
	}
}

func checkBound(t *testing.T, seed uint64, restarts bool) {
	const changes = 40
	inBubble(t, func(b *bubble) {
		f := newRandomFleet(b, seed)
		f.restarts = restarts
		for i := range changes {
			f.store.setEndpoint(f.endpoint(fmt.Sprint("e", i), firstStart, false))
		}
		time.Sleep(minHealthy + 2*time.Second)
		go f.injectFaults()
		for i := range changes {
			time.Sleep(time.Duration(f.rng.IntN(1500)) * time.Millisecond)
			healthyBefore := f.healthy()
			what, inForce := f.change(i)
			time.Sleep(leaveWithin - boundMargin)
			healthyAfter := f.healthy()
			for _, m := range healthyBefore {
				if slices.Contains(healthyAfter, m) && !inForce(m.peer.view) {
					t.Errorf("seed %d: %s is missing the change %q, %v after the start; faults: %v", seed, m.name, what, time.Since(testStart), f.lastFaults())
					return
				}
			}
		}
	})
}

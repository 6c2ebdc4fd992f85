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
	// calmBefore is how long a daemon's own connection to the store must have been
	// without fault before a change for the bound to apply to it.
	calmBefore = 3 * time.Second
	// boundMargin is the margin to the bound, in which requests are still sent according
	// to an earlier view.
	boundMargin = 100 * time.Millisecond
	// fleetWatchers and fleetFollowers are the numbers of daemons in a random run.
	fleetWatchers  = 2
	fleetFollowers = 2
)

// member is one daemon of a random run.
type member struct {
	name string
	way  *way
	peer *upstream

	mu      sync.Mutex
	harms   int       // present faults of its own connection to the store
	soundAt time.Time // when the last of these faults ended
}

// begin records the start of a fault of the member's own connection to the store.
func (m *member) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.harms++
}

func (m *member) ended() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.harms--
	m.soundAt = time.Now()
}

// healthy reports whether the bound applies to the member for a change made now.
func (m *member) sound() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.harms == 0 && time.Since(m.soundAt) >= calmBefore
}

// fault disturbs a member's connection to the store, if own is set, or its answers to
// other daemons, for some time.
type harm struct {
	name    string
	own     bool
	do, end func(m *member)
}

var harms = []harm{
	{"store rejects it", true, func(m *member) { m.way.setCut(true) }, func(m *member) { m.way.setCut(false) }},
	{"large answers hang", true, func(m *member) { m.way.setHung(true) }, func(m *member) { m.way.setHung(false) }},
	{"frozen for peers", false, func(m *member) { m.peer.setMute(true) }, func(m *member) { m.peer.setMute(false) }},
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
	seed    uint64
	rng     *rand.Rand // source of the changes
	store   *fakeStore
	members []*member
	version uint64
	lives   bool // endpoints also restart, and entries become unusable

	mu  sync.Mutex
	log []string // of the faults
}

func newRandomFleet(b *bubble, seed uint64) *randomFleet {
	f := &randomFleet{bubble: b, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), store: newFakeStore(), version: 1}
	f.store.generation = 1
	for i := range fleetWatchers + fleetFollowers {
		f.members = append(f.members, &member{name: fmt.Sprint("d", i), way: &way{fakeStore: f.store}, peer: &upstream{}})
	}
	watchers := []fleetpb.Fleet{f.members[0].peer, f.members[1].peer}
	for i, m := range f.members {
		m.peer.view = b.view(m.way, func(o *Options) {
			o.Self = m.name
			o.Upstreams = func() (bool, []fleetpb.Fleet) { return i < fleetWatchers, watchers }
			o.Peer = func() fleetpb.Fleet { return f.members[(i+1)%len(f.members)].peer }
		})
	}
	return f
}

// injectFaults disturbs random members until the test ends. Faults may last longer than the
// pause until the next one.
func (f *randomFleet) harmSome() {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	for f.ctx.Err() == nil {
		m, h := f.members[rng.IntN(len(f.members))], harms[rng.IntN(len(harms))]
		lasts := time.Duration(200+rng.IntN(5000)) * time.Millisecond
		f.note(fmt.Sprintf("%v %s: %s for %v", time.Since(testStart), m.name, h.name, lasts))
		go f.harm(m, h, lasts)
		pause.For(f.ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	}
}

func (f *randomFleet) harm(m *member, h harm, lasts time.Duration) {
	if h.own {
		m.begin()
		defer m.ended()
	}
	h.do(m)
	pause.For(f.ctx, lasts)
	h.end(m)
}

func (f *randomFleet) note(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, line)
}

// lastFaults returns the latest faults, which may explain a failure.
func (f *randomFleet) lastHarms() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log[max(0, len(f.log)-6):])
}

// testStart is the initial time of a bubble's clock.
var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// healthy returns the members to which the bound applies for a change made now.
func (f *randomFleet) sound() []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return !m.sound() })
}

// change writes a change and returns a function that reports whether it is in force in a view.
func (f *randomFleet) change(i int) (what string, inForce func(v *View) bool) {
	id := fmt.Sprint("e", i)
	if f.lives && f.rng.IntN(2) == 0 {
		return f.changeLife(id)
	}
	switch f.rng.IntN(3) {
	case 0:
		f.version++
		version := f.version
		f.store.setConfig(version)
		return fmt.Sprint("version ", version), func(v *View) bool { return v.Table().Version >= version }
	case 1:
		f.store.setEndpoint(f.endpoint(id, firstLife, true))
		return id + " leaving", func(v *View) bool { return !v.takes(id) }
	default:
		f.store.remove(id)
		return id + " removed", func(v *View) bool { return !v.takes(id) }
	}
}

// firstStart and nextStart are the starts of two incarnations of one endpoint.
const firstLife, nextLife = 1000, 2000

// endpoint returns the entry of an endpoint, without a start time if endpoints do not restart, as
// on platforms that do not report it.
func (f *randomFleet) endpoint(id string, born int64, leaving bool) fleet.Endpoint {
	e := fleet.Endpoint{ID: id, Service: "llm", Leaving: leaving}
	if f.lives {
		e.StartUnixMs = born
	}
	return e
}

// changeIncarnation restarts an endpoint under its id, or makes its entry unusable.
func (f *randomFleet) changeLife(id string) (what string, inForce func(v *View) bool) {
	if f.rng.IntN(2) == 0 {
		f.store.spoil(id)
		return id + " unusable", func(v *View) bool { return !v.takes(id) }
	}
	f.store.setEndpoint(f.endpoint(id, firstLife, true))
	f.store.setEndpoint(f.endpoint(id, nextLife, false))
	if f.rng.IntN(2) == 0 {
		f.store.setEndpoint(f.endpoint(id, firstLife, true)) // a delayed write
		f.store.setEndpoint(f.endpoint(id, nextLife, false))
	}
	return id + " restarted", func(v *View) bool {
		e := v.Endpoints().ByID[id]
		return e != nil && e.StartUnixMs == nextLife && !e.Leaving
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

func checkBound(t *testing.T, seed uint64, lives bool) {
	const changes = 40
	inBubble(t, func(b *bubble) {
		f := newRandomFleet(b, seed)
		f.lives = lives
		for i := range changes {
			f.store.setEndpoint(f.endpoint(fmt.Sprint("e", i), firstLife, false))
		}
		time.Sleep(calmBefore + 2*time.Second)
		go f.harmSome()
		for i := range changes {
			time.Sleep(time.Duration(f.rng.IntN(1500)) * time.Millisecond)
			asked := f.sound()
			what, inForce := f.change(i)
			time.Sleep(leaveWithin - boundMargin)
			still := f.sound()
			for _, m := range asked {
				if slices.Contains(still, m) && !inForce(m.peer.view) {
					t.Errorf("seed %d: %s is missing the change %q, %v after the start; faults: %v", seed, m.name, what, time.Since(testStart), f.lastHarms())
					return
				}
			}
		}
	})
}

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

// boundRegressions are seeds that have failed once: each time, a daemon that had heard
// neither the store nor anybody for seconds kept a removed entry at its return, and
// daemons that take from it kept it as well.
var boundRegressions = []uint64{571, 1042, 1396, 1460}

// More runs by hand: go test ./driver/storeview -run TestBoundHolds -bound.runs 2000
var (
	boundRuns = flag.Uint64("bound.runs", 25, "random runs of TestBoundHoldsUnderRandomHarms")
	boundSeed = flag.Uint64("bound.seed", 0, "seed of the first of them")
)

const (
	// calmBefore is how long a daemon's own way to the store must have been sound
	// before a change for the bound to be asked of it.
	calmBefore = 3 * time.Second
	// boundMargin is kept to the bound: requests still go out on what is believed.
	boundMargin = 100 * time.Millisecond
	// fleetFollowers and fleetWatchers are the daemons of a random run.
	fleetWatchers  = 2
	fleetFollowers = 2
)

// member is one daemon of a random run.
type member struct {
	name string
	way  *way
	peer *upstream

	mu      sync.Mutex
	harms   int       // of its own way to the store, that go on
	soundAt time.Time // when the last of them ended
}

// begin notes a harm of the member's own way to the store.
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

// sound reports whether the bound is asked of the member for a change now.
func (m *member) sound() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.harms == 0 && time.Since(m.soundAt) >= calmBefore
}

// harm does something to a member, for a while, that its way to the store or its
// answers to others suffer from; own says that its own way does.
type harm struct {
	name    string
	own     bool
	do, end func(m *member)
}

var harms = []harm{
	{"store turns it away", true, func(m *member) { m.way.setCut(true) }, func(m *member) { m.way.setCut(false) }},
	{"large answers hang", true, func(m *member) { m.way.setHung(true) }, func(m *member) { m.way.setHung(false) }},
	{"frozen for others", false, func(m *member) { m.peer.setMute(true) }, func(m *member) { m.peer.setMute(false) }},
	{"late for others", false, func(m *member) { m.peer.setLate(1100 * time.Millisecond) }, func(m *member) { m.peer.setLate(0) }},
}

func (u *upstream) setLate(late time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.late = late
}

// randomFleet is some daemons and a store, with harms that come in series and overlap.
type randomFleet struct {
	*bubble
	seed    uint64
	rng     *rand.Rand // of the changes
	store   *fakeStore
	members []*member
	version uint64
	lives   bool // endpoints start again and entries are spoiled

	mu  sync.Mutex
	log []string // of the harms
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

// harmSome harms members until the test ends, some of them for longer than the next
// harms take to come.
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

// lastHarms returns the harms that may explain what is seen now.
func (f *randomFleet) lastHarms() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log[max(0, len(f.log)-6):])
}

// testStart is when the clock of a bubble starts.
var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// sound returns the members of whom the bound is asked for a change now.
func (f *randomFleet) sound() []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return !m.sound() })
}

// change writes a change and returns whether it is in force at a member.
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

// firstLife and nextLife are the starts of endpoints under one id.
const firstLife, nextLife = 1000, 2000

// endpoint returns an entry of an endpoint; platforms that know no lives tell no start.
func (f *randomFleet) endpoint(id string, born int64, leaving bool) fleet.Endpoint {
	e := fleet.Endpoint{ID: id, Service: "llm", Leaving: leaving}
	if f.lives {
		e.StartUnixMs = born
	}
	return e
}

// changeLife starts an endpoint again under its id, or spoils its entry.
func (f *randomFleet) changeLife(id string) (what string, inForce func(v *View) bool) {
	if f.rng.IntN(2) == 0 {
		f.store.spoil(id)
		return id + " spoiled", func(v *View) bool { return !v.takes(id) }
	}
	f.store.setEndpoint(f.endpoint(id, firstLife, true))
	f.store.setEndpoint(f.endpoint(id, nextLife, false))
	if f.rng.IntN(2) == 0 {
		f.store.setEndpoint(f.endpoint(id, firstLife, true)) // a write that was carried out late
		f.store.setEndpoint(f.endpoint(id, nextLife, false))
	}
	return id + " started again", func(v *View) bool {
		e := v.Endpoints().ByID[id]
		return e != nil && e.StartUnixMs == nextLife && !e.Leaving
	}
}

// Whatever happens to the others, in series and overlapping, a daemon whose own way to
// the store is sound has each change in force within the bound.
func TestBoundHoldsUnderRandomHarms(t *testing.T) {
	seeds := slices.Clone(boundRegressions)
	for i := range *boundRuns {
		seeds = append(seeds, *boundSeed+i)
	}
	for _, seed := range seeds {
		checkBound(t, seed, false)
	}
}

// The same holds where endpoints start again under their ids, and other writers spoil
// entries: the next life gets requests, and what is spoiled none.
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
					t.Errorf("seed %d: %s has no %s, %v after the start; harms: %v", seed, m.name, what, time.Since(testStart), f.lastHarms())
					return
				}
			}
		}
	})
}

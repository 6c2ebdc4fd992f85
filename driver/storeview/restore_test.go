package storeview

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// writtenAgain is the time after the store's return within which all live endpoints have written
	// their entries again.
	writtenAgain = 2 * time.Second
	// lapsed is the time after its return within which the store has dropped the entries of stopped
	// endpoints.
	lapsed = 3*heartbeat + time.Second
)

// restoring is a random fleet whose store is restored from copies.
type restoring struct {
	*randomFleet
	started map[string]int64 // start times of the endpoints that are live and not leaving
	stopped map[string]int64 // start time of the incarnation that left or was removed last
	copies  []storeCopy
}

func (r *restoring) write(id string, leaving bool) {
	r.store.setEndpoint(fleet.Endpoint{ID: id, StartUnixMs: r.started[id], Service: "llm", Leaving: leaving})
}

// restore makes the store unreachable for a moment and restores it from a copy. Then live endpoints
// write their entries again, the operator writes the desired state again, and the entries of stopped
// endpoints lapse.
func (r *restoring) restore() {
	from := r.copies[max(0, len(r.copies)-1-r.rng.IntN(4))]
	r.note(fmt.Sprintf("%v restored to revision %d", time.Since(testStart), from.revision))
	r.store.setUnreachable(true)
	time.Sleep(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
	r.store.restore(from)
	r.store.setUnreachable(false)
	r.store.setDesired(r.version)
	r.copies = r.copies[:0]
	pauses := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
	for id := range r.started {
		delay := time.Duration(pauses.Int64N(int64(writtenAgain)))
		go func() {
			pause.For(r.ctx, delay)
			r.mu.Lock()
			defer r.mu.Unlock()
			if start, alive := r.started[id]; alive {
				r.store.setEndpoint(fleet.Endpoint{ID: id, StartUnixMs: start, Service: "llm"})
			}
		}()
	}
	for _, e := range from.list {
		if r.started[e.ID] != e.StartUnixMs {
			go func() {
				pause.For(r.ctx, lapsed)
				r.mu.Lock()
				defer r.mu.Unlock()
				if _, alive := r.started[e.ID]; !alive {
					r.store.remove(e.ID)
				}
			}()
		}
	}
}

// change stops an endpoint, starts one, or writes a desired state.
func (r *restoring) change() (what string, inForce func(v *View) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := fmt.Sprint("e", r.rng.IntN(8))
	start, alive := r.started[id]
	switch {
	case r.rng.IntN(4) == 0:
		r.version++
		version := r.version
		r.store.setDesired(version)
		return fmt.Sprint("version ", version), func(v *View) bool { return v.Table().Version >= version }
	case !alive:
		r.started[id] = r.stopped[id] + 1000
		r.write(id, false)
		return id + " starts", func(v *View) bool { return v.routable(id) }
	case r.rng.IntN(2) == 0:
		r.write(id, true)
	default:
		r.store.remove(id)
	}
	delete(r.started, id)
	r.stopped[id] = start
	return id + " stops", func(v *View) bool { return !v.routable(id) }
}

// checkStopped reports a view that lists an incarnation as usable again after it had removed it.
func (r *restoring) checkStopped(t *testing.T, m *member) {
	listed, stopped := map[string]int64{}, map[string]int64{}
	for r.ctx.Err() == nil {
		v := m.peer.view.Endpoints()
		r.mu.Lock()
		for id, start := range r.stopped {
			e := v.ByID[id]
			switch {
			case e == nil || e.Leaving || e.StartUnixMs > start:
				stopped[id] = max(stopped[id], min(start, listed[id]))
			case stopped[id] >= e.StartUnixMs:
				t.Errorf("seed %d: %s again uses %s, which had stopped, %v after the start", r.seed, m.name, id, time.Since(testStart))
				stopped[id] = 0
			}
		}
		for id, e := range v.ByID {
			listed[id] = e.StartUnixMs
		}
		r.mu.Unlock()
		pause.For(r.ctx, 50*time.Millisecond)
	}
}

// Guards against a view that does not follow a store that is restored from copies, repeatedly and
// together with all other faults. Each change made after all entries are written again is in force
// within the bound at each daemon whose connection to the store is without fault, and no stopped
// incarnation becomes usable again.
func TestBoundHoldsThroughRestores(t *testing.T) {
	for i := range *boundRuns {
		checkBoundThroughRestores(t, *boundSeed+i)
	}
}

func checkBoundThroughRestores(t *testing.T, seed uint64) {
	const changes = 30
	inBubble(t, func(b *bubble) {
		r := &restoring{randomFleet: newRandomFleet(b, seed), started: map[string]int64{}, stopped: map[string]int64{}}
		for i := range 6 {
			id := fmt.Sprint("e", i)
			r.started[id] = 1000
			r.write(id, false)
		}
		time.Sleep(minHealthy + 2*time.Second)
		go r.injectFaults()
		for _, m := range r.members {
			go r.checkStopped(t, m)
		}
		for range changes {
			r.copies = append(r.copies, r.store.copyNow())
			if r.rng.IntN(4) == 0 {
				r.restore()
				time.Sleep(writtenAgain + time.Second)
			}
			time.Sleep(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
			healthyBefore := r.healthy()
			what, inForce := r.change()
			time.Sleep(leaveWithin - boundMargin)
			healthyAfter := r.healthy()
			for _, m := range healthyBefore {
				if slices.Contains(healthyAfter, m) && !inForce(m.peer.view) {
					t.Errorf("seed %d: %s is missing the change %q, %v after the start; faults: %v", seed, m.name, what, time.Since(testStart), r.lastFaults())
					return
				}
			}
		}
	})
}

// manyDaemons returns running views of n daemons, which choose their roles in the same way as real
// daemons.
func (b *bubble) manyDaemons(s *fakeStore, n int) []*View {
	var members []membership.Member
	for i := range n {
		members = append(members, membership.Member{ID: fmt.Sprint("d", i), Host: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("z", i%9), Status: membership.Alive})
	}
	peers := map[string]*upstream{}
	for _, m := range members {
		peers[m.ID] = &upstream{}
	}
	var views []*View
	for _, m := range members {
		peers[m.ID].frozen = true // until all are running
	}
	for i, m := range members {
		watcher, order := relay.Upstreams(m, members)
		var list []fleetpb.Fleet
		for _, u := range order {
			list = append(list, peers[u.ID])
		}
		v := b.view(s, func(o *Options) {
			o.Self = m.ID
			o.Upstreams = func() (bool, []fleetpb.Fleet) { return watcher, list }
			o.Peer = func() fleetpb.Fleet { return peers[members[(i+1)%n].ID] }
		})
		peers[m.ID].view = v
		views = append(views, v)
	}
	for _, u := range peers {
		u.setFrozen(false)
	}
	return views
}

// Guards against daemons that do not catch up with a restored store, or that all call it at once at
// its return: for any number of daemons, a change written right after the restore is in force at all
// of them within the bound.
func TestRestoreReachesAllDaemons(t *testing.T) {
	for _, n := range []int{3, 7, 24, 375} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			inBubble(t, func(b *bubble) {
				s := newFakeStore()
				s.generation = 1
				for i := range 12 {
					s.setEndpoint(fleet.Endpoint{ID: fmt.Sprint("e", i), StartUnixMs: 1000, Service: "llm"})
				}
				views := b.manyDaemons(s, n)
				time.Sleep(5 * time.Second)
				c := s.copyNow()
				for range 30 {
					s.setEndpoint(fleet.Endpoint{ID: "e0", StartUnixMs: 1000, Service: "llm"})
				}
				s.setEndpoint(fleet.Endpoint{ID: "new", StartUnixMs: 1000, Service: "llm"})
				time.Sleep(5 * time.Second)
				before, _ := s.counts()
				time.Sleep(5 * time.Second)
				undisturbed, _ := s.counts()
				s.restore(c)
				s.setEndpoint(fleet.Endpoint{ID: "e0", StartUnixMs: 1000, Service: "llm", Leaving: true})
				s.setEndpoint(fleet.Endpoint{ID: "comer", StartUnixMs: 1000, Service: "llm"})
				time.Sleep(leaveWithin - boundMargin)
				for i, v := range views {
					if v.routable("e0") || !v.routable("comer") || !v.routable("new") {
						t.Errorf("daemon %d: e0 %v, comer %v, new (kept) %v", i, v.routable("e0"), v.routable("comer"), v.routable("new"))
						return
					}
				}
				time.Sleep(5*time.Second - (leaveWithin - boundMargin))
				after, _ := s.counts()
				if maxCalls := 2*(undisturbed-before) + 4*n/10; after-undisturbed > maxCalls {
					t.Errorf("%d calls in the 5 s after the restore, %d in the 5 s before it", after-undisturbed, undisturbed-before)
				}
				for i, v := range views {
					if v.routable("new") {
						t.Errorf("daemon %d keeps an entry that the copy lacks and that was not written again", i)
						return
					}
				}
				t.Logf("%d daemons: %d calls in the 5 s before the restore, %d in the 5 s after", n, undisturbed-before, after-undisturbed)
			})
		})
	}
}

// An answer that the store gave before a restore, and that arrives after it, changes nothing.
func TestAnswerOfBeforeTheRestoreIsSetAside(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		s.generation = 3
		s.setEndpoint(fleet.Endpoint{ID: "a", StartUnixMs: 1000, Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(3 * time.Second)
		age := v.Age(relay.Endpoints)
		v.opt.Generations.Observe(4, "peer")
		time.Sleep(3 * time.Second)
		if got := v.Age(relay.Endpoints); got < age+2*time.Second {
			t.Errorf("answers of an older generation refresh the view: its age is %v, and was %v before", got, age)
		}
		if !v.StoreUnresponsive(v.opt.Clock()) {
			t.Error("the store does not count as unresponsive")
		}
		if !v.routable("a") {
			t.Error("a known endpoint was dropped")
		}
	})
}

// Guards against an older desired state at a daemon that starts after the store was restored from a
// copy: it copies the newest state from other daemons, before the operator has written it again.
func TestStartingDaemonTakesTheNewestDesiredState(t *testing.T) {
	for _, size := range []int{0, large} {
		inBubble(t, func(b *bubble) {
			s := newFakeStore()
			s.generation, s.padding = 1, size
			s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
			old, starting := &upstream{}, &upstream{}
			old.view = b.view(s, func(o *Options) { o.Self = "old" })
			time.Sleep(2 * time.Second)
			c := s.copyNow()
			s.setDesired(3)
			time.Sleep(2 * time.Second)
			s.restore(c)
			starting.view = b.view(s, func(o *Options) {
				o.Self, o.Peer = "starting", func() fleetpb.Fleet { return old }
			})
			follower := b.view(s, func(o *Options) {
				o.Self = "follower"
				o.Upstreams = func() (bool, []fleetpb.Fleet) { return false, []fleetpb.Fleet{old, starting} }
			})
			time.Sleep(500 * time.Millisecond)
			old.setFrozen(true) // the follower changes to the daemon that has just started
			time.Sleep(2 * time.Second)
			old.setFrozen(false)
			time.Sleep(2 * time.Second)
			if got := starting.view.Table().Version; got != 3 {
				t.Errorf("%d bytes: the starting daemon is at version %d, want 3", size, got)
			}
			if got := follower.Table().Version; got != 3 {
				t.Errorf("%d bytes: the follower is at version %d, want 3", size, got)
			}
		})
	}
}

// Guards against a change that a watch never returns: the store is restored from a copy between two
// watches, and has reached the next watch's start revision again by then.
func TestWatchFromARevisionThatIsGivenOutAgain(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		s.generation = 1
		s.setEndpoint(fleet.Endpoint{ID: "a", StartUnixMs: 1000, Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(3 * time.Second)
		c := s.copyNow()
		s.setEndpoint(fleet.Endpoint{ID: "b", StartUnixMs: 1000, Service: "llm"})
		time.Sleep(v.shareOfBound(gatherShare) / 2) // after the watch that has returned it, before the next
		s.restore(c)
		s.setEndpoint(fleet.Endpoint{ID: "a", StartUnixMs: 1000, Service: "llm", Leaving: true})
		for range 5 {
			s.setEndpoint(fleet.Endpoint{ID: "b", StartUnixMs: 1000, Service: "llm"})
		}
		time.Sleep(leaveWithin - boundMargin)
		if v.routable("a") || !v.routable("b") {
			t.Errorf("a gets requests: %v, b gets requests: %v", v.routable("a"), v.routable("b"))
		}
	})
}

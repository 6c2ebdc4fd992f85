package storeview

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/transport/peers"
)

// fakeStore is a store in virtual time. Watches that are open when hangWatches is called
// are never answered; new calls are. Its generation is 0 until a test sets it or restores
// the store.
type fakeStore struct {
	mu              sync.Mutex
	generation      uint64
	revision        uint64
	oldest          uint64 // watches from an earlier revision have lost their history
	desiredVersion  uint64 // version of the desired state, as of configAt
	desiredRevision uint64
	list            []*fleet.Endpoint
	unusable        []discovery.Unusable
	changes         []discovery.Change
	unreachable     bool
	deaf            deafness
	deafSince       uint64        // revision when the watches became deaf
	hungBelow       int           // calls with lower numbers are never answered if they are watches
	changed         chan struct{} // closed at the next change
	calls           int
	failed          int
	padding         int  // number of bytes added to the desired state
	compressible    bool // the padding compresses well
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, desiredVersion: 1, desiredRevision: 1, changed: make(chan struct{})}
}

var errUnreachable = errors.New("the store is unreachable")

func (s *fakeStore) call() (number int, err error) {
	s.calls++
	if s.unreachable {
		s.failed++
		return s.calls, errUnreachable
	}
	return s.calls, nil
}

func (s *fakeStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setEndpoint writes an endpoint's entry.
func (s *fakeStore) setEndpoint(e fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Version = s.now()
	s.drop(e.ID)
	s.list = append(s.list, &e)
	s.changes = append(s.changes, discovery.Change{ID: e.ID, Endpoint: &e, Version: s.now()})
	s.notify()
}

// remove removes an endpoint's entry.
func (s *fakeStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(id)
	s.changes = append(s.changes, discovery.Change{ID: id, Removed: true, Version: s.now()})
	s.notify()
}

// drop deletes an entry; the caller holds the mutex.
func (s *fakeStore) drop(id string) {
	s.list = slices.DeleteFunc(s.list, func(o *fleet.Endpoint) bool { return o.ID == id })
	s.unusable = slices.DeleteFunc(s.unusable, func(u discovery.Unusable) bool { return u.ID == id })
}

// corrupt makes an entry unusable, as another writer might.
func (s *fakeStore) corrupt(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(id)
	u := discovery.Unusable{ID: id, Version: s.now(), Reason: errors.New("no address")}
	s.unusable = append(s.unusable, u)
	s.changes = append(s.changes, discovery.Change{ID: id, Unusable: &u, Version: s.now()})
	s.notify()
}

func (s *fakeStore) setDesired(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.desiredVersion, s.desiredRevision = version, s.revision
	s.notify()
}

func (s *fakeStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
	s.notify()
}

// hangWatches keeps the watches that are open now from being answered.
func (s *fakeStore) hangWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungBelow = s.calls + 1
}

// deafness is what the watches of a store do that does not tell them of changes.
type deafness int

const (
	hears deafness = iota
	// standsStill: answers are as of the revision that the watch started from.
	standsStill
	// stopped: answers are as of the revision at which the watches became deaf.
	stopped
)

// setDeaf makes the watches deaf, or ends this by dropping the history.
func (s *fakeStore) setDeaf(d deafness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaf == hears {
		s.deafSince = s.revision
	} else if d == hears {
		s.oldest = s.revision
	}
	s.deaf = d
	s.notify()
}

// heard returns the revision up to which watches from a revision are told of changes; the caller
// holds the mutex.
func (s *fakeStore) heard(since uint64) uint64 {
	switch s.deaf {
	case standsStill:
		return since
	case stopped:
		return max(since, s.deafSince)
	}
	return s.revision
}

func (s *fakeStore) counts() (calls, failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.failed
}

func encodeVersion(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// large is the size of a desired state that answers to polls do not include.
const large = maxInlineDesired + 1

func decodeVersion(raw []byte) (*routing.Table, error) {
	return &routing.Table{Version: binary.BigEndian.Uint64(raw)}, nil
}

// now returns the store's version; the caller holds the mutex.
func (s *fakeStore) now() storeversion.Version {
	return storeversion.Version{Generation: s.generation, Revision: s.revision}
}

// storeCopy is a copy of a fakeStore's content, for a restore.
type storeCopy struct {
	revision, desiredVersion, desiredRevision uint64
	list                                      []*fleet.Endpoint
	unusable                                  []discovery.Unusable
}

func (s *fakeStore) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.revision, s.desiredVersion, s.desiredRevision, slices.Clone(s.list), slices.Clone(s.unusable)}
}

// restore restores the store from a copy: writes acknowledged since the copy are lost, and their
// revisions are assigned again.
func (s *fakeStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.revision, s.desiredVersion, s.desiredRevision = c.revision, c.desiredVersion, c.desiredRevision
	s.list, s.unusable = nil, nil
	for _, e := range c.list {
		restored := *e
		restored.Version.Generation = s.generation
		s.list = append(s.list, &restored)
	}
	for _, u := range c.unusable {
		u.Version.Generation = s.generation
		s.unusable = append(s.unusable, u)
	}
	s.changes = nil
	s.oldest = c.revision
	s.notify()
}

func (s *fakeStore) ListEndpoints(context.Context) ([]*fleet.Endpoint, storeversion.Version, []discovery.Unusable, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(); err != nil {
		return nil, s.now(), nil, err
	}
	return slices.Clone(s.list), s.now(), slices.Clone(s.unusable), nil
}

func (s *fakeStore) ReadDesiredState(context.Context) ([]byte, storeversion.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(); err != nil {
		return nil, s.now(), err
	}
	return s.encoded(), s.now(), nil
}

func (s *fakeStore) CurrentVersion(context.Context) (storeversion.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.call()
	return s.now(), err
}

// lostHistory returns an error for a watch from a revision since which the store does not have all
// changes; the caller holds the mutex.
func (s *fakeStore) lostHistory(since uint64) error {
	if since < s.oldest || since > s.revision {
		return discovery.ErrHistoryLost
	}
	return nil
}

func (s *fakeStore) encoded() []byte {
	padding := make([]byte, s.padding)
	if !s.compressible {
		_, _ = rand.NewChaCha8([32]byte{}).Read(padding) // never fails
	}
	return append(encodeVersion(s.desiredVersion), padding...)
}

// wait blocks until ready reports that there is an answer, the wait is over or
// the store is unreachable. ready is called with the mutex held.
func (s *fakeStore) wait(ctx context.Context, d time.Duration, ready func() bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, err := s.call()
	end := time.Now().Add(d)
	for err == nil {
		answered := number >= s.hungBelow
		left := time.Until(end)
		switch {
		case answered && s.unreachable:
			return errUnreachable
		case answered && (ready() || left <= 0):
			return nil
		case !answered:
			left = time.Hour
		}
		changed := s.changed
		s.mu.Unlock()
		t := time.NewTimer(left)
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-changed:
		case <-t.C:
		}
		t.Stop()
		s.mu.Lock()
	}
	return err
}

func (s *fakeStore) WatchEndpoints(ctx context.Context, since storeversion.Version, wait, slack time.Duration) (changes []discovery.Change, version storeversion.Version, err error) {
	after := func() []discovery.Change {
		heard := s.heard(since.Revision)
		return slices.DeleteFunc(slices.Clone(s.changes), func(c discovery.Change) bool {
			return c.Version.Revision <= since.Revision || c.Version.Revision > heard
		})
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	err = s.wait(ctx, wait, func() bool { return len(after()) > 0 || s.lostHistory(since.Revision) != nil })
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost := s.lostHistory(since.Revision); err == nil && lost != nil {
		return nil, s.now(), lost
	}
	return after(), s.now().WithRevision(s.heard(since.Revision)), err
}

func (s *fakeStore) WatchDesiredState(ctx context.Context, since storeversion.Version, wait, slack time.Duration) (raw []byte, version storeversion.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	isNewer := func() bool {
		return s.desiredRevision > since.Revision && s.desiredRevision <= s.heard(since.Revision)
	}
	err = s.wait(ctx, wait, func() bool { return isNewer() || s.lostHistory(since.Revision) != nil })
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost := s.lostHistory(since.Revision); err == nil && lost != nil {
		return nil, s.now(), lost
	}
	if isNewer() {
		raw = s.encoded()
	}
	return raw, s.now().WithRevision(s.heard(since.Revision)), err
}

// leaveWithin is the propagation bound of the views in these tests, except those
// with longDrain; answerWithin is how long a call may hang.
const (
	leaveWithin = 2 * time.Second
	longDrain   = 8 * time.Second
	heartbeat   = 1200 * time.Millisecond

	answerWithin = 1500 * time.Millisecond
)

// bubble runs a test in virtual time.
type bubble struct {
	t   *testing.T
	ctx context.Context
	log *decisions.Log
}

func inBubble(t *testing.T, f func(b *bubble)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bubble{t: t, ctx: ctx, log: decisions.New(io.Discard, "test", hclog.Off)}
		defer func() {
			cancel()
			synctest.Wait()
			b.log.Close()
		}()
		f(b)
	})
}

// atOffsets runs a test in virtual time at different phases of the periodic calls.
func atOffsets(t *testing.T, f func(b *bubble, offset time.Duration)) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 130 * time.Millisecond {
		inBubble(t, func(b *bubble) { f(b, offset) })
	}
}

// view returns a running view of a store.
func (b *bubble) view(s Store, change func(*Options)) *View {
	opt := Options{
		Store: s, Decode: decodeVersion, Log: b.log, PropagationBound: leaveWithin, Heartbeat: heartbeat, Self: "alone", Peer: func() fleetpb.Fleet { return nil },
		Upstreams: func() (bool, []fleetpb.Fleet) { return true, nil },
	}
	if change != nil {
		change(&opt)
	}
	v, ctx := New(opt), b.ctx
	for _, run := range []func(context.Context) error{v.RunDesiredState, v.RunEndpoints, v.RunRelay, v.RunCatchUp, v.RunPeers} {
		go func() { _ = run(ctx) }()
	}
	return v
}

func (v *View) routable(id string) bool {
	e := v.Endpoints().ByID[id]
	return e != nil && !e.Leaving
}

// Open connections to the store become unresponsive without a reset. The platform expects
// this daemon to be up to date again after a stable window of three seconds.
func TestSilentWatchIsNoticed(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(5 * time.Second)
		if v.Table().Version != 1 || !v.routable("a") {
			t.Fatal("the view did not follow the store")
		}
		s.hangWatches()
		s.setDesired(2)
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm", Leaving: true})
		time.Sleep(2500 * time.Millisecond)
		if v.Table().Version != 2 {
			t.Error("an unresponsive watch of the desired state was not detected")
		}
		if v.routable("a") {
			t.Error("an unresponsive watch of the endpoints was not detected")
		}
	})
}

// upstream is another daemon's view as a peer, which can be made unresponsive.
type upstream struct {
	fleetpb.Fleet
	view   *View
	mu     sync.Mutex
	frozen bool
	// late is the transfer time of its answers.
	late time.Duration
	// longest is the duration of the longest poll.
	longest time.Duration
}

func (u *upstream) setFrozen(frozen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.frozen = frozen
}

func (u *upstream) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	u.mu.Lock()
	frozen, late := u.frozen, u.late
	u.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	start := time.Now()
	resp, err := u.view.Follow(ctx, req)
	pause.For(ctx, late)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.longest = max(u.longest, time.Since(start))
	return resp, err
}

// follower returns a running view that copies from upstreams, the first one preferred, and reads the
// store s if it must.
func (b *bubble) follower(s Store, order ...*upstream) *View {
	list := make([]fleetpb.Fleet, len(order))
	for i, u := range order {
		list[i] = u
	}
	return b.view(s, func(o *Options) {
		o.Self = "follower"
		o.Upstreams = func() (bool, []fleetpb.Fleet) { return false, list }
	})
}

// connection is one daemon's connection to the store.
type connection struct {
	*fakeStore
	mu  sync.Mutex
	cut bool
	// hung means that calls for the desired state are not answered, as if its
	// large answer did not get through a full link; other calls are answered.
	hung bool
	n    int
}

func (w *connection) setHung(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = hung
}

func (w *connection) isHung() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hung
}

func (w *connection) call() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
	if w.cut {
		return errUnreachable
	}
	return nil
}

func (w *connection) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *connection) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *connection) calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}

func (w *connection) ListEndpoints(ctx context.Context) ([]*fleet.Endpoint, storeversion.Version, []discovery.Unusable, error) {
	if err := w.call(); err != nil {
		return nil, storeversion.Version{}, nil, err
	}
	return w.fakeStore.ListEndpoints(ctx)
}

func (w *connection) ReadDesiredState(ctx context.Context) ([]byte, storeversion.Version, error) {
	if err := w.call(); err != nil {
		return nil, storeversion.Version{}, err
	}
	if w.isHung() {
		ctx, cancel := context.WithTimeout(ctx, answerWithin)
		defer cancel()
		<-ctx.Done()
		return nil, storeversion.Version{}, ctx.Err()
	}
	return w.fakeStore.ReadDesiredState(ctx)
}

func (w *connection) CurrentVersion(ctx context.Context) (storeversion.Version, error) {
	if err := w.call(); err != nil {
		return storeversion.Version{}, err
	}
	return w.fakeStore.CurrentVersion(ctx)
}

// WatchEndpoints is not answered until it times out if the connection is cut.
func (w *connection) WatchEndpoints(ctx context.Context, since storeversion.Version, wait, slack time.Duration) ([]discovery.Change, storeversion.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	if w.call() != nil {
		<-ctx.Done()
		return nil, storeversion.Version{}, ctx.Err()
	}
	changes, version, err := w.fakeStore.WatchEndpoints(ctx, since, wait, slack)
	if w.isCut() {
		<-ctx.Done()
		return nil, storeversion.Version{}, ctx.Err()
	}
	return changes, version, err
}

func (w *connection) WatchDesiredState(ctx context.Context, since storeversion.Version, wait, slack time.Duration) ([]byte, storeversion.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	if w.call() != nil {
		<-ctx.Done()
		return nil, storeversion.Version{}, ctx.Err()
	}
	raw, version, err := w.fakeStore.WatchDesiredState(ctx, since, wait, slack)
	if w.isCut() || w.isHung() {
		<-ctx.Done()
		return nil, storeversion.Version{}, ctx.Err()
	}
	return raw, version, err
}

// pair is two watchers and a follower that copies from them.
type pair struct {
	store       *fakeStore
	connections [3]*connection
	first       *upstream
	second      *upstream
	follower    *View
}

func (b *bubble) pair() *pair {
	p := &pair{store: newFakeStore()}
	for i := range p.connections {
		p.connections[i] = &connection{fakeStore: p.store}
	}
	withName := func(name string) func(*Options) { return func(o *Options) { o.Self = name } }
	p.store.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
	p.store.setEndpoint(fleet.Endpoint{ID: "b", Service: "llm"})
	p.first = &upstream{view: b.view(p.connections[0], withName("first"))}
	p.second = &upstream{view: b.view(p.connections[1], func(o *Options) {
		o.Self = "second"
		o.Upstreams = func() (bool, []fleetpb.Fleet) { return true, []fleetpb.Fleet{p.first} }
	})}
	p.follower = b.follower(p.connections[2], p.first, p.second)
	time.Sleep(5 * time.Second)
	if p.follower.Table().Version != 1 || !p.follower.routable("a") || !p.follower.routable("b") {
		b.t.Fatal("the follower does not have the state of the watchers")
	}
	return p
}

// change writes changes that must be in force within the propagation bound.
func (p *pair) change() {
	p.store.setDesired(2)
	p.store.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm", Leaving: true})
	p.store.remove("b")
}

func (p *pair) inForce(t *testing.T) {
	t.Helper()
	if p.follower.Table().Version != 2 {
		t.Error("the desired state is not in force")
	}
	if p.follower.routable("a") || p.follower.routable("b") {
		t.Error("leaving or removed endpoints still get requests")
	}
}

// Without faults, a follower makes no call to the store, and receives changes as soon as
// its upstreams do.
func TestFollowerNeedsNoStore(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		before := p.connections[2].calls()
		time.Sleep(time.Minute)
		if n := p.connections[2].calls() - before; n != 0 {
			t.Errorf("%d calls to the store in a minute without faults", n)
		}
		p.change()
		time.Sleep(600 * time.Millisecond)
		p.inForce(t)
	})
}

// Under any fault of its upstreams, a follower that reaches the store has a change in force
// within the propagation bound after its confirmation.
func TestFollowerKeepsTheBound(t *testing.T) {
	for name, disturb := range map[string]func(p *pair){
		"upstream frozen":        func(p *pair) { p.first.setFrozen(true) },
		"both upstreams frozen":  func(p *pair) { p.first.setFrozen(true); p.second.setFrozen(true) },
		"upstream cut off":       func(p *pair) { p.connections[0].setCut(true) },
		"both upstreams cut off": func(p *pair) { p.connections[0].setCut(true); p.connections[1].setCut(true) },
	} {
		t.Run(name, func(t *testing.T) {
			atOffsets(t, func(b *bubble, offset time.Duration) {
				p := b.pair()
				time.Sleep(offset)
				disturb(p)
				p.change()
				time.Sleep(leaveWithin - 400*time.Millisecond)
				p.inForce(t)
			})
		})
	}
}

// A daemon that the store rejects receives changes through other daemons.
func TestRejectedFollowerReceivesChanges(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		p.connections[2].setCut(true)
		p.connections[0].setCut(true)
		time.Sleep(5 * time.Second)
		p.change()
		time.Sleep(leaveWithin)
		p.inForce(t)
	})
}

// Entries that one upstream still keeps in their grace period, and that the next upstream
// does not have, are not kept for ever.
func TestFollowerForgetsWithItsUpstream(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		p.store.setUnreachable(true)
		time.Sleep(3 * time.Second)
		p.store.remove("a")
		p.connections[2].setCut(true) // it receives the data of the returned store through others only
		p.store.setUnreachable(false)
		time.Sleep(1500 * time.Millisecond)
		p.first.setFrozen(true)
		p.second.setFrozen(true)
		time.Sleep(4 * time.Second)
		p.second.setFrozen(false)
		time.Sleep(4 * time.Second) // until the earlier polls of both have timed out
		if p.follower.routable("a") {
			t.Error("an entry is kept that neither the store nor an upstream has")
		}
		if !p.follower.routable("b") {
			t.Error("an entry that the store has was dropped")
		}
	})
}

// The pause between calls to an unreachable store grows.
func TestPauseAfterFailedCallsGrows(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		b.view(s, nil)
		time.Sleep(5 * time.Second)
		s.setUnreachable(true)
		time.Sleep(10 * time.Second)
		if _, failed := s.counts(); failed > 28 {
			t.Errorf("%d failed calls in ten seconds", failed)
		}
	})
}

// A daemon that starts while others run copies its state from them, without a call to the
// store; a daemon that starts alone reads the store.
func TestStartWithPeersNeedsNoStore(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		own := &connection{fakeStore: p.store}
		started := b.follower(own, p.first, p.second)
		time.Sleep(startGrace)
		if started.Table() == nil || !started.routable("a") {
			t.Error("the state was not copied from the other daemons")
		}
		time.Sleep(time.Minute)
		if n := own.calls(); n != 0 {
			t.Errorf("%d calls to the store", n)
		}
		alone := b.view(p.store, nil)
		time.Sleep(2 * startGrace)
		if alone.Table() == nil || !alone.routable("a") {
			t.Error("the store was not read")
		}
	})
}

// With a long propagation bound, unresponsive connections are still detected as early as
// otherwise, and polls end before calls between daemons time out.
func TestLongDrainBound(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		long := func(o *Options) { o.PropagationBound = longDrain }
		v := b.view(s, long)
		up := &upstream{view: v}
		b.view(s, func(o *Options) {
			long(o)
			o.Self = "follower"
			o.Upstreams = func() (bool, []fleetpb.Fleet) { return false, []fleetpb.Fleet{up} }
		})
		time.Sleep(10 * time.Second)
		up.mu.Lock()
		longest := up.longest
		up.mu.Unlock()
		if longest == 0 || longest >= peers.CallTimeout {
			t.Errorf("a poll took %v", longest)
		}
		s.hangWatches()
		s.setDesired(2)
		time.Sleep(2500 * time.Millisecond)
		if v.Table().Version != 2 {
			t.Error("an unresponsive watch of the desired state was not detected")
		}
	})
}

// A large desired state is not sent with the answers of the upstream, whose link could not
// carry it to all followers: the follower receives its version and reads it from the store,
// or from the upstream if the store rejects the follower.
func TestLargeDesiredStateIsReadFromTheStore(t *testing.T) {
	for _, cut := range []bool{false, true} {
		inBubble(t, func(b *bubble) {
			p := b.pair()
			p.connections[2].setCut(cut)
			before := p.connections[2].calls()
			p.store.mu.Lock()
			p.store.padding = large
			p.store.mu.Unlock()
			p.store.setDesired(2)
			time.Sleep(100 * time.Millisecond)
			if p.follower.Table().Version != 2 {
				t.Errorf("cut off %v: not in force", cut)
			}
			if n := p.connections[2].calls() - before; n != 1 {
				t.Errorf("cut off %v: %d reads of the store", cut, n)
			}
		})
	}
}

package storeview

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Answers of upstreams that are long on their way, as over a full link, are not
// taken for younger than they are: the follower asks the store in time. Where the
// store turns it away as well, it knows how old its view is.
func TestAgeCountsTheWay(t *testing.T) {
	const late = 1100 * time.Millisecond
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		for _, u := range []*upstream{p.first, p.second} {
			u.mu.Lock()
			u.late = late
			u.mu.Unlock()
		}
		time.Sleep(3*time.Second + offset)
		p.change()
		time.Sleep(leaveWithin - 200*time.Millisecond)
		p.inForce(t)
	})
}

// How old a daemon says that its view is, is never less than it is: whatever an
// endpoint's entry says now, the view shows what it said that long ago, or later.
func TestAgeIsNeverTooYoung(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		p.first.mu.Lock()
		p.first.late = 350 * time.Millisecond
		p.first.mu.Unlock()
		written := map[uint64]time.Time{}
		for i := range 200 {
			p.store.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm", Slots: i})
			p.store.mu.Lock()
			written[p.store.revision] = time.Now()
			p.store.mu.Unlock()
			time.Sleep(time.Duration(37+i%90) * time.Millisecond)
			age := p.follower.Age(relay.Endpoints) // before the view, which may change between
			view := p.follower.Endpoints()
			shown := view.ByID["a"].Version.Revision
			for revision, at := range written {
				if revision > shown && time.Since(at) > age {
					t.Fatalf("change %d: written %v ago and not shown, the view says that it is %v old", i, time.Since(at), age)
				}
			}
		}
	})
}

// A large desired state that can be packed goes with the polls: no daemon that takes
// from others reads it from the store.
func TestDesiredStateIsSentPacked(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		before := p.ways[2].calls()
		p.store.mu.Lock()
		p.store.padding, p.store.plain = 20*large, true
		p.store.mu.Unlock()
		p.store.setConfig(2)
		time.Sleep(100 * time.Millisecond)
		if p.follower.Table().Version != 2 {
			t.Error("not in force")
		}
		if n := p.ways[2].calls() - before; n != 0 {
			t.Errorf("%d reads of the store", n)
		}
	})
}

// What another daemon sends is bounded and checked before it is decoded.
func TestPackedDesiredStateIsBounded(t *testing.T) {
	if _, err := unpack([]byte("no gzip")); err == nil {
		t.Error("content that is not packed is taken")
	}
	huge := &desiredContent{raw: make([]byte, maxDesiredBytes+1)}
	if _, err := unpack(huge.pack()); err == nil {
		t.Error("content beyond any object of the store is taken")
	}
}

// A daemon that begins to follow the store, because another one went, asks it at
// once: others take from it from then on.
func TestNewWatcherAsksAtOnce(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		watches := make(chan struct{})
		own := &way{fakeStore: p.store}
		v := b.view(own, func(o *Options) {
			o.Self = "third"
			follows := o.Upstreams
			o.Upstreams = func() (bool, []fleetpb.Fleet) {
				select {
				case <-watches:
					return follows()
				default:
					return false, []fleetpb.Fleet{p.first}
				}
			}
		})
		time.Sleep(5*time.Second + offset)
		close(watches)
		time.Sleep(700 * time.Millisecond) // the poll that is on its way is answered
		p.change()
		time.Sleep(600 * time.Millisecond) // less than until what it has heard gets old
		if v.takes("a") || v.takes("b") {
			t.Errorf("offset %v: endpoints that leave or are gone still take requests", offset)
		}
	})
}

// A removal during an outage keeps the entry for the grace after the store's
// return: it may only have lapsed. One after the grace does not.
func TestLapseInAnOutageIsWaitedFor(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		s.setEndpoint(fleet.Endpoint{ID: "b", Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(5 * time.Second)
		s.setAway(true)
		time.Sleep(5 * time.Second)
		s.remove("a")
		s.setAway(false)
		time.Sleep(retryMost + 500*time.Millisecond)
		if !v.takes("a") {
			t.Error("an entry that lapsed in an outage was dropped at once")
		}
		time.Sleep(2 * time.Second)
		if v.takes("a") || !v.takes("b") {
			t.Error("the grace did not end")
		}
	})
}

// A watcher that the store has turned away, and that hears of it through others,
// keeps nothing for its own return: the store was there all the while.
func TestTurnedAwayIsNoOutage(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		own := &way{fakeStore: p.store}
		v := b.view(own, func(o *Options) {
			o.Self = "third"
			o.Peer = func() fleetpb.Fleet { return p.first }
		})
		time.Sleep(5 * time.Second)
		own.setCut(true)
		time.Sleep(6*time.Second + offset)
		own.setCut(false)
		p.change()
		time.Sleep(leaveWithin - 200*time.Millisecond)
		if v.takes("a") || v.takes("b") {
			t.Errorf("offset %v: endpoints that leave or are gone still take requests", offset)
		}
	})
}

// The store turns one daemon away: it is silent there, and not away. In an outage it
// is both, and neither after its return.
func TestTurnedAwayIsToldFromAway(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		own := &way{fakeStore: p.store}
		v := b.view(own, func(o *Options) {
			o.Self = "third"
			o.Peer = func() fleetpb.Fleet { return p.first }
		})
		want := func(when string, silent, away bool) {
			t.Helper()
			time.Sleep(4 * time.Second)
			if got := v.StoreUnresponsive(time.Now()); got != silent {
				t.Errorf("%s: silent %v", when, got)
			}
			if got := v.StoreOutage(time.Now()); got != away {
				t.Errorf("%s: away %v", when, got)
			}
		}
		want("calm", false, false)
		own.setCut(true)
		want("turned away", true, false)
		p.store.setAway(true)
		want("outage", true, true)
		p.store.setAway(false)
		own.setCut(false)
		want("after both", false, false)
	})
}

// An upstream that the store turns away says so as soon as what it knows is too old,
// not at the end of a poll: a daemon that is turned away as well has no other way.
func TestStaleUpstreamEndsThePoll(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		time.Sleep(offset)
		p.ways[0].setCut(true)
		p.ways[2].setCut(true)
		p.change()
		time.Sleep(leaveWithin - 200*time.Millisecond)
		p.inForce(t)
	})
}

// A whole list that is not taken, because another daemon has told more since it was
// asked for, gives no place in its sender's changes: what only others kept would never
// be named as gone.
func TestListNotTakenGivesNoPlace(t *testing.T) {
	inBubble(t, func(b *bubble) {
		v := New(Options{Store: newFakeStore(), Decode: decodeVersion, Log: b.log, PropagationBound: leaveWithin, Heartbeat: heartbeat})
		kept := fleetpb.Endpoint{Id: "kept", Service: "llm", Revision: 9}
		list := func(source string, revision uint64, endpoints ...*fleetpb.Endpoint) {
			resp := &fleetpb.FollowResponse{Source: source, Change: 1, Whole: true, Endpoints: endpoints, EndpointsRevision: revision}
			if err := v.take(nil, resp, relay.Freshness{}); err != nil {
				t.Fatal(err)
			}
		}
		list("newer", 10, &kept)
		if v.upstream.source != "newer" || !v.takes("kept") {
			t.Fatal("the first list is not taken")
		}
		list("older", 5)
		if v.upstream.source != "" {
			t.Errorf("the next answer holds only what has changed at %s", v.upstream.source)
		}
	})
}

// A daemon that takes from others has seen an outage as they have, and keeps what may
// have lapsed in it, whoever tells it first that the store is back.
func TestLapseIsWaitedForBehindAnUpstream(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		time.Sleep(offset)
		p.store.setAway(true)
		time.Sleep(5 * time.Second)
		p.store.remove("a")
		p.store.setAway(false)
		time.Sleep(retryMost + 500*time.Millisecond)
		if !p.follower.takes("a") {
			t.Errorf("offset %v: an entry that lapsed in an outage was dropped at once", offset)
		}
		time.Sleep(2 * time.Second)
		if p.follower.takes("a") || !p.follower.takes("b") {
			t.Errorf("offset %v: the grace did not end", offset)
		}
	})
}

package storeview

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// The transfer time of an upstream's answer, as over a full link, counts into the age
// of its data: the follower reads the store in time. The age is right also if the store
// rejects the follower.
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

// A daemon never reports an age of its view that is too low: the view includes every
// change to an endpoint's entry that was written longer ago than the reported age.
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
			age := p.follower.Age(relay.Endpoints) // read before the view, which may change in between
			view := p.follower.Endpoints()
			included := view.ByID["a"].Version.Revision
			for revision, at := range written {
				if revision > included && time.Since(at) > age {
					t.Fatalf("change %d: written %v ago but not in the view, whose reported age is %v", i, time.Since(at), age)
				}
			}
		}
	})
}

// A large desired state that compresses well is sent with the answers to polls: no follower
// reads it from the store.
func TestDesiredStateIsSentPacked(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		before := p.connections[2].calls()
		p.store.mu.Lock()
		p.store.padding, p.store.compressible = 20*large, true
		p.store.mu.Unlock()
		p.store.setDesired(2)
		time.Sleep(100 * time.Millisecond)
		if p.follower.Table().Version != 2 {
			t.Error("the desired state is not in force")
		}
		if n := p.connections[2].calls() - before; n != 0 {
			t.Errorf("%d reads of the store", n)
		}
	})
}

// A desired state from another daemon is checked and limited in size when it is decompressed.
func TestPackedDesiredStateIsBounded(t *testing.T) {
	if _, err := unpack([]byte("no gzip")); err == nil {
		t.Error("content that is not compressed was accepted")
	}
	huge := &desiredContent{raw: make([]byte, maxDesiredBytes+1)}
	if _, err := unpack(huge.pack()); err == nil {
		t.Error("content larger than any object of the store was accepted")
	}
}

// A daemon that becomes a watcher, because another watcher has left, reads the store at
// once, since other daemons copy from it from then on.
func TestNewWatcherAsksAtOnce(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		becomes := make(chan struct{})
		own := &connection{fakeStore: p.store}
		v := b.view(own, func(o *Options) {
			o.Self = "third"
			upstreams := o.Upstreams
			o.Upstreams = func() (bool, []fleetpb.Fleet) {
				select {
				case <-becomes:
					return upstreams()
				default:
					return false, []fleetpb.Fleet{p.first}
				}
			}
		})
		time.Sleep(5*time.Second + offset)
		close(becomes)
		time.Sleep(700 * time.Millisecond) // until the poll in progress is answered
		p.change()
		time.Sleep(600 * time.Millisecond) // less than the time until the copied data becomes stale
		if v.routable("a") || v.routable("b") {
			t.Errorf("offset %v: leaving or removed endpoints still get requests", offset)
		}
	})
}

// An entry that is removed during an outage of the store is kept for a grace period
// after the store's return, since it may only have lapsed, and dropped afterwards.
func TestLapseInAnOutageIsWaitedFor(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		s.setEndpoint(fleet.Endpoint{ID: "b", Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(5 * time.Second)
		s.setUnreachable(true)
		time.Sleep(5 * time.Second)
		s.remove("a")
		s.setUnreachable(false)
		time.Sleep(maxRetry + 500*time.Millisecond)
		if !v.routable("a") {
			t.Error("an entry that lapsed during an outage was dropped at once")
		}
		time.Sleep(2 * time.Second)
		if v.routable("a") || !v.routable("b") {
			t.Error("the entry was not dropped after the grace period")
		}
	})
}

// A watcher that the store rejects for a while, and that receives the store's data through
// other daemons meanwhile, grants no grace period afterwards: there was no outage of the
// store.
func TestTurnedAwayIsNoOutage(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		own := &connection{fakeStore: p.store}
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
		if v.routable("a") || v.routable("b") {
			t.Errorf("offset %v: leaving or removed endpoints still get requests", offset)
		}
	})
}

// If the store rejects one daemon, it is unresponsive for this daemon, but there is no
// outage. In an outage both hold, and neither after the store's return.
func TestTurnedAwayIsToldFromAway(t *testing.T) {
	inBubble(t, func(b *bubble) {
		p := b.pair()
		own := &connection{fakeStore: p.store}
		v := b.view(own, func(o *Options) {
			o.Self = "third"
			o.Peer = func() fleetpb.Fleet { return p.first }
		})
		want := func(when string, unresponsive, outage bool) {
			t.Helper()
			time.Sleep(4 * time.Second)
			if got := v.StoreUnresponsive(time.Now()); got != unresponsive {
				t.Errorf("%s: StoreUnresponsive is %v", when, got)
			}
			if got := v.StoreOutage(time.Now()); got != outage {
				t.Errorf("%s: StoreOutage is %v", when, got)
			}
		}
		want("no fault", false, false)
		own.setCut(true)
		want("daemon rejected", true, false)
		p.store.setUnreachable(true)
		want("outage", true, true)
		p.store.setUnreachable(false)
		own.setCut(false)
		want("store reachable again", false, false)
	})
}

// An upstream that the store rejects answers as soon as its data becomes stale, not at the
// end of a poll: a follower that the store rejects as well depends on changing to another
// upstream in time.
func TestStaleUpstreamEndsThePoll(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		time.Sleep(offset)
		p.connections[0].setCut(true)
		p.connections[2].setCut(true)
		p.change()
		time.Sleep(leaveWithin - 200*time.Millisecond)
		p.inForce(t)
	})
}

// A whole list that is not applied, because newer data has arrived from another daemon since
// it was requested, gives no position in its sender's changes. Otherwise, the removal of an
// entry that only other daemons kept would never be reported.
func TestListNotTakenGivesNoPlace(t *testing.T) {
	inBubble(t, func(b *bubble) {
		v := New(Options{Store: newFakeStore(), Decode: decodeVersion, Log: b.log, PropagationBound: leaveWithin, Heartbeat: heartbeat})
		kept := fleetpb.Endpoint{Id: "kept", Service: "llm", Revision: 9}
		list := func(source string, revision uint64, endpoints ...*fleetpb.Endpoint) {
			resp := &fleetpb.FollowResponse{Source: source, Change: 1, Whole: true, Endpoints: endpoints, EndpointsRevision: revision}
			if err := v.receive(nil, resp, relay.Freshness{}); err != nil {
				t.Fatal(err)
			}
		}
		list("newer", 10, &kept)
		if v.upstream.source != "newer" || !v.routable("kept") {
			t.Fatal("the first list was not applied")
		}
		list("older", 5)
		if v.upstream.source != "" {
			t.Errorf("the next answer would contain only changes since a position at %s", v.upstream.source)
		}
	})
}

// A follower detects an outage as its upstreams do, and keeps entries that may have lapsed in
// it, whichever daemon first sends it the data of the returned store.
func TestLapseIsWaitedForBehindAnUpstream(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		time.Sleep(offset)
		p.store.setUnreachable(true)
		time.Sleep(5 * time.Second)
		p.store.remove("a")
		p.store.setUnreachable(false)
		time.Sleep(maxRetry + 500*time.Millisecond)
		if !p.follower.routable("a") {
			t.Errorf("offset %v: an entry that lapsed during an outage was dropped at once", offset)
		}
		time.Sleep(2 * time.Second)
		if p.follower.routable("a") || !p.follower.routable("b") {
			t.Errorf("offset %v: the entry was not dropped after the grace period", offset)
		}
	})
}

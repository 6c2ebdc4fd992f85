package storeview

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// What was seen: requests reached an engine 84 ms, and in a run with logs 780 and 835
// ms, after the time within which an engine that leaves must get no more requests.
//
// How it came about: the store turned away one of the daemons that others take from,
// for 4.8 s. The engine's entry was removed 1.8 s before that daemon's next call was
// answered; it kept the entry for 2 s more, and 25 daemons that take from it with it.
//
// Cause: calls of its own that failed were taken for an outage of the store, in which
// entries lapse. Proved by the line on kept entries, whose end is the moment at which
// these daemons dropped the engine, and by this test.
func TestReturnedUpstreamKeepsNothing(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		own := &way{fakeStore: s}
		other := &upstream{view: b.view(s, func(o *Options) { o.Self = "other" })}
		returned := &upstream{view: b.view(own, func(o *Options) {
			o.Self = "returned"
			o.Peer = func() fleetpb.Fleet { return other }
		})}
		v := b.follower(&way{fakeStore: s}, returned)
		time.Sleep(5 * time.Second)
		own.setCut(true)
		time.Sleep(5*time.Second + offset)
		s.remove("a")
		time.Sleep(50 * time.Millisecond)
		own.setCut(false)
		time.Sleep(leaveWithin - 200*time.Millisecond)
		if returned.view.takes("a") || v.takes("a") {
			t.Errorf("offset %v: an endpoint whose entry was removed still takes requests", offset)
		}
	})
}

// The same cause by another way: one watch that is not answered in time. It is given
// up on, the list that follows has the entry no more, and 1.2 s, 0.25 s and a grace of
// 2 s are more than the bound.
func TestRemovalIsTakenAfterAFailedWatch(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(5*time.Second + offset)
		s.goSilent()
		s.remove("a")
		time.Sleep(leaveWithin - 200*time.Millisecond)
		if v.takes("a") {
			t.Errorf("offset %v: an endpoint whose entry was removed still takes requests", offset)
		}
	})
}

// What was seen: a daemon answered 404 on an added route 9 ms after the time within
// which the desired state must be in force; in a run with logs, 18 daemons had it
// 3.2 s after the first one.
//
// How it came about: these daemons took from one whose read of the desired state
// did not come through a full link, while its watches of the endpoints were
// answered. What they took counted as fresh, so none asked the store.
//
// Cause: the age of the endpoints stood for that of the desired state. Proved by
// this test: with both upstreams in that state, a follower never gets it.
func TestDesiredStateHasAnAgeOfItsOwn(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		time.Sleep(offset)
		p.ways[0].setHung(true)
		p.ways[1].setHung(true)
		p.change()
		time.Sleep(leaveWithin - 200*time.Millisecond)
		p.inForce(t)
	})
}

package storeview

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Guards against requests to a leaving engine after the time within which it must get no more
// (84, 780 and 835 ms too late). The store had rejected one watcher for 4.8 s, and the engine's entry
// was removed 1.8 s before that watcher's next call was answered. The watcher took its own failed
// calls for an outage of the store, in which entries lapse: it kept the entry for 2 s more, and
// so did its 25 followers.
func TestReturnedUpstreamKeepsNothing(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		own := &connection{fakeStore: s}
		other := &upstream{view: b.view(s, func(o *Options) { o.Self = "other" })}
		returned := &upstream{view: b.view(own, func(o *Options) {
			o.Self = "returned"
			o.Peer = func() fleetpb.Fleet { return other }
		})}
		v := b.follower(&connection{fakeStore: s}, returned)
		time.Sleep(5 * time.Second)
		own.setCut(true)
		time.Sleep(5*time.Second + offset)
		s.remove("a")
		time.Sleep(50 * time.Millisecond)
		own.setCut(false)
		time.Sleep(leaveWithin - 200*time.Millisecond)
		if returned.view.routable("a") || v.routable("a") {
			t.Errorf("offset %v: an endpoint whose entry was removed still gets requests", offset)
		}
	})
}

// Guards against the same fault after a single watch that is not answered in time. The watch
// times out and the list that follows lacks the entry: with a grace period, 1.2 s, 0.25 s and
// 2 s add up to more than the bound.
func TestRemovalIsTakenAfterAFailedWatch(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		s := newFakeStore()
		s.setEndpoint(fleet.Endpoint{ID: "a", Service: "llm"})
		v := b.view(s, nil)
		time.Sleep(5*time.Second + offset)
		s.hangWatches()
		s.remove("a")
		time.Sleep(leaveWithin - 200*time.Millisecond)
		if v.routable("a") {
			t.Errorf("offset %v: an endpoint whose entry was removed still gets requests", offset)
		}
	})
}

// Guards against a desired state that is in force too late (9 ms after the bound at one daemon;
// 3.2 s after the first daemon at 18 others), so that requests for an added route get a 404. The
// daemons copied from an upstream whose read of the desired state did not get through a full link,
// while its watches of the endpoints were answered. The age of the endpoints stood for the age of
// the desired state as well, so the copy counted as fresh and no follower read the store: with both
// upstreams in this condition, a follower never got the state.
func TestDesiredStateHasAnAgeOfItsOwn(t *testing.T) {
	atOffsets(t, func(b *bubble, offset time.Duration) {
		p := b.pair()
		time.Sleep(offset)
		p.connections[0].setHung(true)
		p.connections[1].setHung(true)
		p.change()
		time.Sleep(leaveWithin - 200*time.Millisecond)
		p.inForce(t)
	})
}

package edge

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Guards against streams that are taken up, have not run in this attempt and are sent to an endpoint which has a slot for them only after their
// caller's time: they are held until then instead of being refused at once.
func TestTakenUpStreamIsRefusedIfItsSlotIsBeyondItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, q, _ := takeUp(t, "7", 30*time.Second)
		q.deadline = q.arrived.Add(7 * time.Second) // and its caller waits 2.4 s for an event
		if e, refusal := s.locate(t.Context(), q, &attemptState{}); refusal == nil || refusal.Reason != "endpoints-full" {
			t.Errorf("endpoint %v, refusal %+v, want endpoints-full", e, refusal)
		}
	})
}

// Guards against streams that are taken up, have not run in this attempt and are held until their caller's time is over, because the endpoint in whose
// queue they wait takes no requests for longer than it said first.
func TestTakenUpStreamIsNotHeldInVainInAQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := backpressure.New(backpressure.Options{LeaveWithin: 2 * time.Second})
		s, q, e := takeUpWith(t, tracker, "7", 0)
		q.route.MaxWait, q.deadline = 8*time.Second, q.arrived.Add(7*time.Second)
		tracker.ObservePause(time.Now(), e.Incarnation(), 300*time.Millisecond, e.Slots)
		time.AfterFunc(200*time.Millisecond, func() { tracker.ObservePause(time.Now(), e.Incarnation(), time.Minute, e.Slots) })
		st := &attemptState{}
		ctx, cancel := context.WithDeadline(t.Context(), q.deadline)
		defer cancel()
		began := time.Now()
		refusal := s.awaitTurn(ctx, q, st, s.unavailable(q, st, s.candidates(q)))
		if waited := time.Since(began); refusal == nil || waited > time.Second {
			t.Errorf("refusal %+v after %v, want one as soon as the turn is beyond the caller's time", refusal, waited)
		}
	})
}

// Guards against streams that are taken up and refused for good because a coordinator that does not count on the engine which holds their model,
// as another daemon found it full or it has not been heard since the coordinator's start, plans a load elsewhere.
func TestTakenUpStreamIsNotRefusedForGoodWhileAnEngineHoldsItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, q, e := takeUp(t, "7", 0)
		q.deadline = q.arrived.Add(7 * time.Second)
		s.opt.Locator = assigning{Endpoint: fleet.Incarnation{ID: "other"}, Level: residency.Store, ReadyIn: 30 * time.Second}
		got, refusal := s.locate(t.Context(), q, &attemptState{})
		if got != e && (refusal == nil || refusal.Status != http.StatusServiceUnavailable) {
			t.Errorf("endpoint %v, refusal %+v, want the engine or a refusal after which the caller comes back", got, refusal)
		}
	})
}

// Guards against streams bound to one endpoint, which reports no version, that are refused as if it were gone when they are taken up,
// because it has asked for a short pause.
func TestTakenUpStreamOfOneEndpointWaitsForItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := backpressure.New(backpressure.Options{LeaveWithin: 2 * time.Second})
		s, q, e := takeUpWith(t, tracker, "", 0)
		e.Software = ""
		other := &fleet.Endpoint{ID: "f", Service: "llm", Software: "v2", Slots: 16, Address: "127.0.0.1:2", Models: e.Models}
		view := fleet.NewView(storeversion.Version{Revision: 2}, []*fleet.Endpoint{e, other})
		s.opt.View = func() *fleet.View { return view }
		s.opt.Streams.ObserveView(view)
		q.call.LastEventID, q.call.Resumes, q.deadline = "7", "first", q.arrived.Add(7*time.Second)
		s.opt.Streams.Begin(t.Context(), "first", continuation.Origin{Service: "llm", Incarnation: e.Incarnation(), Unit: q.unit()}, 0)
		if refusal := s.findOrigin(t.Context(), q); refusal != nil || q.constraint().Incarnation().IsZero() {
			t.Fatalf("%+v, bound to %v", refusal, q.constraint().Incarnation())
		}
		tracker.ObservePause(time.Now(), e.Incarnation(), 300*time.Millisecond, e.Slots)
		if got, refusal := s.locate(t.Context(), q, &attemptState{}); got != e {
			t.Errorf("endpoint %v, refusal %+v, want the endpoint after its pause", got, refusal)
		}
	})
}

// Guards against streams that are taken up after a restart of all daemons and refused, for good, while the only engine of their version that holds
// their model is listed as leaving and still takes requests: a daemon that has not seen it ready does not try it.
func TestTakenUpStreamGoesToALeavingEngineAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, q, e := takeUpWith(t, backpressure.New(backpressure.Options{LeaveWithin: 3 * time.Second}), "7", 0)
		q.deadline = q.arrived.Add(7 * time.Second)
		e.Leaving = true
		s.opt.Locator = assigning{Endpoint: fleet.Incarnation{ID: "other"}, Level: residency.Store, ReadyIn: 17 * time.Second}
		if got, refusal := s.locate(t.Context(), q, &attemptState{}); got != e {
			t.Errorf("endpoint %v, refusal %+v, want the leaving engine as the last resort", got, refusal)
		}
	})
}

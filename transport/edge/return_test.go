package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/retry"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/driver/retries"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// Guards against a begun stream that is cut because a check which is meant for new requests refuses its return to a sound endpoint that
// was silent for a moment.
func TestBegunStreamReturnsToItsSilentEndpoint(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(x *returning)
		after   time.Duration // it is sent, at the earliest
		refused bool
	}{
		{"nothing is in the way", func(*returning) {}, 0, false},
		{"the endpoint has asked for a pause", pauseEndpoint(300 * time.Millisecond), 300 * time.Millisecond, false},
		{"the endpoint has asked for a pause longer than the caller waits", pauseEndpoint(10 * time.Second), 0, true},
		{"the quarantine holds the request back", holdRequest, 0, false},
		{"the quarantine holds it back and an endpoint has broken off under it", func(x *returning) {
			holdRequest(x)
			x.state.broke = true
		}, 0, true},
		{"the endpoint leaves", func(x *returning) { x.tracker.SetLeaving(time.Now(), x.endpoint.Incarnation(), time.Now()) }, 0, false},
		{"the route was dropped", func(x *returning) { x.server.opt.Table = func() *routing.Table { return &routing.Table{Version: 2} } }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newReturning(t)
				c.prepare(x)
				began := time.Now()
				got, refusal := x.server.selectEndpoint(t.Context(), x.request, x.state)
				switch waited := time.Since(began); {
				case c.refused && refusal == nil:
					t.Errorf("sent to %v after %v", got, waited)
				case !c.refused && (refusal != nil || got != x.endpoint):
					t.Errorf("endpoint %v, refusal %+v", got, refusal)
				case !c.refused && (waited < c.after || waited > x.request.route.MaxWait):
					t.Errorf("sent after %v, want at least %v", waited, c.after)
				}
			})
		})
	}
}

// returning is a begun stream that returns to the only endpoint of its version, which was silent.
type returning struct {
	server   *Server
	request  *request
	endpoint *fleet.Endpoint
	tracker  *backpressure.Tracker
	state    *attemptState
}

func newReturning(t *testing.T) *returning {
	x := &returning{tracker: backpressure.New(backpressure.Options{LeaveWithin: 2 * time.Second})}
	x.server, x.request, x.endpoint = takeUpWith(t, x.tracker, "7", 0)
	x.request.deadline = time.Now().Add(time.Minute)
	x.server.opt.Retries = retries.NewFixed(retry.Share{Unearned: 1}, nil, tally.NoopScope)
	x.server.opt.Table = func() *routing.Table { return x.request.table }
	x.server.opt.Retries.Reserve(x.request.service.Name)
	x.state = &attemptState{
		left: []fleet.Incarnation{x.endpoint.Incarnation()}, returns: true, verdict: protocol.MayHaveRun, lastEventAt: time.Now(),
		last: &failure{verdict: protocol.MayHaveRun, silent: true}, retryReserved: true,
	}
	return x
}

// pauseEndpoint lets the endpoint ask for a pause.
func pauseEndpoint(d time.Duration) func(*returning) {
	return func(x *returning) { x.tracker.ObservePause(time.Now(), x.endpoint.Incarnation(), d, x.endpoint.Slots) }
}

// holdRequest lets the quarantine hold the request back: endpoints have crashed under it.
func holdRequest(x *returning) {
	print, on := x.request.fingerprint(), x.server.target(x.request, x.endpoint)
	held := &quarantinepb.Case{Fingerprint: print[:], Software: []uint64{uint64(on.Request)}}
	for _, id := range []string{"x", "y", "z", "w"} {
		held.Ends = append(held.Ends, &quarantinepb.End{Endpoint: id, AgeMs: 100, SentAgeMs: 200, OrderUnixMs: 1, Software: uint64(on.Endpoint)})
	}
	_, _ = x.server.opt.Quarantine.Exchange(context.Background(), &quarantinepb.ExchangeRequest{Cases: []*quarantinepb.Case{held}})
	if x.server.opt.Quarantine.CheckHeld(x.request.subject(), func() []quarantiner.Target { return x.server.targets(x.request) }) == nil {
		panic("the request is not held back")
	}
}

// Guards against a begun stream that a stopping daemon cuts, though its model is ready well before the daemon ends.
func TestBegunStreamWaitsForItsModelAtAStoppingDaemon(t *testing.T) {
	for _, c := range []struct {
		name    string
		verdict protocol.Verdict
		refused string
	}{
		{"it has begun", protocol.MayHaveRun, ""},
		{"it is new", protocol.NotRun, reasonStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newReturning(t)
				x.state.verdict = c.verdict
				stops := time.Now().Add(drainWaitReserve)
				x.server.opt.DrainDeadline = func() time.Time { return stops }
				refusal := x.server.waitForModel(t.Context(), x.request, x.state, residency.Answer{Endpoint: x.endpoint.Incarnation(), ReadyIn: 100 * time.Millisecond})
				if got := refusal; (got != nil) != (c.refused != "") || got != nil && got.Reason != c.refused {
					t.Errorf("%+v, want %q", got, c.refused)
				}
			})
		})
	}
}

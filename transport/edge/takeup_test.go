package edge

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// assigning is a coordinator with one answer for all requests.
type assigning residency.Answer

func (a assigning) Want(context.Context, string, residency.Want) residency.Answer {
	return residency.Answer(a)
}

// Guards against streams that have begun and are refused, when their callers take them up, because no slot is free within the
// objective of a first event.
func TestTakenUpStreamIsNotJudgedByTheObjectiveOfItsFirstEvent(t *testing.T) {
	for _, c := range []struct {
		name     string
		lastID   string // of the events that the caller has
		startsIn time.Duration
		refused  string
	}{
		{"a new stream, a slot in time", "", 100 * time.Millisecond, ""},
		{"a new stream, a slot too late", "", 800 * time.Millisecond, "endpoints-full"},
		{"a stream that is taken up, a slot in time", "7", 100 * time.Millisecond, ""},
		{"a stream that is taken up, a slot beyond the objective", "7", 800 * time.Millisecond, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, q, e := takeUp(t, c.lastID, c.startsIn)
				got, refusal := s.locate(t.Context(), q, &attemptState{})
				switch {
				case c.refused != "" && (refusal == nil || refusal.Reason != c.refused):
					t.Errorf("refusal %+v, want %s", refusal, c.refused)
				case c.refused == "" && (refusal != nil || got != e):
					t.Errorf("endpoint %v, refusal %+v", got, refusal)
				}
			})
		})
	}
}

// Guards against streams that have begun and that an endpoint admits after new ones of their rank.
func TestTakenUpStreamRanksBeforeNewOnes(t *testing.T) {
	ranks := make(chan string, 1)
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ranks <- r.Header.Get("Rank") }))
	defer endpoint.Close()
	rankOf := func(lastID string) string {
		s, q, e := takeUp(t, lastID, 0)
		e.Address = endpoint.Listener.Addr().String()
		_, _ = s.send(t.Context(), q, e, "") // the answer is no endpoint's
		return <-ranks
	}
	if fresh, begun := rankOf(""), rankOf("7"); fresh != "1" || begun != "0" {
		t.Errorf("ranks at the endpoint: new %s, begun %s", fresh, begun)
	}
}

// takeUp returns a server before one engine that takes a request after a time, and a request: a new stream, or one that began at
// that engine's version and whose caller has the event lastID.
func takeUp(t *testing.T, lastID string, startsIn time.Duration) (*Server, *request, *fleet.Endpoint) {
	t.Helper()
	return takeUpWith(t, newTracker(), lastID, startsIn)
}

// takeUpWith is takeUp with the backpressure signals of a tracker.
func takeUpWith(t *testing.T, tracker *backpressure.Tracker, lastID string, startsIn time.Duration) (*Server, *request, *fleet.Endpoint) {
	t.Helper()
	e := &fleet.Endpoint{ID: "e", Service: "llm", Software: "v1", Slots: 16, Address: "127.0.0.1:1", Models: []fleet.LoadedModel{{Model: "m"}}}
	view := fleet.NewView(storeversion.Version{Revision: 1}, []*fleet.Endpoint{e})
	log := decisions.New(io.Discard, "test", hclog.Off)
	t.Cleanup(log.Close)
	shares := quotas.New(quotas.Options{
		Self: "d", Members: func() []membership.Member { return []membership.Member{{ID: "d"}} }, Revision: func() uint64 { return 1 },
		Directory: func() (*workspace.Directory, uint64) { return nil, 0 }, Log: log, Metrics: tally.NoopScope,
	})
	s := New(Options{
		Balancer: balance.New("z", 1, tracker), Throttle: throttle.New(throttle.Options{Tracker: tracker, Limits: shares.Endpoints(), Log: log, Metrics: tally.NoopScope}), Log: log, Metrics: tally.NoopScope, Dialect: ranksDialect{}, View: func() *fleet.View { return view },
		Locator: assigning{Endpoint: e.Incarnation(), Level: residency.Resident, StartsIn: startsIn}, DrainDeadline: func() time.Time { return time.Time{} },
	})
	s.opt.Streams.ObserveView(view)
	q := testRequest()
	q.service.Engine, q.service.LeastUrgentRank = &routing.Engine{}, 1
	q.table, q.arrived = &routing.Table{}, time.Now()
	q.route.Kind, q.route.Resumable, q.route.LatencyTarget, q.route.MaxWait = routing.Streaming, true, 400*time.Millisecond, 2400*time.Millisecond
	if lastID != "" {
		q.call.LastEventID, q.call.Resumes = lastID, "first"
		s.opt.Streams.Begin(t.Context(), "first", continuation.Origin{Service: "llm", Software: e.Software, Incarnation: e.Incarnation(), Unit: q.unit()}, 0)
	}
	if refusal := s.findOrigin(t.Context(), q); refusal != nil {
		t.Fatalf("%+v", refusal)
	}
	return s, q, e
}

// ranksDialect passes the rank of an attempt on.
type ranksDialect struct{ plainDialect }

func (ranksDialect) ReadAnswer(int, http.Header) (m protocol.AnswerMetadata) { return m }

func (ranksDialect) UnknownHeaders(http.Header) []string { return nil }

func (ranksDialect) Outbound(_ http.Header, a protocol.Attempt) http.Header {
	return http.Header{"Rank": {strconv.Itoa(a.Rank)}}
}

// Guards against attempts to take up a stream whose ends cannot be told from those of new requests.
func TestEndsOfTakeUpsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s, q, _ := takeUp(t, "7", 0)
	fresh, fq, _ := takeUp(t, "", 0)
	s.metrics.takenUp, fresh.metrics.takenUp = newReasonCounters(scope, "taken_up"), newReasonCounters(scope, "new")
	for _, end := range []string{"answered", "endpoints-full", "endpoints-full"} {
		s.countTakenUp(q, end)
		fresh.countTakenUp(fq, end)
	}
	s.countTakenUp(nil, "head-too-large")
	got := map[string]int64{}
	for name, c := range scope.Snapshot().Counters() {
		got[name] = c.Value()
	}
	if want := map[string]int64{"taken_up+reason=answered": 1, "taken_up+reason=endpoints-full": 2}; !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// Guards against models whose load yields to others because the streams that wait for them, which have begun, count as too late
// for their first event.
func TestTakenUpStreamIsNotTooLateForItsModel(t *testing.T) {
	for _, c := range []struct {
		name   string
		lastID string
		begun  protocol.Verdict
		late   bool
	}{
		{"a new stream that comes back beyond its objective", "", protocol.NotRun, true},
		{"a stream that is taken up", "7", protocol.NotRun, false},
		{"a stream that has begun in this attempt", "", protocol.MayHaveRun, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, q, _ := takeUp(t, c.lastID, 0)
				q.route.Timeout, q.call.TimeLeft = 11*time.Second, 4*time.Second // its first attempt was seven seconds ago
				q.deadline = q.arrived.Add(q.call.TimeLeft)
				time.Sleep(100 * time.Millisecond)
				w := s.wantOf(q, &attemptState{verdict: c.begun}, residency.Want{})
				if late := w.Slack <= 0; late != c.late || !w.Returning || !late && w.Slack != q.route.MaxWait-100*time.Millisecond {
					t.Errorf("%+v, want late %v", w, c.late)
				}
			})
		})
	}
}

// Guards against callers that come back in vain, as often as they may, for a stream whose model is ready long after their time is over.
func TestTakenUpStreamWhoseModelIsTooLateIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		lastID  string
		readyIn time.Duration
		status  int
	}{
		{"a stream that is taken up, far too late", "7", 17 * time.Second, http.StatusBadRequest},
		{"a stream that is taken up, too late by the estimate", "7", 9 * time.Second, http.StatusServiceUnavailable},
		{"a new stream, far too late", "", 17 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, q, e := takeUp(t, c.lastID, 0)
				q.deadline, e.Models = q.arrived.Add(7*time.Second), nil // no engine holds the model any more
				refusal := s.waitForModel(t.Context(), q, &attemptState{}, residency.Answer{Endpoint: e.Incarnation(), Level: residency.Store, ReadyIn: c.readyIn})
				if refusal == nil || refusal.Status != c.status || (refusal.RetryAfter > 0) != (c.status == http.StatusServiceUnavailable) {
					t.Errorf("%+v, want status %d", refusal, c.status)
				}
			})
		})
	}
}

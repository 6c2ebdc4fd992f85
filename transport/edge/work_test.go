package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

func sizedRequest() *request {
	q := testRequest()
	q.service.Engine = &routing.Engine{Slots: 64, CacheTokens: 232_000}
	q.route.Kind, q.route.GapTarget = routing.Streaming, 500*time.Millisecond
	q.call.PromptTokens, q.call.OutputTokens, q.call.TokensKnown = 9000, 50, true
	q.call.Parts = []protocol.PromptPart{{ID: "a", Tokens: 8000}, {ID: "b", Tokens: 1000}}
	return q
}

// Work is known only of requests of stated size to engines. All others are routed by the number of
// requests.
func TestWorkOfRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*request)
		work   workcost.Work
		parts  int
		gap    time.Duration
		cache  int
	}{
		{"a stream", func(*request) {}, workcost.Work{Prompt: 9000, Output: 50}, 2, 500 * time.Millisecond, 232_000},
		{"not a stream", func(q *request) { q.route.Kind = routing.Safe }, workcost.Work{Prompt: 9000, Output: 50}, 2, 0, 232_000},
		{"absurd sizes", func(q *request) { q.call.PromptTokens, q.call.OutputTokens = 2_000_000_000, -5 }, workcost.Work{Prompt: 1_000_000}, 2, 500 * time.Millisecond, 232_000},
		{"unknown size", func(q *request) { q.call.TokensKnown = false }, workcost.Work{}, 0, 0, 0},
		{"a plain service", func(q *request) { q.service.Engine = nil }, workcost.Work{}, 0, 0, 0},
		{"no model", func(q *request) { q.call.Model = "" }, workcost.Work{}, 0, 0, 0},
	} {
		q := sizedRequest()
		c.change(q)
		got := balanceQuery(q, nil)
		if got.Work != c.work || len(got.Parts) != c.parts || got.GapTarget != c.gap || got.CacheTokens != c.cache {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against prompts that count as pending after the first event of a stream, also of a resumed
// one, whose caller has got events before.
func TestFirstEventOfEachAttemptEndsItsPendingPrompt(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		s := New(Options{Balancer: balance.New("z", 1, newTracker()), Metrics: tally.NoopScope, Dialect: plainDialect{}})
		q := sizedRequest()
		e := &fleet.Endpoint{ID: "e", Service: "llm", Slots: 64}
		c := s.held.open(httptest.NewRecorder())
		c.setTimes(time.Second, time.Now().Add(time.Minute))
		a := &answer{caller: c, server: s, q: q, sentAt: time.Now(), ticket: s.opt.Balancer.Started(time.Now(), e, balanceQuery(q, nil))}
		if resumed {
			a.headerSent, a.lastEventID, a.firstEventAt, a.lastEventAt = true, "1", time.Now(), time.Now()
		}
		if got := s.opt.Balancer.OwnLoads()[e.Incarnation()]; got.PendingPrompt != 9000 || got.Held != 9050 {
			t.Fatalf("resumed %t: %+v after the start", resumed, got)
		}
		resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 2\ndata: x\n\n"))}
		if f := a.forwardStream(context.Background(), resp, &silenceWatch{}); f != nil {
			t.Fatalf("%+v", f)
		}
		if got := s.opt.Balancer.OwnLoads()[e.Incarnation()]; got != (balance.EngineLoad{Running: 1, Held: 9050}) {
			t.Errorf("resumed %t: %+v after the first event", resumed, got)
		}
	}
}

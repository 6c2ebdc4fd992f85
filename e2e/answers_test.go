package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/engine"
	"github.com/doorvalve/doorvalve/standin/fault"
)

// runs returns how often each request id ran, summed over the engines.
func (w *testbed) runs() map[string]int {
	total := map[string]int{}
	for _, e := range w.engines {
		for id, n := range e.Stats().Runs {
			total[id] += n
		}
	}
	return total
}

// Engines close the connection of every stream after a few tokens. The daemons
// must resume the streams, and each caller must get its own answer byte for byte.
func TestAnswersCutStreamsResumed(t *testing.T) {
	w := newTestbed(t, defaults())
	if _, _, r := w.daemons[0].stream("m0", "warm", 2); !r.ok() {
		t.Fatalf("warm-up: %d %v", r.status, r.refusal)
	}
	for _, e := range w.engines {
		e.CutStreamsAfter(7)
	}
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			text, whole, r := w.daemons[i%3].stream("m0", prompt, 30)
			if !r.ok() || !whole || text != engine.Answer(prompt, 30) {
				t.Errorf("%d: status %d, whole %v, %q, tail %q", i, r.status, whole, text, tail(r.body, 200))
			}
		})
	}
	wg.Wait()
}

// Guards against a stream that goes on at another version of the engine's software than the one that
// began it.
func TestAnswersOfOneSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		whole    bool
	}{
		{"the next engine runs the same version", []string{"v1", "v1"}, true},
		{"the engine after the next does", []string{"v1", "v2", "v1"}, true},
		{"none does", []string{"v1", "v2"}, false},
		{"the next engine names none", []string{"v1", ""}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed(t, defaults())
			if _, _, r := w.daemons[0].stream("m0", "warm", 2); !r.ok() {
				t.Fatalf("warm-up: %d %v", r.status, r.refusal)
			}
			for _, e := range w.engines {
				e.CutStreamsAfter(7)
				e.SetSoftware(c.versions...)
			}
			text, whole, r := w.daemons[0].stream("m0", "prompt", 12)
			if whole != c.whole || c.whole && text != engine.Answer("prompt", 12) {
				t.Errorf("whole: %v, %q, %d", whole, text, r.status)
			}
			if strings.Contains(r.body, `"software":"v2"`) || strings.Contains(r.body, `"software":""`) {
				t.Errorf("events of two versions: %s", r.body)
			}
		})
	}
}

// Engines answer with the id of another attempt. Such an answer may belong to
// another request, so no part of it may reach a caller.
func TestAnswersCrossedNeverDelivered(t *testing.T) {
	w := newTestbed(t, defaults())
	if _, r := w.daemons[0].complete("m0", "warm", 2); !r.ok() {
		t.Fatalf("warm-up: %d %v", r.status, r.refusal)
	}
	for _, e := range w.engines {
		e.SetWrongAttemptID(true)
	}
	text, r := w.daemons[1].complete("m0", "x", 4, protocol.HeaderTimeout, "3000")
	if r.ok() || text != "" || r.refusal.Verdict == protocol.NotRun {
		t.Errorf("whole answer: status %d, text %q, verdict %v", r.status, text, r.refusal.Verdict)
	}
	text, whole, r := w.daemons[1].stream("m0", "x", 4)
	if text != "" || whole {
		t.Errorf("stream: status %d, text %q, whole %v", r.status, text, whole)
	}
	for _, e := range w.engines {
		e.SetWrongAttemptID(false)
	}
	w.eventually("served again", func() bool {
		text, r := w.daemons[1].complete("m0", "x", 4)
		return r.ok() && text == engine.Answer("x", 4)
	})
}

// Injects a fault at each step of a model request. A request that is refused as
// "not run" must not have run at any engine, by the engines' own counts; callers
// rely on that when they send it again.
func TestAnswersNotRunIsTrue(t *testing.T) {
	steps := map[string]func(*testbed){
		"endpoint fails":               func(w *testbed) { w.eachEngine(fault.Settings{Fail: true, Path: "/v1/"}) },
		"answer lost":                  func(w *testbed) { w.eachEngine(fault.Settings{LoseAnswers: -1, Path: "/v1/"}) },
		"endpoint frozen":              func(w *testbed) { w.eachEngine(fault.Settings{Freeze: true, Path: "/v1/"}) },
		"endpoint frozen on all paths": func(w *testbed) { w.eachEngine(fault.Settings{Freeze: true}) },
		"orders fail":                  func(w *testbed) { w.eachEngine(fault.Settings{Fail: true, Path: "/orders"}) },
		"platform unavailable":         func(w *testbed) { w.platform.Faults.Set(fault.Settings{Fail: true}) },
		"endpoint leaves":              func(w *testbed) { w.eachEngineLeaving() },
		"coordinator is killed":        func(w *testbed) { w.holder().kill() },
		"coordinator is frozen": func(w *testbed) {
			holder := w.holder()
			holder.freeze()
			time.AfterFunc(3*time.Second, holder.unfreeze)
		},
		"no fault, slow run": func(w *testbed) { w.eachEngine(fault.Settings{DelayMs: 300, Path: "/v1/"}) },
	}
	for name, inject := range steps {
		t.Run(name, func(t *testing.T) {
			o := defaults()
			o.slots = 2
			o.tokenTime = 10 * time.Millisecond
			w := newTestbed(t, o)
			if _, r := w.daemons[0].complete("m0", "warm", 2); !r.ok() {
				t.Fatalf("warm-up: %d %v", r.status, r.refusal)
			}
			before := w.runs()
			var mu sync.Mutex
			var replies []reply
			var wg sync.WaitGroup
			sendRequests := func(n int) {
				for i := range n {
					wg.Go(func() {
						_, r := w.daemons[i%3].complete(fmt.Sprintf("m%d", i%3), fmt.Sprint(i), 5, protocol.HeaderTimeout, "1500")
						mu.Lock()
						defer mu.Unlock()
						replies = append(replies, r)
					})
				}
			}
			sendRequests(6)
			time.Sleep(20 * time.Millisecond)
			inject(w)
			sendRequests(12)
			wg.Wait()
			w.eachEngine(fault.Settings{})
			time.Sleep(50 * time.Millisecond) // calls that were frozen run now
			ran := w.runs()
			refused := 0
			for _, r := range replies {
				if r.ok() || r.err != nil || r.refusal.Verdict != protocol.NotRun {
					continue
				}
				refused++
				id := r.header.Get(protocol.HeaderRequestID)
				if id == "" || ran[id] != before[id] {
					t.Errorf("request %q was refused as \"not run\" (%s) and ran %d times", id, r.refusal.Reason, ran[id])
				}
			}
			t.Logf("%d of %d refused as not run", refused, len(replies))
		})
	}
}

func (w *testbed) eachEngine(f fault.Settings) {
	for _, e := range w.engines {
		e.Faults.Set(f)
	}
}

func (w *testbed) eachEngineLeaving() {
	for _, e := range w.engines {
		e.SetLeaving(true)
	}
}

// Invalid requests must get a 4xx status with the reason and the verdict "not run".
func TestAnswersBadInput(t *testing.T) {
	w := newTestbed(t, defaults())
	p := w.daemons[0]
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"no JSON", "POST", "/v1/completions", "hello", nil, 400, "bad-request"},
		{"no model", "POST", "/v1/completions", "{}", nil, 400, "bad-request"},
		{"unknown model", "POST", "/v1/completions", `{"model":"nope"}`, nil, 404, "unknown-model"},
		{"unknown service", "GET", "/services/nope/x", "", nil, 404, "unknown-service"},
		{"unknown path", "GET", "/nope", "", nil, 404, "no-such-path"},
		{"bad token", "POST", "/v1/completions", `{"model":"m0"}`, []string{"Authorization", "Bearer nope"}, 401, "unknown-caller"},
		{"bad timeout", "POST", "/v1/completions", `{"model":"m0"}`, []string{protocol.HeaderTimeout, "soon"}, 400, "bad-timeout"},
		{"large body", "POST", "/v1/completions", `{"model":"m0","prompt":"` + strings.Repeat("x", 200000) + `"}`, nil, 413, "body-too-large"},
		{"long key", "POST", "/services/app/orders", "{}", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "key-too-long"},
	}
	for _, c := range cases {
		r := p.call(c.method, c.path, c.body, c.headers...)
		if r.status != c.status || r.refusal.Reason != c.reason || r.refusal.Verdict != protocol.NotRun {
			t.Errorf("%s: %d %+v %v", c.name, r.status, r.refusal, r.err)
		}
	}
	if r := p.call("GET", "/v1/models", "", "X-Large", strings.Repeat("x", 64<<10)); r.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large header: %d", r.status)
	}
}

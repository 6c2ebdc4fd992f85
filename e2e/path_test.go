package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/doorvalve/doorvalve/standin/engine"
)

// A burst of requests for an unloaded model at all daemons must cause exactly one
// load, and each caller must get its own answer.
func TestPathColdBurst(t *testing.T) {
	w := newTestbed(t, defaults())
	check := w.watchReplicas("m0", 1)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			text, r := w.daemons[i%3].complete("m0", prompt, 8)
			if !r.ok() || text != engine.Answer(prompt, 8) {
				t.Errorf("request %d: status %d, error %v, refusal %v, text %q", i, r.status, r.err, r.refusal, text)
			}
		})
	}
	wg.Wait()
	check()
	loads := 0
	for _, e := range w.engines {
		loads += e.Stats().Loads["m0"]
	}
	if loads != 1 {
		t.Errorf("%d loads of m0, want 1", loads)
	}
	w.checkMemory()
}

func TestPathStreamAndAdapter(t *testing.T) {
	o := defaults()
	o.adapters = 2
	w := newTestbed(t, o)
	for _, model := range []string{"m1", "a1"} {
		text, whole, r := w.daemons[1].stream(model, "a prompt", 20)
		if !r.ok() || !whole || text != engine.Answer("a prompt", 20) {
			t.Errorf("%s: status %d, whole %v, refusal %v, text %q", model, r.status, whole, r.refusal, text)
		}
	}
	w.checkMemory()
}

func TestPathPlainServiceAndOrder(t *testing.T) {
	w := newTestbed(t, defaults())
	if r := w.daemons[0].call("GET", "/services/app/positions?day=2", ""); !r.ok() {
		t.Fatalf("plain call: %d %s %v", r.status, r.body, r.err)
	}
	if r := w.daemons[0].call("POST", "/services/app/orders", "{}"); r.status != http.StatusBadRequest {
		t.Errorf("an order without a key: status %d, want 400", r.status)
	}
	if r := w.daemons[0].call("POST", "/services/app/orders", "{}", "Idempotency-Key", "k1"); !r.ok() {
		t.Errorf("order: %d %s %v", r.status, r.body, r.err)
	}
	if r := w.daemons[1].call("POST", "/services/app/orders", "{}", "Idempotency-Key", "k1"); r.status != http.StatusConflict {
		t.Errorf("the same order again: status %d, want 409", r.status)
	}
	w.checkRanAtMostOnce(map[string]bool{"k1": true})
}

// checkRanAtMostOnce checks by the services' own counts that no key ran more than
// once, and that the keys with true in keys ran.
func (w *testbed) checkRanAtMostOnce(keys map[string]bool) {
	w.t.Helper()
	runs := map[string]int{}
	for _, s := range w.services {
		for k, n := range s.Runs() {
			runs[k] += n
		}
	}
	for k, n := range runs {
		if n > 1 {
			w.t.Errorf("order %s ran %d times", k, n)
		}
	}
	for k, must := range keys {
		if must && runs[k] != 1 {
			w.t.Errorf("order %s ran %d times, want once", k, runs[k])
		}
	}
}

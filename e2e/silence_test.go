package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/standin/engine"
)

// Guards against callers that notice a pause of all sound endpoints: streams that are cut, requests that are refused or run
// twice, and a model that is loaded more than once because its order was on its way.
func TestPauseOfAllEndpoints(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			o := defaults()
			o.tokenTime, o.work = 20*time.Millisecond, 300*time.Millisecond
			o.slots = 16 // room for all requests below at one engine: none may be refused
			w := newTestbed(t, o)
			for _, d := range w.daemons { // the models are loaded
				for _, model := range []string{"m0", "m1"} {
					if _, r := d.complete(model, "first", 1); !r.ok() {
						t.Fatalf("%s: status %d, refusal %v", model, r.status, r.refusal)
					}
				}
			}
			const tokens = 60
			var wg sync.WaitGroup
			for i := range 12 {
				d := w.daemons[i%3]
				wg.Go(func() {
					prompt := fmt.Sprint("prompt ", i)
					if text, whole, r := d.stream(fmt.Sprintf("m%d", i%2), prompt, tokens); !r.ok() || !whole || text != engine.Answer(prompt, tokens) {
						t.Errorf("stream %d: status %d, whole %v, error %v, refusal %v", i, r.status, whole, r.err, r.refusal)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			for i := range 6 {
				d := w.daemons[i%3]
				wg.Go(func() {
					if r := d.call("GET", "/services/app/positions?day=2", ""); !r.ok() {
						t.Errorf("safe call: status %d, error %v, refusal %v", r.status, r.err, r.refusal)
					}
				})
				wg.Go(func() {
					if r := d.call("POST", "/services/app/orders", "{}", "Idempotency-Key", fmt.Sprint("k", i)); r.status != http.StatusOK {
						t.Errorf("order: status %d, error %v, refusal %v", r.status, r.err, r.refusal)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			w.silence.Begin()
			for _, d := range w.daemons {
				wg.Go(func() {
					if _, r := d.complete("m5", "load", 1); !r.ok() {
						t.Errorf("a model in load: status %d, error %v, refusal %v", r.status, r.err, r.refusal)
					}
				})
			}
			time.Sleep(pause)
			w.silence.End()
			wg.Wait()
			loads := 0
			for _, e := range w.engines {
				loads += e.Stats().Loads["m5"]
			}
			if loads != 1 {
				t.Errorf("the model was loaded %d times", loads)
			}
			for _, d := range w.daemons {
				for _, line := range []string{"endpoint ended under requests", "request held back", "endpoint avoided", "attempt failed"} {
					if n := strings.Count(d.log.String(), line); n > 0 {
						t.Errorf("%s logged %q %d times", d.name, line, n)
					}
				}
			}
		})
	}
}

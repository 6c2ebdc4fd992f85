package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/fault"
)

// order sends a non-repeatable call with an idempotency key.
func (p *proc) order(key string) reply {
	return p.call("POST", "/services/app/orders", `{"order":1}`, "Idempotency-Key", key)
}

// checkVerdicts compares the replies to the calls with each key with the services'
// own counts. No key may have run more than once, a key with a successful reply
// must have run once, and a key with only "not run" replies must not have run.
func (w *testbed) checkVerdicts(replies map[string][]reply) {
	w.t.Helper()
	runs := map[string]int{}
	for _, s := range w.services {
		for k, n := range s.Runs() {
			runs[k] += n
		}
	}
	for key, list := range replies {
		ok, unsure := false, false
		for _, r := range list {
			ok = ok || r.ok()
			unsure = unsure || !r.ok() && (r.status == 0 || r.refusal.Verdict != protocol.NotRun)
		}
		switch n := runs[key]; {
		case n > 1:
			w.t.Errorf("order %s ran %d times", key, n)
		case ok && n != 1:
			w.t.Errorf("order %s got a successful answer and ran %d times", key, n)
		case !ok && !unsure && n != 0:
			w.t.Errorf("order %s got only \"not run\" answers and ran", key)
		}
	}
}

// Calls with the same keys arrive at all daemons at once. Each key must run once,
// and exactly one of its calls must get the answer.
func TestOrdersSameKeyEverywhere(t *testing.T) {
	w := newTestbed(t, defaults())
	var mu sync.Mutex
	replies := map[string][]reply{}
	var wg sync.WaitGroup
	for k := range 20 {
		for _, p := range w.daemons {
			wg.Go(func() {
				key := fmt.Sprintf("k%d", k)
				r := p.order(key)
				mu.Lock()
				defer mu.Unlock()
				replies[key] = append(replies[key], r)
			})
		}
	}
	wg.Wait()
	for key, list := range replies {
		answered := 0
		for _, r := range list {
			if r.ok() {
				answered++
			}
		}
		if answered != 1 {
			t.Errorf("order %s was answered %d times, want once: %v %v %v", key, answered, list[0].refusal, list[1].refusal, list[2].refusal)
		}
	}
	w.checkVerdicts(replies)
}

// Daemons are killed and replaced, one after the other, before, while and after
// they dispatch orders. Callers retry at other daemons with the same key until
// they get an answer. No order may run twice, and each must reach a final answer.
func TestOrdersDaemonsKilledAndReplaced(t *testing.T) {
	o := defaults()
	o.work = 20 * time.Millisecond
	w := newTestbed(t, o)
	var mu sync.Mutex
	procs := append([]*proc(nil), w.daemons...)
	pick := func(n int) *proc {
		mu.Lock()
		defer mu.Unlock()
		return procs[n%len(procs)]
	}
	replies := map[string][]reply{}
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for n := range 25 {
				key := fmt.Sprintf("c%d-%d", c, n)
				for try := range 20 {
					r := pick(c + n + try).order(key)
					mu.Lock()
					replies[key] = append(replies[key], r)
					mu.Unlock()
					if r.ok() || r.status == http.StatusConflict {
						break
					}
					// A takeover takes the term of a lease; refusals meanwhile have that as their retry-after.
					time.Sleep(max(50*time.Millisecond, r.refusal.RetryAfter))
				}
			}
		})
	}
	for i := range 3 {
		time.Sleep(150 * time.Millisecond)
		fresh := w.startDaemon(fmt.Sprintf("fresh%d", i), "hall-b", o)
		w.inForce(1)
		mu.Lock()
		victim := procs[0]
		procs = append(procs[1:], fresh)
		mu.Unlock()
		victim.kill()
	}
	wg.Wait()
	w.checkVerdicts(replies)
	answered := 0
	for _, list := range replies {
		if list[len(list)-1].ok() || list[len(list)-1].status == http.StatusConflict {
			answered++
		}
	}
	if answered != len(replies) {
		t.Errorf("%d of %d orders reached a final answer", answered, len(replies))
	}
}

// The platform is slow, frozen, unavailable, or loses the answers to writes that
// took effect. Verdicts must stay true, and during an outage orders must be
// refused as "not run" with Retry-After.
func TestOrdersPlatformFaults(t *testing.T) {
	w := newTestbed(t, defaults())
	if r := w.daemons[0].order("warm"); !r.ok() {
		t.Fatalf("order: %d %v", r.status, r.refusal)
	}
	faults := map[string]fault.Settings{
		"lost":   {LoseAnswers: -1, Path: "/objects/claim/", Method: "PUT"},
		"away":   {Fail: true, Path: "/objects/claim/"},
		"frozen": {Freeze: true, Path: "/objects/claim/"},
		"slow":   {DelayMs: 150, Path: "/objects/claim/"},
	}
	replies := map[string][]reply{}
	var mu sync.Mutex
	for name, f := range faults {
		w.platform.Faults.Set(f)
		var wg sync.WaitGroup
		for k := range 6 {
			for _, p := range w.daemons[:2] {
				wg.Go(func() {
					key := fmt.Sprintf("%s-%d", name, k)
					r := p.call("POST", "/services/app/orders", "{}", "Idempotency-Key", key, protocol.HeaderTimeout, "4000")
					mu.Lock()
					defer mu.Unlock()
					replies[key] = append(replies[key], r)
				})
			}
		}
		wg.Wait()
		w.platform.Faults.Set(fault.Settings{})
	}
	for k := range 6 {
		key := fmt.Sprintf("away-%d", k)
		for _, r := range replies[key] {
			if r.status != http.StatusServiceUnavailable || r.refusal.Verdict != protocol.NotRun || r.header.Get("Retry-After") == "" {
				t.Errorf("platform unavailable: %d %v, Retry-After %q", r.status, r.refusal, r.header.Get("Retry-After"))
			}
		}
	}
	for key, list := range replies { // orders refused as "not run" can be sent again
		if last := list[len(list)-1]; !last.ok() && last.refusal.Verdict == protocol.NotRun {
			replies[key] = append(replies[key], w.daemons[2].order(key))
		}
	}
	w.checkVerdicts(replies)
}

// A service closes the connection after it ran an order. The order must not be
// sent a second time, also if the connection had been idle, and the verdict must
// be that it may have run.
func TestOrdersAnswerOfServiceLost(t *testing.T) {
	w := newTestbed(t, defaults())
	for range 4 { // opens connections that are idle when the orders come
		for _, p := range w.daemons {
			if r := p.call("GET", "/services/app/x", ""); !r.ok() {
				t.Fatalf("warm-up: %d %v", r.status, r.refusal)
			}
		}
	}
	for _, s := range w.services {
		s.Faults.Set(fault.Settings{LoseAnswers: -1, Path: "/orders"})
	}
	replies := map[string][]reply{}
	for k := range 5 {
		key := fmt.Sprintf("k%d", k)
		r := w.daemons[k%3].order(key)
		if r.ok() || r.refusal.Verdict != protocol.MayHaveRun {
			t.Errorf("%s: status %d, verdict %v", key, r.status, r.refusal.Verdict)
		}
		replies[key] = append(replies[key], r, w.daemons[(k+1)%3].order(key))
	}
	w.checkVerdicts(replies)
	w.checkRanAtMostOnce(map[string]bool{"k0": true, "k1": true, "k2": true, "k3": true, "k4": true})
}

// An error status of the service itself is its answer: it must be passed on to the
// caller as it is, not replaced by a refusal.
func TestOrdersServiceErrorPassesThrough(t *testing.T) {
	o := defaults()
	o.plain = 1
	w := newTestbed(t, o)
	if r := w.daemons[0].order("first"); !r.ok() {
		t.Fatalf("order: %d %v", r.status, r.refusal)
	}
	w.services["app0"].Faults.Set(fault.Settings{Fail: true, Path: "/orders"})
	if r := w.daemons[0].order("failed"); r.status != http.StatusServiceUnavailable || r.refusal.Status != 0 {
		t.Errorf("the service's own 503 should pass through: %d %v", r.status, r.refusal)
	}
}

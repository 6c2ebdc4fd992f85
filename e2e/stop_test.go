package e2e_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/standin/engine"
)

// streamTokens is the length of a stream. A stream takes longer than a daemon
// takes to close its listeners, so that only the graceful shutdown completes it.
const streamTokens = 900

// All daemons are replaced one after the other during traffic. No stream in progress
// may be cut off, also for callers that use a list of addresses until its TTL ends.
func TestStopRollingRestartCutsNothing(t *testing.T) {
	o := defaults()
	o.tokenTime = 5 * time.Millisecond
	w := newTestbed(t, o)
	if _, _, r := w.daemons[0].stream("m0", "warm", 2); !r.ok() {
		t.Fatalf("warm-up: %d %v", r.status, r.refusal)
	}
	var mu sync.Mutex // procs and byAddress
	procs := append([]*proc(nil), w.daemons...)
	byAddress := map[string]*proc{}
	for _, p := range procs {
		byAddress[p.callers] = p
	}
	var stop atomic.Bool
	var served atomic.Int64
	var wg sync.WaitGroup
	for c := range 6 {
		wg.Go(func() {
			mu.Lock()
			daemon := procs[c%3]
			mu.Unlock()
			for n := 0; !stop.Load(); n++ {
				a, err := w.addressesOf(daemon)
				if err != nil || len(a.Addresses) == 0 {
					mu.Lock() // this daemon has stopped: use another
					daemon = procs[(c+n)%len(procs)]
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
					continue
				}
				until := time.Now().Add(time.Duration(a.TTLMs) * time.Millisecond)
				for time.Now().Before(until) && !stop.Load() {
					mu.Lock()
					p := byAddress[a.Addresses[c%len(a.Addresses)].Address] // spreads the callers over all daemons
					mu.Unlock()
					prompt := fmt.Sprintf("caller %d call %d", c, n)
					text, whole, r := p.stream("m0", prompt, streamTokens)
					if !r.ok() || !whole || text != engine.Answer(prompt, streamTokens) {
						t.Errorf("cut off: status %d, whole %v, error %v, refusal %v", r.status, whole, r.err, r.refusal)
						return
					}
					served.Add(1)
				}
			}
		})
	}
	for i, old := range procs[:3] {
		fresh := w.startDaemon(fmt.Sprintf("fresh%d", i), "hall-a", o)
		mu.Lock()
		procs = append(procs, fresh)
		byAddress[fresh.callers] = fresh
		mu.Unlock()
		w.inForce(1)
		old.stop()
		w.eventually(old.name+" exits", func() bool { return !old.alive() })
		if old.err != nil {
			t.Errorf("%s exited with %v", old.name, old.err)
		}
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("%d streams served whole", served.Load())
	if served.Load() == 0 {
		t.Error("no stream was served")
	}
}

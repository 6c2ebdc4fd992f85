package e2e_test

import (
	"fmt"
	"testing"
	"time"
)

// Bounds on the calls to the platform. They are upper bounds on counts a second
// or a rollout, so that a slow machine, which makes fewer calls, meets them too.
const (
	maxPlatformCallsAtRest = 6.0 // a second, three daemons, two groups: renewals, reads of candidates, watches, the host list
	maxPlatformWritesRest  = 2.0 // a second: renewals of one lease, at the test's term of 2 s
	maxWritesPerRollout    = 4   // bundle, review, sign-off, pointer
)

// platformCalls returns the number of platform calls so far.
func (w *testbed) platformCalls() int {
	c := w.platform.Counts()
	return c.Reads + c.Writes + c.Watches + c.Hosts
}

// Requests for a loaded model must make no platform calls, idle daemons few, and
// a rollout must write four objects, independent of the number of daemons.
func TestBudgetPlatformCalls(t *testing.T) {
	w := newTestbed(t, defaults())
	if _, r := w.daemons[0].complete("m0", "warm", 1); !r.ok() {
		t.Fatalf("warm-up: %d %v", r.status, r.refusal)
	}
	const seconds = 5
	before, writes := w.platformCalls(), w.platform.Counts().Writes
	time.Sleep(seconds * time.Second)
	rest := float64(w.platformCalls()-before) / seconds
	restWrites := float64(w.platform.Counts().Writes-writes) / seconds
	t.Logf("at rest: %.1f platform calls and %.1f writes a second", rest, restWrites)
	if rest > maxPlatformCallsAtRest || restWrites > maxPlatformWritesRest {
		t.Errorf("at rest: %.1f platform calls a second, %.1f writes", rest, restWrites)
	}
	before, start := w.platformCalls(), time.Now()
	const requests = 300
	for i := range requests {
		if _, r := w.daemons[i%3].complete("m0", fmt.Sprint(i), 1); !r.ok() {
			t.Fatalf("%d %v", r.status, r.refusal)
		}
	}
	allowed := maxPlatformCallsAtRest*(time.Since(start).Seconds()+1) + requests/100
	if made := w.platformCalls() - before; float64(made) > allowed {
		t.Errorf("%d platform calls during %d requests, at most %.0f allowed", made, requests, allowed)
	}
	counts := w.platform.Counts().ByKind
	w.rollout(withWorth(w.bundle, 21))
	w.inForce(2)
	after := w.platform.Counts().ByKind
	made := 0
	for _, kind := range []string{"bundle", "review", "config"} {
		made += after[kind] - counts[kind]
	}
	if made > maxWritesPerRollout {
		t.Errorf("%d writes for a rollout, at most %d allowed", made, maxWritesPerRollout)
	}
}

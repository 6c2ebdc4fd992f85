package gate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/coordination/admission"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
)

func credit(name string, limit int) Credit {
	return Credit{Endpoint: bundle.Endpoint{Name: name, Address: "127.0.0.1:1"}, Limit: limit}
}

// maxAllocsWithCredit bounds the allocations of a request that finds credit.
const maxAllocsWithCredit = 0

// While a daemon has credit, a request takes no lock and allocates nothing.
func TestGateCreditAllocatesNothing(t *testing.T) {
	g := New("m", 16, func() { t.Error("credit was requested") }, allOpen)
	g.Update(time.Now(), []Credit{credit("a", 4), credit("b", 4)}, admission.Estimate{})
	ctx, req := context.Background(), Request{Worth: 1, Deadline: time.Now().Add(time.Hour), Affinity: 7}
	g.mu.Lock() // Acquire and Release must not need it
	defer g.mu.Unlock()
	allocs := testing.AllocsPerRun(1000, func() {
		s, refusal := g.Acquire(ctx, req)
		if refusal != nil {
			t.Fatal(refusal)
		}
		g.Release(s, time.Millisecond)
	})
	if allocs > maxAllocsWithCredit {
		t.Errorf("%.1f allocations, at most %d allowed", allocs, maxAllocsWithCredit)
	}
}

// Every waiting request gets exactly one answer before its deadline, and the
// slots in use never exceed the credit, while credits change and callers
// disconnect.
func TestGateEveryRequestAnsweredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("m", 50, func() {}, allOpen)
		g.service.Store(int64(100 * time.Millisecond))
		start := time.Now()
		var mu sync.Mutex
		answers, refusals, running, peak := 0, 0, 0, 0
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i%40) * 10 * time.Millisecond)
				deadline := time.Now().Add(time.Duration(200+10*(i%150)) * time.Millisecond)
				ctx, cancel := context.WithDeadline(context.Background(), deadline)
				defer cancel()
				if i%17 == 0 {
					time.AfterFunc(50*time.Millisecond, cancel) // the caller disconnects
				}
				s, refusal := g.Acquire(ctx, Request{Worth: int64(i % 5), Deadline: deadline})
				if time.Now().After(deadline) {
					t.Errorf("request %d was answered %s after its deadline", i, time.Since(deadline))
				}
				mu.Lock()
				answers++
				if refusal != nil {
					refusals++
					if refusal.Verdict != protocol.NotRun || refusal.RetryAfter <= 0 {
						t.Errorf("refusal %v", refusal)
					}
					mu.Unlock()
					return
				}
				running++
				peak = max(peak, running)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				running--
				mu.Unlock()
				g.Release(s, 100*time.Millisecond)
			})
		}
		for n := range 60 {
			time.Sleep(20 * time.Millisecond)
			g.Update(time.Now(), []Credit{credit("a", 3+n%3), credit("b", 2)}, admission.Estimate{})
			g.Review(time.Now())
		}
		wg.Wait()
		if answers != 200 || refusals == 0 || refusals == 200 {
			t.Errorf("%d answers, %d refusals", answers, refusals)
		}
		if peak > 7 {
			t.Errorf("%d requests ran at once on a credit of at most 7", peak)
		}
		if g.queue.Len() != 0 || len(g.waiters) != 0 || g.inFlight.Load() != 0 {
			t.Errorf("left behind: %+v", g.View())
		}
		t.Logf("%d refusals in %s", refusals, time.Since(start))
	})
}

// Without a coordinator, credit is kept, and waiting requests are refused only at
// a gate that has none.
func TestGateFailKeepsCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("m", 16, func() {}, allOpen)
		g.Update(time.Now(), []Credit{credit("a", 1)}, admission.Estimate{})
		deadline := time.Now().Add(time.Minute)
		s, refusal := g.Acquire(context.Background(), Request{Deadline: deadline})
		if refusal != nil {
			t.Fatal(refusal)
		}
		go func() {
			time.Sleep(time.Second)
			g.Fail(time.Now(), "no-coordinator", time.Second)
			g.Release(s, time.Second)
		}()
		if s, refusal = g.Acquire(context.Background(), Request{Deadline: deadline}); refusal != nil {
			t.Fatalf("refused although credit was kept: %v", refusal)
		}
		g.Release(s, time.Second)
		empty := New("n", 16, func() {}, allOpen)
		go func() {
			time.Sleep(time.Second)
			empty.Fail(time.Now(), "no-coordinator", 5*time.Second)
		}()
		if _, refusal = empty.Acquire(context.Background(), Request{Deadline: deadline}); refusal == nil || refusal.RetryAfter != 5*time.Second {
			t.Errorf("refusal %v", refusal)
		}
	})
}

func BenchmarkGateWithCredit(b *testing.B) {
	g := New("m", 16, func() {}, allOpen)
	var credits []Credit
	for i := range 8 {
		credits = append(credits, credit(fmt.Sprint("e", i), 1024))
	}
	g.Update(time.Now(), credits, admission.Estimate{})
	req := Request{Deadline: time.Now().Add(time.Hour), Affinity: 7}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, refusal := g.Acquire(context.Background(), req)
			if refusal != nil {
				b.Fatal(refusal)
			}
			g.Release(s, time.Microsecond)
		}
	})
}

// Guards against requests that are refused by an expired estimate.
func TestGateOldEstimateIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("m", 16, func() {}, allOpen)
		g.Update(time.Now(), nil, admission.Estimate{RefuseReason: "left-to-scripts", RetryAfter: time.Minute})
		time.Sleep(2 * estimateTTL)
		go func() {
			time.Sleep(10 * time.Millisecond)
			g.Update(time.Now(), []Credit{credit("a", 1)}, admission.Estimate{})
		}()
		s, refusal := g.Acquire(context.Background(), Request{Deadline: time.Now().Add(time.Minute)})
		if refusal != nil {
			t.Fatalf("refused by an old estimate: %v", refusal)
		}
		g.Release(s, time.Millisecond)
	})
}

func allOpen(bundle.Endpoint) bool { return false }

// Guards against credit that is used at an endpoint that is closed by its backpressure signals, and
// against requests that wait in the queue only for such endpoints.
func TestGateRespectsBackpressure(t *testing.T) {
	closed := map[string]bool{"a": true}
	g := New("m", 16, func() {}, func(e bundle.Endpoint) bool { return closed[e.Name] })
	now := time.Now()
	g.Update(now, []Credit{{Endpoint: bundle.Endpoint{Name: "a"}, Limit: 9}, {Endpoint: bundle.Endpoint{Name: "b"}, Limit: 1}}, admission.Estimate{})
	s, refusal := g.Acquire(t.Context(), Request{Deadline: now.Add(time.Second)})
	if refusal != nil || s.Endpoint.Name != "b" || g.Unavailable() != nil {
		t.Fatalf("%+v, %v, unavailable %v", s, refusal, g.Unavailable())
	}
	closed["b"] = true
	if unavailable := g.Unavailable(); len(unavailable) != 2 {
		t.Errorf("%v are unavailable, want two endpoints", unavailable)
	}
	closed = map[string]bool{}
	if s, refusal := g.Acquire(t.Context(), Request{Deadline: now.Add(time.Second)}); refusal != nil || s.Endpoint.Name != "a" {
		t.Errorf("%+v, %v", s, refusal)
	}
}

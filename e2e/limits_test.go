package e2e_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/standin/service"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// An endpoint reports in its answers a limit of requests a second for all daemons together. Guards
// against daemons that ignore the report, and against daemons that each keep to the limit on their
// own, so that together they exceed it.
func TestEndpointThatNamesALimitIsPaced(t *testing.T) {
	const (
		limit       = "2"
		maxInWindow = 17 // within the window: one and a half times the limit, and 5 more
		window      = 4 * time.Second
		propagation = 3 * time.Second
	)
	o := defaults()
	o.engines, o.models, o.plain = 0, 0, 2
	o.change = func(b *bundle.Bundle) { b.Services = b.Services[1:] } // without the engines
	w := newTestbed(t, o)
	services := []*service.Service{w.services["app0"], w.services["app1"]}
	w.eventually("calls are served", func() bool { return w.daemons[0].call("POST", "/services/app/x", "first").ok() })
	services[0].SetRateLimit(limit)
	reportedAt := time.Now()
	served, all := w.sendCalls(propagation + 2*window)
	arrived := services[0].Arrivals()
	largest, first := 0, 0
	for i, at := range arrived {
		for at.Sub(arrived[first]) > window || arrived[first].Before(reportedAt.Add(propagation)) && first < i {
			first++
		}
		largest = max(largest, i-first+1)
	}
	if largest > maxInWindow {
		t.Errorf("%d requests in 4 s at a limit of %s a second, allowed %d", largest, limit, maxInWindow)
	}
	if served < all*99/100 {
		t.Errorf("%d of %d served though another endpoint has room", served, all)
	}
	services[0].SetRateLimit("")
	before := len(services[0].Arrivals())
	w.sendCalls(5 * time.Second)
	if n := len(services[0].Arrivals()) - before; n < 60 {
		t.Errorf("%d requests in the 5 s after the limit was lifted, want at least 60", n)
	}
	services[0].SetRateLimit("0")
	services[1].SetRateLimit("0")
	w.sendCalls(propagation)
	r := w.daemons[0].call("POST", "/services/app/x", "too many")
	if r.status != http.StatusServiceUnavailable || r.refusal.Reason != "endpoints-limited" || r.header.Get("Retry-After") == "" {
		t.Errorf("with all endpoints at their limit a call got %d %q, Retry-After %q", r.status, r.refusal.Reason, r.header.Get("Retry-After"))
	}
}

// sendCalls sends a call every 20 ms to the daemons in turn for the time d, and returns
// how many were served and how many were sent.
func (w *testbed) sendCalls(d time.Duration) (served, all int) {
	const every = 20 * time.Millisecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); all++ {
		<-ticker.C
		daemon := w.daemons[all%len(w.daemons)]
		wg.Go(func() {
			if daemon.call("POST", "/services/app/x", "body").ok() {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	wg.Wait()
	return served, all
}

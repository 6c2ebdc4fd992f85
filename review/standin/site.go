package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// host is the host that all routes have.
const host = "ficu95.example"

// site is a small deployment: a store, model workers behind gates, and daemons as processes.
type site struct {
	dir     string
	store   *store
	workers []*worker
	gates   []*gate
	daemons []*daemon

	mu     sync.Mutex
	record io.Writer
	began  time.Time
}

// newSite starts the store, and a worker for each list of models.
func newSite(record io.Writer, plans func(id string) plan, held ...[]string) (*site, error) {
	dir, err := os.MkdirTemp("", "doorvalve-review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: newStore(), record: record, began: time.Now()}
	var names []string
	for i, models := range held {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: "assist-lm", store: s.store, plans: plans, engine: newEngine(s, models)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(l, w) }()
		g, err := newGate(l.Addr().String())
		if err != nil {
			return nil, err
		}
		w.address = g.address()
		w.register()
		s.workers, s.gates = append(s.workers, w), append(s.gates, g)
		names = append(names, models...)
	}
	s.store.set("config", "main", desiredState(1, names))
	return s, nil
}

// newEngine returns an engine that holds models and answers all orders.
func newEngine(s *site, models []string) *engine {
	e := &engine{adapters: map[string][]string{}, onDisk: models, note: s.note, onChange: func() {}, crashed: make(chan struct{}), unanswered: func(order) <-chan struct{} { return nil }}
	for _, m := range models {
		e.adapters[m] = nil
	}
	return e
}

// desiredState has the routes of two kinds of streaming requests of a small site.
func desiredState(version int, models []string) map[string]any {
	var list []map[string]any
	seen := map[string]bool{}
	for _, m := range models {
		if !seen[m] {
			list = append(list, map[string]any{"name": m, "weights_mb": modelMB, "load_time_s": 6, "adapters": lateAdapters, "adapter_mb": adapterMB, "warm_s": 0.47, "disk_load_s": 0.84})
		}
		seen[m] = true
	}
	route := func(name, prefix string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeout, "target_latency_ms": target, "gap_target_ms": 300,
			"priority": priority, "service": "assist-lm", "attempts": attempts, "sticky_sessions": true, "resumable": resumable,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("r-summary", "/summary/", 15000, 400, 1, 2, true),
			route("r-report", "/report-draft/", 25000, 2500, 0, 1, false),
		},
		"services": []map[string]any{{
			"name": "assist-lm", "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 135497, "kv_token_bytes": 163840, "link_mbps": 740000, "moves": true, "backups": true, "stride": 5, "upper_limit": 12,
				"host_memory_mb": 150000, "disk_mb": 1300000, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "weights_mb": engineMemoryMB, "adapter_slots": adapterSlots, "loads_per_s": 3.1, "models": list,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startDaemons starts daemons and waits until they are ready.
func (s *site) startDaemons(n int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s.store) }()
	var seeds []string
	for i := range n {
		d := newDaemon(s.dir, fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", i+1), l.Addr().String(), seeds)
		if i == 0 {
			seeds = []string{d.control}
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if !within(10*time.Second, d.isReady) {
			return fmt.Errorf("%s is not ready", d.host)
		}
	}
	time.Sleep(4 * time.Second) // until the daemons know of each other
	return nil
}

// within waits until a condition holds, and reports whether it did in time.
func within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// noteRuns writes the runs of a request to the record.
func (s *site) noteRuns(id string) {
	for _, w := range s.workers {
		for _, r := range w.runsOf(id) {
			end := "still at work"
			if !r.ended.IsZero() {
				end = fmt.Sprintf("ended at %.3f s", r.ended.Sub(s.began).Seconds())
			}
			s.note("  run of %s at %s: begun at %.3f s with event %d, wrote up to event %d, %s, complete: %v", r.id, r.worker, r.begun.Sub(s.began).Seconds(), r.from, r.written, end, r.complete)
		}
	}
}

// end ends all processes. The logs of the daemons stay if keep is set.
func (s *site) end(keep string) {
	for _, d := range s.daemons {
		d.end()
		if keep != "" {
			content, _ := os.ReadFile(d.logFile())
			_ = os.WriteFile(keep+"-"+d.host+".log", content, 0o600)
		}
	}
	_ = os.RemoveAll(s.dir)
}

// Package engine is a stand-in for a model engine: it takes orders to load and
// unload, streams tokens that follow from the prompt alone, resumes and
// cancels streams, reports its load with a lag, and has memory that can really
// be overcommitted and says so.
package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/fault"
)

// Options describe the engine.
type Options struct {
	Name          string
	MemoryMiB     int64
	Slots         int
	ChecksFencing bool
	TokenTime     time.Duration
	ReportLag     time.Duration // age of the running counts it reports
	StoreURL      string        // weight store; empty: loads take LoadTime
	LoadTime      time.Duration
}

type unit struct {
	protocol.EngineUnit
	reported int // running, as of the last report
}

// Engine is the stand-in.
type Engine struct {
	Faults *fault.Injector

	opt     Options
	client  *http.Client
	mu      sync.Mutex
	units   map[string]*unit
	cached  map[string]protocol.Tier
	fence   uint64
	version uint64
	leaving bool
	running int
	stats   Stats
	lagAt   time.Time
	cutAt   int // cut streams after this many tokens; 0: never
	crossed bool
	pause   string // that it asks for as it refuses all requests; empty: it serves
}

// Stats are the engine's own counts, the judge in tests.
type Stats struct {
	Runs              map[string]int `json:"runs"` // by request id
	Loads             map[string]int `json:"loads"`
	Overcommitted     int            `json:"overcommitted"`
	RefusedStaleFence int            `json:"refused_old_fence"`
	PeakMemoryMiB     int64          `json:"peak_memory_mib"`
	PeakRunning       int            `json:"peak_running"`
	Orders            int            `json:"orders"`
	LastStart         time.Time      `json:"last_start"` // of the newest request
}

// New returns an engine with nothing loaded.
func New(opt Options) *Engine {
	return &Engine{
		Faults: fault.New(), opt: opt, client: &http.Client{}, units: map[string]*unit{}, version: 1,
		cached: map[string]protocol.Tier{}, stats: Stats{Runs: map[string]int{}, Loads: map[string]int{}},
	}
}

// Stats returns a copy of the counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.stats
	c.Runs, c.Loads = map[string]int{}, map[string]int{}
	for k, v := range e.stats.Runs {
		c.Runs[k] = v
	}
	for k, v := range e.stats.Loads {
		c.Loads[k] = v
	}
	return c
}

// Orders returns the number of orders received.
func (e *Engine) Orders() int { return e.Stats().Orders }

// Units returns the units that take memory now.
func (e *Engine) Units() []protocol.EngineUnit { return e.state().Units }

// SetLeaving makes the engine say that it is leaving.
func (e *Engine) SetLeaving(yes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = yes
	e.version++
}

// SetPause makes the engine refuse all requests and ask for a pause, in seconds; empty: it serves.
func (e *Engine) SetPause(seconds string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = seconds
}

// CutStreamsAfter cuts each new stream after n tokens; 0 stops cutting.
func (e *Engine) CutStreamsAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAt = n
}

// CrossAnswers makes the engine answer under another attempt's id.
func (e *Engine) SetWrongAttemptID(yes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crossed = yes
}

// Preload puts a unit into memory behind doorvalve's back, as an operator's
// script would.
func (e *Engine) Preload(u protocol.EngineUnit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u.Status = protocol.UnitReady
	e.units[u.Unit] = &unit{EngineUnit: u}
	e.version++
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", e.getState)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Stats()) })
	mux.HandleFunc("POST /control/leaving", func(_ http.ResponseWriter, r *http.Request) { e.SetLeaving(r.URL.Query().Get("yes") != "false") })
	return e.Faults.Wrap(mux)
}

func (e *Engine) state() protocol.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.lagAt) >= e.opt.ReportLag {
		e.lagAt = now
		for _, u := range e.units {
			if u.reported != u.Running {
				u.reported = u.Running
				e.version++
			}
		}
	}
	s := protocol.EngineState{
		Endpoint: e.opt.Name, Version: e.version, Fence: e.fence, MemoryMiB: e.opt.MemoryMiB, Slots: e.opt.Slots,
		Leaving: e.leaving, Overcommitted: e.stats.Overcommitted, Cached: map[string]protocol.Tier{},
	}
	for _, u := range e.units {
		eu := u.EngineUnit
		eu.Running = u.reported
		s.Units = append(s.Units, eu)
	}
	for name, tier := range e.cached {
		s.Cached[name] = tier
	}
	return s
}

func (e *Engine) getState(w http.ResponseWriter, r *http.Request) {
	s := e.state()
	tag := fmt.Sprintf(`"%d"`, s.Version)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o protocol.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	if e.opt.ChecksFencing && o.Fence < e.fence {
		e.stats.RefusedStaleFence++
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	if e.opt.ChecksFencing {
		e.fence = o.Fence
	}
	if !o.ExpiresAt.IsZero() && time.Now().After(o.ExpiresAt) {
		http.Error(w, "order has expired", http.StatusGone)
		return
	}
	switch o.Kind {
	case protocol.OrderLoad:
		e.load(o)
	case protocol.OrderUnload:
		e.unload(o)
	}
	w.WriteHeader(http.StatusAccepted)
}

// load starts a load; the caller holds the mutex.
func (e *Engine) load(o protocol.Order) {
	if e.units[o.Unit] != nil {
		return
	}
	e.units[o.Unit] = &unit{EngineUnit: protocol.EngineUnit{
		Unit: o.Unit, Version: o.Version, Base: o.Base, Status: protocol.UnitLoading, MemoryMiB: o.MemoryMiB, Seq: o.Seq,
	}}
	e.stats.Loads[o.Unit]++
	e.version++
	used := int64(0)
	for _, u := range e.units {
		used += u.MemoryMiB
	}
	e.stats.PeakMemoryMiB = max(e.stats.PeakMemoryMiB, used)
	if used > e.opt.MemoryMiB {
		e.stats.Overcommitted++
	}
	go e.finishLoad(o)
}

func (e *Engine) finishLoad(o protocol.Order) {
	if e.opt.StoreURL == "" {
		time.Sleep(e.opt.LoadTime)
	} else {
		for !e.fetch(o.MemoryMiB) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if u := e.units[o.Unit]; u != nil && u.Seq == o.Seq && u.Status == protocol.UnitLoading {
		u.Status = protocol.UnitReady
		e.cached[o.Unit] = protocol.TierDisk
		e.version++
	}
}

func (e *Engine) fetch(mib int64) bool {
	body, _ := json.Marshal(mib)
	resp, err := e.client.Post(e.opt.StoreURL+"/fetch", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusNoContent
}

// unload removes a unit once its requests have ended.
func (e *Engine) unload(o protocol.Order) {
	u := e.units[o.Unit]
	if u == nil {
		return
	}
	u.Status = protocol.UnitUnloading
	e.version++
	if u.Running == 0 {
		delete(e.units, o.Unit)
	}
}

// Forget drops a unit, as an engine does that was restarted. It reports
// whether the unit was there.
func (e *Engine) DropUnit(unit string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.units[unit]
	delete(e.units, unit)
	e.version++
	return ok
}

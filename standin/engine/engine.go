// Package engine is a stand-in for a model engine. It takes orders to load and
// unload, streams tokens that are a function of the prompt, resumes and cancels
// streams, and reports its load with a lag. It executes orders that overcommit
// its memory, and reports how many did.
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

// Options configure an engine.
type Options struct {
	Name          string
	MemoryMiB     int64
	Slots         int
	ChecksFencing bool          // reject orders with a lower fencing number than an earlier order
	TokenTime     time.Duration // between two tokens
	ReportLag     time.Duration // shortest time between two updates of the reported running counts
	StoreURL      string        // weight store that loads read from; empty: loads take LoadTime
	LoadTime      time.Duration
}

type unit struct {
	protocol.EngineUnit
	reported int // running requests at the last update of the reported counts
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	Faults *fault.Injector

	opt            Options
	client         *http.Client
	mu             sync.Mutex
	units          map[string]*unit
	cached         map[string]protocol.Tier
	fence          uint64
	version        uint64
	leaving        bool
	running        int
	stats          Stats
	reportedAt     time.Time // last update of the reported running counts
	cutAfter       int       // cut streams after this many tokens; 0: never
	wrongAttemptID bool      // answer with a wrong attempt id
	software       []string  // versions of its software as successive streams see them, the last for all further ones
	pause          string    // Retry-After in seconds with which all requests are refused; empty: requests are served
}

// Stats are the engine's own counts. Tests compare them with what daemons
// answer and report.
type Stats struct {
	Runs              map[string]int `json:"runs"`              // by request id
	Loads             map[string]int `json:"loads"`             // by unit
	Overcommitted     int            `json:"overcommitted"`     // loads that brought the units above the engine's memory
	RefusedStaleFence int            `json:"refused_old_fence"` // orders with an outdated fencing number
	PeakMemoryMiB     int64          `json:"peak_memory_mib"`
	PeakRunning       int            `json:"peak_running"`
	Orders            int            `json:"orders"`
	LastStart         time.Time      `json:"last_start"` // of a request
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

// Units returns the units that take memory: those that are ready and those
// that are being loaded or unloaded.
func (e *Engine) Units() []protocol.EngineUnit { return e.state().Units }

// SetLeaving makes the engine announce that it is leaving and refuse new requests.
func (e *Engine) SetLeaving(yes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = yes
	e.version++
}

// SetPause makes the engine refuse all requests and ask for a pause of the given
// number of seconds in Retry-After. With an empty string it serves requests again.
func (e *Engine) SetPause(seconds string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = seconds
}

// CutStreamsAfter makes the engine close the connection of each new stream after
// n tokens; 0 turns that off.
func (e *Engine) CutStreamsAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAfter = n
}

// SetSoftware makes the engine name the version of its software: in each new stream the next of the
// list, as after a restart, and the last one in all further streams. Each event names it too.
func (e *Engine) SetSoftware(versions ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = versions
}

// nextSoftware returns the version of the engine's software in a new stream.
func (e *Engine) nextSoftware() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.software) == 0 {
		return ""
	}
	version := e.software[0]
	if len(e.software) > 1 {
		e.software = e.software[1:]
	}
	return version
}

// SetWrongAttemptID makes the engine answer with the id of another attempt than
// the one requested.
func (e *Engine) SetWrongAttemptID(yes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wrongAttemptID = yes
}

// Preload puts a unit into memory without an order, as operators' scripts do.
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
	if now := time.Now(); now.Sub(e.reportedAt) >= e.opt.ReportLag {
		e.reportedAt = now
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

// load starts the load of a unit that the engine doesn't have yet. The caller holds e.mu.
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

// finishLoad waits until the weights are read and makes the unit ready, unless
// it was unloaded or ordered anew meanwhile.
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

// fetch reads weights of a size from the weight store. It reports whether that succeeded.
func (e *Engine) fetch(mib int64) bool {
	body, _ := json.Marshal(mib)
	resp, err := e.client.Post(e.opt.StoreURL+"/fetch", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusNoContent
}

// unload removes a unit once its requests have ended. The caller holds e.mu.
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

// DropUnit removes a unit at once, as a restart of the engine would. It reports
// whether the engine had the unit.
func (e *Engine) DropUnit(unit string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.units[unit]
	delete(e.units, unit)
	e.version++
	return ok
}

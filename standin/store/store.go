// Package store is a stand-in for the rate-limited weight store.
package store

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorvalve/doorvalve/standin/fault"
)

// Options are the store's limits and speed.
type Options struct {
	LoadsPerSecond float64
	AtOnce         int           // fetches at full speed; more than that share the total speed
	PerGiB         time.Duration // time to read one GiB at full speed
}

// Counts are the store's fetches: all so far, the active ones, and the most that were active at once.
type Counts struct {
	Fetches int `json:"fetches"`
	Active  int `json:"now"`
	Peak    int `json:"peak"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	Faults *fault.Injector

	opt      Options
	limiter  *rate.Limiter
	mu       sync.Mutex
	counts   Counts
	slowdown float64
}

// New returns an idle store.
func New(opt Options) *Store {
	return &Store{
		Faults: fault.New(), opt: opt, slowdown: 1,
		limiter: rate.NewLimiter(rate.Limit(opt.LoadsPerSecond), max(1, int(opt.LoadsPerSecond))),
	}
}

// SetSlowdown multiplies the time that fetches take by f.
func (s *Store) SetSlowdown(f float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = f
}

// Counts returns the counts of fetches.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler serves POST /fetch, which answers once the weights are read. The body
// is their size in MiB.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fetch", s.fetch)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Counts()) })
	mux.HandleFunc("POST /control/slow", func(w http.ResponseWriter, r *http.Request) {
		var f float64
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil || f <= 0 {
			http.Error(w, "a factor above 0 is needed", http.StatusBadRequest)
			return
		}
		s.SetSlowdown(f)
	})
	return s.Faults.Wrap(mux)
}

// step is the interval at which a fetch adapts its speed to the number of active fetches.
const step = 10 * time.Millisecond

func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	var mib int64
	if err := json.NewDecoder(r.Body).Decode(&mib); err != nil || mib <= 0 {
		http.Error(w, "a size in MiB is needed", http.StatusBadRequest)
		return
	}
	if s.limiter.Wait(r.Context()) != nil {
		return
	}
	s.addActive(1)
	defer s.addActive(-1)
	remaining := float64(s.opt.PerGiB) * float64(mib) / 1024
	for remaining > 0 {
		select {
		case <-time.After(step):
		case <-r.Context().Done():
			return
		}
		remaining -= float64(step) * s.speed()
	}
	w.WriteHeader(http.StatusNoContent)
}

// addActive adds n to the active fetches.
func (s *Store) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Active += n
	s.counts.Peak = max(s.counts.Peak, s.counts.Active)
	if n > 0 {
		s.counts.Fetches++
	}
}

// speed returns the present speed of a fetch, as a fraction of full speed.
func (s *Store) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(1, float64(s.opt.AtOnce)/float64(max(1, s.counts.Active))) / s.slowdown
}

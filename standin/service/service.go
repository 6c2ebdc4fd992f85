// Package service is a stand-in for a plain service. It counts how often each
// order ran.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/fault"
)

// Service is the stand-in.
type Service struct {
	Faults *fault.Injector
	Name   string
	Work   time.Duration // time each call takes

	mu      sync.Mutex
	runs    map[string]int // by idempotency key
	calls   int
	leaving bool
	lastNew time.Time
	limit   string // that it names; empty: none
	pause   string // that it asks for as it refuses all calls; empty: it serves
	arrived []time.Time
}

// New returns a service that has run nothing.
func New(name string, work time.Duration) *Service {
	return &Service{Faults: fault.New(), Name: name, Work: work, runs: map[string]int{}}
}

// Runs returns how often each key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		c[k] = n
	}
	return c
}

// Calls returns the number of all calls that ran, and when the last began.
func (s *Service) Calls() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lastNew
}

// SetLeaving makes the service say that it is leaving.
func (s *Service) SetLeaving(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = yes
}

// SetRateLimit makes the service say how many requests a second it takes; empty: it says nothing.
func (s *Service) SetRateLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// SetPause makes the service refuse all calls and ask for a pause, in seconds; empty: it serves.
func (s *Service) SetPause(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = seconds
}

// Arrived returns when calls have come.
func (s *Service) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived)
}

// Handler serves any method and path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Runs()) })
	mux.HandleFunc("POST /control/leaving", func(_ http.ResponseWriter, r *http.Request) { s.SetLeaving(r.URL.Query().Get("yes") != "false") })
	mux.HandleFunc("/", s.run)
	return s.Faults.Wrap(mux)
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set(protocol.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request never arrived whole
	}
	s.mu.Lock()
	s.calls++
	s.lastNew = time.Now()
	s.arrived = append(s.arrived, s.lastNew)
	if s.limit != "" {
		w.Header().Set(protocol.HeaderRateLimit, s.limit)
	}
	if s.leaving {
		w.Header().Set(protocol.HeaderLeaving, "true")
	}
	if s.pause != "" {
		w.Header().Set("Retry-After", s.pause)
		s.mu.Unlock()
		protocol.Refuse(http.StatusServiceUnavailable, "overloaded", "this service wants a pause", 0).WriteTo(w)
		return
	}
	if key := r.Header.Get(protocol.HeaderIdempotencyKey); key != "" {
		s.runs[key]++
	}
	s.mu.Unlock()
	time.Sleep(s.Work)
	w.Header().Set(protocol.HeaderAttemptID, r.Header.Get(protocol.HeaderAttemptID))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"path":%q,"bytes":%d}`, s.Name, r.URL.Path, len(body))
}

// Package service is a stand-in for a plain service. It counts how often a call
// with each idempotency key ran.
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

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	Faults *fault.Injector
	Name   string
	Work   time.Duration // time that each call takes

	mu          sync.Mutex
	runs        map[string]int // by idempotency key
	calls       int
	leaving     bool
	lastArrival time.Time // arrival of the last call
	limit       string    // rate limit reported in answers; empty: none
	pause       string    // Retry-After in seconds with which all calls are refused; empty: calls are served
	arrivals    []time.Time
}

// New returns a service whose calls take the time work.
func New(name string, work time.Duration) *Service {
	return &Service{Faults: fault.New(), Name: name, Work: work, runs: map[string]int{}}
}

// Runs returns how often a call with each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		c[k] = n
	}
	return c
}

// Calls returns the number of calls received, and when the last one arrived.
func (s *Service) Calls() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lastArrival
}

// SetLeaving makes the service announce in its answers that it is leaving. It
// still serves calls.
func (s *Service) SetLeaving(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = yes
}

// SetRateLimit makes the service report a limit in requests a second in its
// answers; with an empty string it reports none.
func (s *Service) SetRateLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// SetPause makes the service refuse all calls and ask for a pause of the given
// number of seconds in Retry-After. With an empty string it serves calls again.
func (s *Service) SetPause(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = seconds
}

// Arrivals returns the times at which calls arrived, in order.
func (s *Service) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Handler serves any method and path as a call, beside the health check and
// /control/.
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
		return // the body was truncated
	}
	s.mu.Lock()
	s.calls++
	s.lastArrival = time.Now()
	s.arrivals = append(s.arrivals, s.lastArrival)
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

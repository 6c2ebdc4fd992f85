package edge

import (
	"maps"
	"time"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Demand returns the requests running or waiting, by service.
func (s *Server) Demand() map[string]residency.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]residency.Demand, len(s.demand))
	for service, d := range s.demand {
		out[service] = residency.Demand{Active: maps.Clone(d.Active), Running: maps.Clone(d.Running), FirstEvents: maps.Clone(d.FirstEvents)}
		clear(d.FirstEvents)
	}
	return out
}

// slowPart is the part of the latency objective after which a first event
// counts as slow: a model's replicas are to be joined by another one before its
// answers are late.
const slowPart = 0.8

// countFirst notes how long an endpoint took to begin its answer, or to not
// begin it.
func (s *Server) countFirst(q *request, endpoint fleet.Incarnation, after time.Duration) {
	slow := float64(after) > slowPart*float64(q.route.LatencyTarget)
	s.countDemand(q, func(d residency.Demand) {
		place := residency.Place{Endpoint: endpoint, Model: q.call.Model}
		f, known := d.FirstEvents[place]
		if !known || q.rank < f.Rank {
			f.Rank = q.rank
		}
		f.Count++
		if slow {
			f.Slow++
		}
		d.FirstEvents[place] = f
	})
}

// countActive adds n to the requests of a model that run or wait.
func (s *Server) countActive(q *request, n int) {
	s.countDemand(q, func(d residency.Demand) { add(d.Active, q.call.Model, n) })
}

// countRunning adds n to the requests of a model at an endpoint.
func (s *Server) countRunning(q *request, endpoint fleet.Incarnation, n int) {
	s.countDemand(q, func(d residency.Demand) {
		place := residency.Place{Endpoint: endpoint, Model: q.call.Model}
		before := d.Running[place]
		add(d.Running, place, n)
		switch {
		case before+n == 0 && q.named:
			wake.Once(s.freed)
		case before == 0 || before+n == 0:
			wake.Once(s.turned)
		}
		if q.call.Adapter != "" {
			add(d.Running, residency.Place{Endpoint: endpoint, Model: q.unit()}, n)
		}
	})
}

// DemandTurned receives when a model has begun or ceased to run at an endpoint.
func (s *Server) DemandChanged() <-chan struct{} { return s.turned }

// PlaceFreed receives when a model has ceased to run at an endpoint that the coordinator
// had named for it: it may put another in its place at once.
func (s *Server) PlaceFreed() <-chan struct{} { return s.freed }

func (s *Server) countDemand(q *request, change func(residency.Demand)) {
	if q.call.Model == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.demand[q.service.Name]
	if !ok {
		d = residency.Demand{Active: map[string]int{}, Running: map[residency.Place]int{}, FirstEvents: map[residency.Place]residency.FirstEvents{}}
		s.demand[q.service.Name] = d
	}
	change(d)
}

// add changes a count and forgets it at zero.
func add[K comparable](m map[K]int, k K, n int) {
	m[k] += n
	if m[k] == 0 {
		delete(m, k)
	}
}

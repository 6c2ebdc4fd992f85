package edge

import (
	"maps"
	"time"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Demand returns the demand by service: the requests that run or wait, and the first events counted
// since the previous call.
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

// slowShare is the share of the latency objective after which a first event counts as slow. It is
// below 1, so that another replica of the model is requested before its answers miss the objective.
const slowShare = 0.8

// countFirstEvent counts the first event of a request at an endpoint, after the given time. A failed
// attempt without an event counts, too, with the time until it failed.
func (s *Server) countFirstEvent(q *request, endpoint fleet.Incarnation, after time.Duration) {
	slow := float64(after) > slowShare*float64(q.route.LatencyTarget)
	s.updateDemand(q, func(d residency.Demand) {
		place := residency.Place{Endpoint: endpoint, Model: q.call.Model}
		f, ok := d.FirstEvents[place]
		if !ok || q.rank < f.Rank {
			f.Rank = q.rank
		}
		f.Count++
		if slow {
			f.Slow++
		}
		d.FirstEvents[place] = f
	})
}

// countActive adds n to the number of requests of a model that run or wait.
func (s *Server) countActive(q *request, n int) {
	s.updateDemand(q, func(d residency.Demand) { add(d.Active, q.call.Model, n) })
}

// countRunning adds n to the number of requests of a model that run at an endpoint.
func (s *Server) countRunning(q *request, endpoint fleet.Incarnation, n int) {
	s.updateDemand(q, func(d residency.Demand) {
		place := residency.Place{Endpoint: endpoint, Model: q.call.Model}
		before := d.Running[place]
		add(d.Running, place, n)
		switch {
		case before+n == 0 && q.assigned:
			wake.Once(s.placeFreed)
		case before == 0 || before+n == 0:
			wake.Once(s.demandChanged)
		}
		if q.call.Adapter != "" {
			add(d.Running, residency.Place{Endpoint: endpoint, Model: q.unit()}, n)
		}
	})
}

// DemandChanged returns a channel that receives when a model has got its first running request at
// an endpoint, or has none left there.
func (s *Server) DemandChanged() <-chan struct{} { return s.demandChanged }

// PlaceFreed returns a channel that receives when a model has no running requests left at an
// endpoint that the coordinator had assigned to a request: it may load another model there at once.
func (s *Server) PlaceFreed() <-chan struct{} { return s.placeFreed }

// updateDemand applies a change to the demand for the request's service. It ignores requests without
// a model.
func (s *Server) updateDemand(q *request, change func(residency.Demand)) {
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

// add adds n to a count, and removes counts of zero.
func add[K comparable](m map[K]int, k K, n int) {
	m[k] += n
	if m[k] == 0 {
		delete(m, k)
	}
}

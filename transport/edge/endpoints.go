package edge

import (
	"strconv"
	"strings"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// originEndpoints returns the endpoints of the request's service, according to the daemon's view: for
// a stream that continues or begins, those at which it may. The list must not be changed.
func (s *Server) originEndpoints(q *request) []*fleet.Endpoint {
	list := q.constraint().Filter(s.opt.View().ByService[q.service.Name])
	return s.beginning(q).Filter(list)
}

// beginning limits where the request's stream begins, if callers may take it up again.
func (s *Server) beginning(q *request) continuation.Beginning {
	if q.constraint().Bound() || q.route.Kind != routing.Streaming || !q.route.Resumable {
		return continuation.Beginning{}
	}
	return s.opt.Streams.Beginning(q.service.Name)
}

// endpoints returns the endpoints that may serve the request: those of originEndpoints less those to
// which the quarantine does not let it. The list must not be changed.
func (s *Server) endpoints(q *request) []*fleet.Endpoint {
	list := s.originEndpoints(q)
	holds := s.opt.Quarantine.Holds(q.subject())
	if holds.Empty() {
		return list
	}
	now := clock.Now()
	var allowed []*fleet.Endpoint
	for _, e := range list {
		if holds.Allow(now, s.target(q, e)) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// softwareFilter limits the coordinator's choice to engines that may serve the request. Where the
// quarantine lets it to more than one version, one of them is taken.
func (s *Server) softwareFilter(q *request) residency.SoftwareFilter {
	if c := q.constraint(); c.Bound() {
		return residency.SoftwareFilter{Bound: true, Software: c.Software()}
	}
	if software, ok := s.beginning(q).Sole(); ok && s.beginning(q).Limited() {
		return residency.SoftwareFilter{Bound: true, Software: software}
	}
	if s.opt.Quarantine.Holds(q.subject()).Empty() {
		return residency.SoftwareFilter{}
	}
	allowed := s.endpoints(q)
	if len(allowed) == 0 || len(allowed) == len(s.originEndpoints(q)) {
		return residency.SoftwareFilter{}
	}
	return residency.SoftwareFilter{Bound: true, Software: allowed[0].Software}
}

// subject returns what may be held back of the request.
func (q *request) subject() quarantiner.Subject {
	return quarantiner.Subject{Print: q.fingerprint, Parts: q.parts}
}

// parts returns the parts of the request's prompt that other requests may share.
func (q *request) parts() []quarantine.Part {
	return q.promptParts.get(func() []quarantine.Part {
		var list []quarantine.Part
		for _, id := range q.call.SharedParts {
			list = append(list, quarantine.PartOf(q.service.Name, id))
		}
		return list
	})
}

// target returns the software on which the request runs at an endpoint.
func (s *Server) target(q *request, e *fleet.Endpoint) quarantiner.Target {
	return quarantiner.Target{
		Request:  quarantine.SoftwareOf(q.service.Name, e.Software, q.call.Model, strconv.Itoa(s.weights(q, e))),
		Endpoint: quarantine.SoftwareOf(e.Software),
	}
}

// weights returns the version of the request's model at an endpoint; where the endpoint does not hold
// the model, the newest at any, which a load fetches. It is zero if no endpoint holds the model.
func (s *Server) weights(q *request, e *fleet.Endpoint) int {
	version := func(e *fleet.Endpoint) int {
		for _, m := range e.Models {
			if m.Model == q.call.Model {
				return m.Version
			}
		}
		return 0
	}
	if v := version(e); v > 0 || q.call.Model == "" {
		return v
	}
	newest := 0
	for _, other := range s.opt.View().ByService[q.service.Name] {
		newest = max(newest, version(other))
	}
	return newest
}

// targets returns the software of all endpoints that could serve the request.
func (s *Server) targets(q *request) []quarantiner.Target {
	var list []quarantiner.Target
	for _, e := range s.originEndpoints(q) {
		list = append(list, s.target(q, e))
	}
	return list
}

// fingerprint returns the same value when the caller sends the request again.
func (q *request) fingerprint() protocol.Fingerprint {
	return q.print.get(func() protocol.Fingerprint {
		path, query, _ := strings.Cut(q.uri, "?")
		return protocol.FingerprintOf(q.method, path, query, q.workspace(), q.body)
	})
}

package edgedaemon

import (
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// demandToWire encodes a demand report. An entry is about one model at one endpoint. What is about
// an endpoint as a whole, its work and samples, is part of one of its entries; the receiver adds up
// all of them. Old daemons ignore it.
func demandToWire(daemon, service string, demand residency.Demand) *fleetpb.DemandRequest {
	e := demandEncoder{
		req:     &fleetpb.DemandRequest{Daemon: daemon, Service: service, Active: make(map[string]int32, len(demand.Active))},
		entries: make(map[fleet.Incarnation]*fleetpb.Running, len(demand.Work)),
	}
	for model, n := range demand.Active {
		e.req.Active[model] = int32(n)
	}
	e.addPlaces(demand)
	e.addEngines(demand)
	return e.req
}

type demandEncoder struct {
	req     *fleetpb.DemandRequest
	entries map[fleet.Incarnation]*fleetpb.Running // the last one of each endpoint
}

// addPlaces adds what is about one model at one endpoint.
func (e *demandEncoder) addPlaces(demand residency.Demand) {
	for place, n := range demand.Running {
		entry := e.add(place)
		entry.Requests = int32(n)
		setFirstEvents(entry, demand.FirstEvents[place])
	}
	for place, first := range demand.FirstEvents {
		if _, done := demand.Running[place]; !done {
			setFirstEvents(e.add(place), first)
		}
	}
}

// addEngines adds what is about an endpoint as a whole.
func (e *demandEncoder) addEngines(demand residency.Demand) {
	for incarnation, w := range demand.Work {
		entry := e.entryOf(incarnation)
		entry.PendingPrompt, entry.HeldTokens = int64(w.PendingPrompt), int64(w.Held)
	}
	for _, s := range demand.Samples {
		entry := e.entryOf(s.Incarnation)
		entry.Samples, entry.LogRatio = int32(min(maxWireCount, s.Count)), s.LogRatio
	}
}

func (e *demandEncoder) add(place residency.Place) *fleetpb.Running {
	entry := &fleetpb.Running{Endpoint: place.Endpoint.ID, Born: place.Endpoint.StartUnixMs, Model: place.Model}
	e.req.Running = append(e.req.Running, entry)
	e.entries[place.Endpoint] = entry
	return entry
}

// entryOf returns an entry of an endpoint, and adds one without a model if there is none.
func (e *demandEncoder) entryOf(incarnation fleet.Incarnation) *fleetpb.Running {
	if entry := e.entries[incarnation]; entry != nil {
		return entry
	}
	return e.add(residency.Place{Endpoint: incarnation})
}

func setFirstEvents(entry *fleetpb.Running, first residency.FirstEvents) {
	entry.FirstEvents, entry.Slow, entry.Rank = int32(first.Count), int32(first.Slow), int32(first.Rank)
}

func demandFromWire(req *fleetpb.DemandRequest) residency.Demand {
	demand := residency.Demand{
		Active: make(map[string]int, len(req.Active)), Running: make(map[residency.Place]int, len(req.Running)),
		FirstEvents: map[residency.Place]residency.FirstEvents{}, Work: map[fleet.Incarnation]residency.EngineWork{},
	}
	for model, n := range req.Active {
		demand.Active[model] = int(n)
	}
	for _, r := range req.Running {
		place := residency.Place{Endpoint: fleet.Incarnation{ID: r.Endpoint, StartUnixMs: r.Born}, Model: r.Model}
		if r.Requests > 0 {
			demand.Running[place] = int(r.Requests)
		}
		if r.FirstEvents > 0 {
			demand.FirstEvents[place] = residency.FirstEvents{Count: int(r.FirstEvents), Slow: int(r.Slow), Rank: int(r.Rank)}
		}
		addEngineWork(&demand, place.Endpoint, r)
	}
	return demand
}

// addEngineWork adds what an entry contains about its endpoint as a whole.
func addEngineWork(demand *residency.Demand, endpoint fleet.Incarnation, r *fleetpb.Running) {
	if r.PendingPrompt > 0 || r.HeldTokens > 0 {
		w := demand.Work[endpoint]
		w.PendingPrompt += boundedInt(r.PendingPrompt)
		w.Held += boundedInt(r.HeldTokens)
		demand.Work[endpoint] = w
	}
	if r.Samples > 0 {
		demand.Samples = append(demand.Samples, workcost.Sample{Incarnation: endpoint, Count: int(r.Samples), LogRatio: r.LogRatio})
	}
}

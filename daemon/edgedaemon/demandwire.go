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
	req := &fleetpb.DemandRequest{Daemon: daemon, Service: service, Active: make(map[string]int32, len(demand.Active))}
	for model, n := range demand.Active {
		req.Active[model] = int32(n)
	}
	entries := make(map[fleet.Incarnation]*fleetpb.Running, len(demand.Work)) // the last one of each endpoint
	add := func(place residency.Place) *fleetpb.Running {
		entry := &fleetpb.Running{Endpoint: place.Endpoint.ID, Born: place.Endpoint.StartUnixMs, Model: place.Model}
		req.Running = append(req.Running, entry)
		entries[place.Endpoint] = entry
		return entry
	}
	for place, n := range demand.Running {
		entry := add(place)
		entry.Requests = int32(n)
		setFirstEvents(entry, demand.FirstEvents[place])
	}
	for place, first := range demand.FirstEvents {
		if _, done := demand.Running[place]; !done {
			setFirstEvents(add(place), first)
		}
	}
	of := func(incarnation fleet.Incarnation) *fleetpb.Running {
		if entry := entries[incarnation]; entry != nil {
			return entry
		}
		return add(residency.Place{Endpoint: incarnation})
	}
	for incarnation, w := range demand.Work {
		entry := of(incarnation)
		entry.PendingPrompt, entry.HeldTokens = int64(w.PendingPrompt), int64(w.Held)
	}
	for _, s := range demand.Samples {
		entry := of(s.Incarnation)
		entry.Samples, entry.LogRatio = int32(min(maxWireCount, s.Count)), s.LogRatio
	}
	return req
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

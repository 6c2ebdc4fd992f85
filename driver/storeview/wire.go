package storeview

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// toWire encodes endpoints for another daemon, without InMemory and OnDisk.
func toWire(list []*fleet.Endpoint) []*fleetpb.Endpoint {
	out := make([]*fleetpb.Endpoint, len(list))
	for i, e := range list {
		out[i] = &fleetpb.Endpoint{
			Id: e.ID, Born: e.StartUnixMs, Service: e.Service, Address: e.Address, Domain: e.FailureDomain, Slots: int32(e.Slots), Software: e.Software,
			Leaving: e.Leaving, Missing: e.Missing, RemainingMs: e.Remaining.Milliseconds(), Revision: e.Version.Revision, Generation: e.Version.Generation,
		}
		for _, m := range e.Models {
			out[i].Models = append(out[i].Models, &fleetpb.Loaded{Model: m.Model, Version: int32(m.Version), Adapters: m.Adapters})
		}
	}
	return out
}

func fromWire(list []*fleetpb.Endpoint) []*fleet.Endpoint {
	out := make([]*fleet.Endpoint, len(list))
	for i, e := range list {
		out[i] = &fleet.Endpoint{
			ID: e.Id, StartUnixMs: e.Born, Service: e.Service, Address: e.Address, FailureDomain: e.Domain, Slots: int(e.Slots), Software: e.Software,
			Leaving: e.Leaving, Missing: e.Missing, Remaining: time.Duration(e.RemainingMs) * time.Millisecond, Version: storeversion.Version{Generation: e.Generation, Revision: e.Revision},
		}
		for _, m := range e.Models {
			out[i].Models = append(out[i].Models, fleet.LoadedModel{Model: m.Model, Version: int(m.Version), Adapters: m.Adapters})
		}
	}
	return out
}

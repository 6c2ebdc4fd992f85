package edgedaemon

import (
	"context"
	"math/rand/v2"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/driver/leaserelay"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
)

// leasePeers returns up to limit other daemons, chosen at random, through which
// leases can be read and written when the store does not answer this daemon.
func (d *Daemon) leasePeers(limit int) []leaserelay.Peer {
	members := d.alive()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var list []leaserelay.Peer
	for _, m := range members {
		if len(list) < limit && m.ID != d.self {
			list = append(list, d.fleet(m.PeerAddress))
		}
	}
	return list
}

// leaseServer returns a server that reads and writes leases in the store for
// other daemons.
func (d *Daemon) leaseServer() leaserelay.Server {
	return leaserelay.Server{Store: d.store, Generations: d.generations}
}

// leasePeerState returns the highest generation of the store and the highest fence of a service's
// lease that this daemon has received from peers.
func (d *Daemon) leasePeerState(service string) lease.PeerState {
	state := lease.PeerState{Generation: d.generations.Highest()}
	if e, ok := d.gossip.Get(holderPrefix + service); ok {
		state.Fence = e.Version
	}
	return state
}

// ReadLease implements fleetpb.Fleet.
func (s *fleetServer) ReadLease(ctx context.Context, req *fleetpb.ReadLeaseRequest) (*fleetpb.ReadLeaseResponse, error) {
	return (*Daemon)(s).leaseServer().ReadLease(ctx, req)
}

// WriteLease implements fleetpb.Fleet.
func (s *fleetServer) WriteLease(ctx context.Context, req *fleetpb.WriteLeaseRequest) (*fleetpb.WriteLeaseResponse, error) {
	return (*Daemon)(s).leaseServer().WriteLease(ctx, req)
}

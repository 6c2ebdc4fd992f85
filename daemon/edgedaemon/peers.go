package edgedaemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/coordinator"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gossip"
	"github.com/doorvalve/doorvalve/driver/leaserelay"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
)

// holderPrefix starts the keys of the facts that name a service's coordinator.
const holderPrefix = "holder/"

// candidates is the number of daemons that try to take a vacant lease: one
// more than needed, and few enough that the reads cost little.
const candidates = 2

// candidate reports whether this daemon should try to hold a service's lease. A
// former holder should, whatever the others: it is the same one to engines.
func (d *Daemon) candidate(service string, former bool) bool {
	if d.draining() || d.view.Silent(time.Now()) {
		return false
	}
	if former {
		return true
	}
	ranked := membership.Rendezvous(service, d.alive())
	for i := range min(candidates, len(ranked)) {
		if ranked[i].ID == d.self {
			return true
		}
	}
	return false
}

// alive returns the members that take part, this daemon among them.
func (d *Daemon) alive() []membership.Member {
	var list []membership.Member
	for _, m := range d.gossip.Members() {
		if m.Status == membership.Alive && !m.Leaving {
			list = append(list, m)
		}
	}
	return list
}

// holderChanged tells the other daemons who coordinates a service.
func (d *Daemon) holderChanged(service string, fence uint64, held bool) {
	if held {
		d.gossip.Set(membership.Entry{Key: holderPrefix + service, Version: fence, Value: []byte(d.set.Listen.Peers)})
	}
}

// holder returns the address of a service's coordinator, empty if unknown.
func (d *Daemon) holder(service string) string {
	if e, ok := d.gossip.Get(holderPrefix + service); ok {
		return string(e.Value)
	}
	return ""
}

// coordinates returns a service's coordinator on this daemon, or nil.
func (d *Daemon) coordinates(service string) *coordinator.Coordinator {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coordinators[service]
}

func (d *Daemon) fleet(address string) fleetpb.Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.fleets[address]
	if c == nil {
		c = fleetpb.NewFleetProtobufClient("http://"+address, d.peers.HTTP())
		d.fleets[address] = c
	}
	return c
}

// anyPeer returns a random other daemon, or nil.
func (d *Daemon) anyPeer() fleetpb.Fleet {
	var others []string
	for _, m := range d.alive() {
		if m.ID != d.self {
			others = append(others, m.PeerAddress)
		}
	}
	if len(others) == 0 {
		return nil
	}
	return d.fleet(others[rand.IntN(len(others))])
}

// upstreams reports whether this daemon follows the store itself, and returns
// the daemons to take from otherwise, the best first.
func (d *Daemon) upstreams() (watches bool, order []fleetpb.Fleet) {
	watches, members := relay.Upstreams(d.member(), d.alive())
	for _, m := range members {
		order = append(order, d.fleet(m.PeerAddress))
	}
	return watches, order
}

// wantTimeout bounds a question to the coordinator, which answers from memory.
const wantTimeout = 300 * time.Millisecond

// Want implements edge.Locator. How long a service is without a coordinator is
// estimated here, whoever says that it has none.
func (d *Daemon) Want(ctx context.Context, service string, w residency.Want) residency.Answer {
	a := d.ask(ctx, service, w)
	if a.Refused != residency.RefusedNoHolder {
		d.vacancies.filled(service)
		return a
	}
	now := time.Now()
	a.ReadyIn = d.vacancies.readyIn(now, service, d.view.Silent(now))
	return a
}

// ask asks a service's coordinator.
func (d *Daemon) ask(ctx context.Context, service string, w residency.Want) residency.Answer {
	own := d.coordinates(service)
	address := d.holder(service)
	if own != nil && (own.Holds() || address == "" || address == d.set.Listen.Peers) {
		return own.Want(w)
	}
	if address == "" || d.holders.silent(address, time.Now()) {
		return residency.Answer{Refused: residency.RefusedNoHolder}
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	resp, err := d.fleet(address).Want(ctx, &fleetpb.WantRequest{Service: service, Model: w.Model, Adapter: w.Adapter, Rank: int32(w.Rank), Avoid: w.Avoid, Unreachable: w.Unreachable, Absent: w.Absent})
	if err != nil {
		if caller.Err() == nil && d.holders.failed(address, time.Now()) {
			d.log.Warn(decisions.EventDependencyLost, "dependency", "coordinator", "service", service, "holder", address, "error", err)
		}
		return residency.Answer{Refused: residency.RefusedNoHolder}
	}
	if d.holders.answered(address) {
		d.log.Info(decisions.EventDependencyBack, "dependency", "coordinator", "service", service, "holder", address)
	}
	return residency.Answer{EndpointID: resp.Endpoint, ReadyIn: time.Duration(resp.ReadyInMs) * time.Millisecond, Level: residency.Level(resp.Level), Refused: resp.Refused}
}

const (
	// demandEvery is how often a daemon tells the coordinators what runs and
	// waits, when nothing urges it.
	demandEvery = 400 * time.Millisecond
	// demandSoon is how soon it tells them that a model has begun or ceased to
	// run at an endpoint. What changes meanwhile goes along.
	demandSoon = 40 * time.Millisecond
)

// runDemand tells the coordinators of this daemon's requests, until ctx ends.
func (d *Daemon) runDemand(ctx context.Context) error {
	t := time.NewTicker(demandEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-d.callers.DemandTurned():
			pause.For(ctx, demandSoon)
			t.Reset(demandEvery)
		}
		d.shareRetries(len(d.alive()))
		for service, demand := range d.callers.Demand() {
			d.tellDemand(ctx, service, demand)
		}
	}
}

// leastSharing is the number of daemons that are taken to share the retries
// until more are known: a daemon that has just started, or is cut off, must not
// take them all.
const leastSharing = 6

// shareRetries takes this daemon's part of the retries that all may make.
func (d *Daemon) shareRetries(alive int) {
	d.budget.SetBurst(max(1, d.set.Retries.Extra*retryPart/float64(max(leastSharing, alive))))
}

func (d *Daemon) tellDemand(ctx context.Context, service string, demand residency.Demand) {
	if len(demand.Active) == 0 && d.lastSent[service] == 0 {
		return
	}
	d.lastSent[service] = len(demand.Active)
	if own := d.coordinates(service); own != nil && own.Holds() {
		own.Demand(d.self, demand)
		return
	}
	address := d.holder(service)
	if address == "" {
		return
	}
	req := &fleetpb.DemandRequest{Daemon: d.self, Service: service, Active: make(map[string]int32, len(demand.Active))}
	for model, n := range demand.Active {
		req.Active[model] = int32(n)
	}
	for place, n := range demand.Running {
		first := demand.First[place]
		delete(demand.First, place)
		req.Running = append(req.Running, runningAt(place, n, first))
	}
	for place, first := range demand.First {
		req.Running = append(req.Running, runningAt(place, 0, first))
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	if _, err := d.fleet(address).Demand(ctx, req); err != nil {
		d.log.Debug("demand not told", "service", service, "holder", address, "error", err)
	}
}

func runningAt(place residency.Place, requests int, first residency.FirstEvents) *fleetpb.Running {
	return &fleetpb.Running{
		Endpoint: place.EndpointID, Model: place.Model, Requests: int32(requests),
		FirstEvents: int32(first.Count), Slow: int32(first.Slow), Rank: int32(first.Rank),
	}
}

// leasePeers returns some of the other daemons, at random, as ways to the
// store.
func (d *Daemon) leasePeers(most int) []leaserelay.Peer {
	members := d.alive()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var list []leaserelay.Peer
	for _, m := range members {
		if len(list) < most && m.ID != d.self {
			list = append(list, d.fleet(m.PeerAddress))
		}
	}
	return list
}

// fleetServer serves fleetpb.Fleet.
type fleetServer Daemon

// ReadLease implements fleetpb.Fleet.
func (s *fleetServer) ReadLease(ctx context.Context, req *fleetpb.ReadLeaseRequest) (*fleetpb.ReadLeaseResponse, error) {
	return leaserelay.Server{Store: s.store}.ReadLease(ctx, req)
}

// WriteLease implements fleetpb.Fleet.
func (s *fleetServer) WriteLease(ctx context.Context, req *fleetpb.WriteLeaseRequest) (*fleetpb.WriteLeaseResponse, error) {
	return leaserelay.Server{Store: s.store}.WriteLease(ctx, req)
}

// Want implements fleetpb.Fleet.
func (s *fleetServer) Want(_ context.Context, req *fleetpb.WantRequest) (*fleetpb.WantResponse, error) {
	c := (*Daemon)(s).coordinates(req.Service)
	if c == nil {
		return &fleetpb.WantResponse{Refused: residency.RefusedNoHolder}, nil
	}
	a := c.Want(residency.Want{Model: req.Model, Adapter: req.Adapter, Rank: int(req.Rank), Avoid: req.Avoid, Unreachable: req.Unreachable, Absent: req.Absent})
	return &fleetpb.WantResponse{Endpoint: a.EndpointID, ReadyInMs: ceilMs(a.ReadyIn), Level: int32(a.Level), Refused: a.Refused}, nil
}

// ceilMs rounds up, so that a wait is never told too short.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// Demand implements fleetpb.Fleet.
func (s *fleetServer) Demand(_ context.Context, req *fleetpb.DemandRequest) (*fleetpb.DemandResponse, error) {
	if c := (*Daemon)(s).coordinates(req.Service); c != nil {
		demand := residency.Demand{
			Active: make(map[string]int, len(req.Active)), Running: make(map[residency.Place]int, len(req.Running)), First: map[residency.Place]residency.FirstEvents{},
		}
		for model, n := range req.Active {
			demand.Active[model] = int(n)
		}
		for _, r := range req.Running {
			place := residency.Place{EndpointID: r.Endpoint, Model: r.Model}
			demand.Running[place] = int(r.Requests)
			if r.FirstEvents > 0 {
				demand.First[place] = residency.FirstEvents{Count: int(r.FirstEvents), Slow: int(r.Slow), Rank: int(r.Rank)}
			}
		}
		c.Demand(req.Daemon, demand)
	}
	return &fleetpb.DemandResponse{}, nil
}

// Follow implements fleetpb.Fleet.
func (s *fleetServer) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	return s.view.Follow(ctx, req)
}

// gossipServer serves the part of peerpb.Peer that these daemons use.
type gossipServer struct {
	peerpb.Peer
	gossip *gossip.Gossip
}

// Gossip implements peerpb.Peer.
func (s *gossipServer) Gossip(_ context.Context, req *peerpb.GossipRequest) (*peerpb.GossipResponse, error) {
	return s.gossip.HandleGossip(req), nil
}

// Probe implements peerpb.Peer.
func (s *gossipServer) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return s.gossip.HandleProbe(ctx, req), nil
}

// errUnused answers calls that these daemons do not make.
var errUnused = twirp.WrapError(twirp.NewError(twirp.Unimplemented, "not served here"), errors.New("edge daemon"))

// Fetch implements peerpb.Peer.
func (*gossipServer) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	return nil, errUnused
}

// Demand implements peerpb.Peer.
func (*gossipServer) Demand(context.Context, *peerpb.DemandRequest) (*peerpb.DemandResponse, error) {
	return nil, errUnused
}

// Claim implements peerpb.Peer.
func (*gossipServer) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return nil, errUnused
}

// Handover implements peerpb.Peer.
func (*gossipServer) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return nil, errUnused
}

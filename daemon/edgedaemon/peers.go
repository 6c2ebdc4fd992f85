package edgedaemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/coordinator"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/gossip"
	"github.com/doorvalve/doorvalve/driver/paths"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/driver/throttle"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// holderPrefix is the prefix of the keys of gossiped facts that name a service's coordinator.
const holderPrefix = "holder/"

// candidates is the number of daemons that try to take a vacant lease: one more
// than needed, so that one may fail, and few enough that their reads of the lease
// cost little.
const candidates = 2

// candidate reports whether this daemon should try to hold a service's lease. A
// former holder should in any case, since engines take it for the same holder.
func (d *Daemon) candidate(service string, former bool) bool {
	if d.draining() || d.view.StoreUnresponsive(clock.Now()) || d.partitionedFrom(service) || d.retirements.due(time.Now(), service) {
		return false
	}
	if former {
		return true
	}
	ranked := membership.RendezvousByCapacity(service, d.withPath())
	for i := range min(candidates, len(ranked)) {
		if ranked[i].ID == d.self {
			return true
		}
	}
	return false
}

// partitionedFrom reports whether this daemon has lost its path to most endpoints of a service, although
// another daemon reaches some.
func (d *Daemon) partitionedFrom(service string) bool {
	var addresses []string
	for _, e := range d.view.Endpoints().ByService[service] {
		addresses = append(addresses, e.Address)
	}
	return d.paths.Partitioned(addresses)
}

// resignAfter is how long a coordinator has no path to its engines before it gives up the lease. The
// next one must leave a gap between their orders, which takes longer than a short partition.
const resignAfter = time.Second

// resigns reports whether this daemon should give up a service's lease, because its orders have not
// reached the engines for resignAfter.
func (d *Daemon) resigns(service string) bool {
	return d.retirements.due(time.Now(), service) || d.partitions.lastFor(clock.Now(), service, d.partitionedFrom(service)) >= resignAfter
}

// withPath returns the members of alive that have a path to the endpoints, or all of them if none has.
func (d *Daemon) withPath() []membership.Member {
	alive := d.alive()
	list := slices.DeleteFunc(slices.Clone(alive), func(m membership.Member) bool { return d.paths.IsPartitioned(m.ID) })
	if len(list) == 0 {
		return alive
	}
	return list
}

// alive returns the members that are alive and not leaving, including this
// daemon.
func (d *Daemon) alive() []membership.Member {
	return membership.Eligible(d.gossip.Members())
}

// publishHolder publishes that this daemon coordinates a service, if held is
// true. The loss of a lease is not published.
func (d *Daemon) publishHolder(service string, fence uint64, held bool) {
	if held {
		d.gossip.Set(membership.Entry{Key: holderPrefix + service, Version: fence, Value: []byte(d.set.Listen.Peers)})
	}
}

// storeConcurrencyPrefix is the prefix of the keys of gossiped facts that hold how many
// concurrent loads a service's weight store can serve, as its coordinators have learned.
const storeConcurrencyPrefix = "store-places/"

// storeConcurrencyVersions is the number of fact versions under one fence: a coordinator can
// publish that many changes before its versions reach those of the next fence.
const storeConcurrencyVersions = 1 << 20

// storeConcurrency returns how many concurrent loads a service's weight store can serve, as
// published by its coordinators; zero if nothing has been published.
func (d *Daemon) storeConcurrency(service string) int {
	e, ok := d.gossip.Get(storeConcurrencyPrefix + service)
	if !ok {
		return 0
	}
	concurrency, err := strconv.Atoi(string(e.Value))
	if err != nil {
		d.log.Warn(decisions.EventStoreConcurrency, "service", service, "error", err)
		return 0
	}
	return concurrency
}

// publishStoreConcurrency publishes a learned store concurrency to the other daemons, one of
// which will be the next coordinator.
func (d *Daemon) publishStoreConcurrency(service string, fence uint64, concurrency int) {
	version := fence * storeConcurrencyVersions
	if e, ok := d.gossip.Get(storeConcurrencyPrefix + service); ok {
		version = max(version, e.Version+1)
	}
	d.gossip.Set(membership.Entry{Key: storeConcurrencyPrefix + service, Version: version, Value: []byte(strconv.Itoa(concurrency))})
}

// holder returns the peer address of a service's coordinator, empty if unknown.
func (d *Daemon) holder(service string) string {
	if e, ok := d.gossip.Get(holderPrefix + service); ok {
		return string(e.Value)
	}
	return ""
}

// localCoordinator returns this daemon's coordinator of a service, or nil. It
// may not hold the lease.
func (d *Daemon) localCoordinator(service string) *coordinator.Coordinator {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coordinators[service].Coordinator
}

// fleet returns the client of the Fleet service of the daemon at address.
func (d *Daemon) fleet(address string) fleetpb.Fleet { return d.fleets.To(address) }

// workspaces returns the newest workspaces and the version of the desired state
// that holds them.
func (d *Daemon) workspaces() (*workspace.Directory, uint64) {
	table := d.view.Table()
	if table == nil {
		return nil, 0
	}
	return table.Workspaces, table.Version
}

// stateAge returns the greatest possible age of the desired state in force.
func (d *Daemon) stateAge() time.Duration { return d.view.StalenessBound() }

// endpointState reports whether an endpoint is listed, and whether it is listed
// as leaving.
func (d *Daemon) endpointState(incarnation fleet.Incarnation) (listed, leaving bool) {
	e := d.view.Endpoints().Find(incarnation)
	return e != nil, e != nil && e.Leaving
}

// endpointSoftware returns the software of all listed endpoints.
func (d *Daemon) endpointSoftware() []quarantine.Software {
	seen := map[string]bool{}
	var list []quarantine.Software
	for _, e := range d.view.Endpoints().ByID {
		if !seen[e.Software] {
			seen[e.Software] = true
			list = append(list, quarantine.SoftwareOf(e.Software))
		}
	}
	return list
}

// endpointListed reports whether this incarnation of an endpoint is listed.
func (d *Daemon) endpointListed(incarnation fleet.Incarnation) bool {
	return d.view.Endpoints().Find(incarnation) != nil
}

// endpointSlots returns how many requests an endpoint works on at once; zero if it is not listed.
func (d *Daemon) endpointSlots(incarnation fleet.Incarnation) int {
	if e := d.view.Endpoints().Find(incarnation); e != nil {
		return e.Slots
	}
	return 0
}

// endpointLastReady returns the latest time at which an endpoint is known to have been listed as
// not leaving; zero if it is not listed so. During an outage of the store that is the present
// time, since the store cannot have accepted the endpoint's announcement that it leaves.
func (d *Daemon) endpointLastReady(incarnation fleet.Incarnation) time.Time {
	now := clock.Now()
	e := d.view.Endpoints().Find(incarnation)
	age := d.endpointsAge()
	switch {
	case e == nil || e.Leaving:
		return time.Time{}
	case age > d.set.Timing.LeaveWithin.D():
		return now
	}
	return now.Add(-age)
}

// observeEngineAnswer processes the backpressure signals in an engine's answer to one of this
// daemon's coordinators.
func (d *Daemon) observeEngineAnswer(incarnation fleet.Incarnation, signals protocol.Backpressure) {
	d.throttle.ObserveAnswer(throttle.Answer{Incarnation: incarnation, Slots: max(1, d.endpointSlots(incarnation)), Sent: clock.Now(), Signals: signals})
}

// staleFact reports whether a gossiped fact is too old to be kept.
func staleFact(now time.Time, f membership.Entry) bool {
	return quotas.StaleFact(now, f) || throttle.StaleFact(now, f) || paths.StaleFact(now, f)
}

// anyPeer returns the client of another daemon, chosen at random, or nil if there is none.
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

// upstreams reports whether this daemon is a watcher, which follows the store
// itself. If not, it returns the upstreams to copy from, the best first.
func (d *Daemon) upstreams() (watches bool, order []fleetpb.Fleet) {
	watches, members := relay.Upstreams(d.member(), d.alive())
	for _, m := range members {
		order = append(order, d.fleet(m.PeerAddress))
	}
	return watches, order
}

// wantTimeout bounds a call to a coordinator, which answers from memory.
const wantTimeout = 300 * time.Millisecond

// Want implements edge.Locator. If the service has no coordinator, ReadyIn of the
// answer is estimated here, whether this daemon or a peer refused for that reason.
func (d *Daemon) Want(ctx context.Context, service string, w residency.Want) residency.Answer {
	w.Daemon = d.self
	a := d.askCoordinator(ctx, service, w)
	if a.Refused != residency.RefusedNoCoordinator {
		d.vacancies.filled(service)
		return a
	}
	now := time.Now()
	a.ReadyIn = d.vacancies.readyIn(now, service, d.view.StoreOutage(clock.Now()))
	return a
}

// askCoordinator calls a service's coordinator, which may run on this daemon.
func (d *Daemon) askCoordinator(ctx context.Context, service string, w residency.Want) residency.Answer {
	local := d.localCoordinator(service)
	address := d.holder(service)
	if local != nil && (local.Holds() || address == "" || address == d.set.Listen.Peers) {
		return local.Want(w)
	}
	if address == "" || d.holders.backingOff(address, time.Now()) {
		return residency.Answer{Refused: residency.RefusedNoCoordinator}
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	resp, err := d.fleet(address).Want(ctx, wantToWire(service, w))
	if err != nil {
		if caller.Err() == nil && d.holders.failed(address, time.Now()) {
			d.log.Warn(decisions.EventDependencyLost, "dependency", "coordinator", "service", service, "holder", address, "error", err)
		}
		return residency.Answer{Refused: residency.RefusedNoCoordinator}
	}
	if d.holders.answered(address) {
		d.log.Info(decisions.EventDependencyRegained, "dependency", "coordinator", "service", service, "holder", address)
	}
	return residency.Answer{Endpoint: fleet.Incarnation{ID: resp.Endpoint, StartUnixMs: resp.Born}, ReadyIn: time.Duration(resp.ReadyInMs) * time.Millisecond, StartsIn: time.Duration(resp.StartsInMs) * time.Millisecond, Level: residency.Level(resp.Level), Refused: resp.Refused}
}

// fleetServer implements fleetpb.Fleet.
type fleetServer Daemon

// Want implements fleetpb.Fleet.
func (s *fleetServer) Want(_ context.Context, req *fleetpb.WantRequest) (*fleetpb.WantResponse, error) {
	c := (*Daemon)(s).localCoordinator(req.Service)
	if c == nil {
		return &fleetpb.WantResponse{Refused: residency.RefusedNoCoordinator}, nil
	}
	a := c.Want(wantFromWire(req))
	return &fleetpb.WantResponse{Endpoint: a.Endpoint.ID, Born: a.Endpoint.StartUnixMs, ReadyInMs: ceilMs(a.ReadyIn), StartsInMs: ceilMs(a.StartsIn), Level: int32(a.Level), Refused: a.Refused}, nil
}

func incarnationsToWire(list []fleet.Incarnation) []*fleetpb.Life {
	out := make([]*fleetpb.Life, len(list))
	for i, incarnation := range list {
		out[i] = &fleetpb.Life{Endpoint: incarnation.ID, Born: incarnation.StartUnixMs}
	}
	return out
}

func incarnationsFromWire(list []*fleetpb.Life) []fleet.Incarnation {
	out := make([]fleet.Incarnation, len(list))
	for i, incarnation := range list {
		out[i] = fleet.Incarnation{ID: incarnation.Endpoint, StartUnixMs: incarnation.Born}
	}
	return out
}

// setEndpointLimit passes a rate limit that an endpoint has reported to the throttle and to the
// coordinators, which choose endpoints.
func (d *Daemon) setEndpointLimit(incarnation fleet.Incarnation, report limit.Report) {
	d.throttle.SetLimit(incarnation, report)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.coordinators {
		c.SetLimit(incarnation, report)
	}
}

// ceilMs returns d in milliseconds, rounded up so that a reported wait is never too short.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// Follow implements fleetpb.Fleet.
func (s *fleetServer) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	return s.view.Follow(ctx, req)
}

// gossipServer implements the methods of peerpb.Peer that edge daemons use. The
// others return errUnused.
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

// errUnused is returned by methods that edge daemons do not call.
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

package daemon

import (
	"context"
	"encoding/json"

	"github.com/doorvalve/doorvalve/coordination/drain"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/driver/placer"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
)

// roles implements placer.Roles from the membership and the gossiped facts.
type roles Daemon

// leaseFact is the value of the gossiped fact that names the holder of a group's lease.
type leaseFact struct {
	Holder string `json:"holder"` // empty after a release
}

// leasePrefix is the prefix of the keys of those facts.
const leasePrefix = "l/"

// candidates is the number of daemons that try to hold one group's lease.
const candidates = 2

// role is this daemon's relation to one group, derived from the membership.
type role struct {
	revision    uint64 // of the membership view that the role was computed from
	coordinator membership.Member
	known       bool // whether there is a coordinator
	candidate   bool // whether this daemon should try to hold the lease
}

// role returns this daemon's role in a group. It is computed again only after the
// membership view has changed, so that frequent calls are cheap with many daemons and
// groups.
func (d *Daemon) role(group string) role {
	revision := d.gossip.Revision()
	if r, ok := d.roles.Load(group); ok && r.(role).revision == revision {
		return r.(role)
	}
	r := role{revision: revision}
	members := d.gossip.Members()
	r.coordinator, r.known = d.findCoordinator(group, members)
	list := membership.Rendezvous(group, members)
	for i := range list[:min(candidates, len(list))] {
		r.candidate = r.candidate || list[i].ID == d.self
	}
	d.roles.Store(group, r)
	return r
}

// coordinator returns the daemon that answers a group's demand reports, and whether
// there is one.
func (d *Daemon) coordinator(group string) (membership.Member, bool) {
	r := d.role(group)
	return r.coordinator, r.known
}

// findCoordinator returns the holder of the group's lease if it is not dead or
// leaving, or else the first daemon in rendezvous order.
func (d *Daemon) findCoordinator(group string, members []membership.Member) (membership.Member, bool) {
	if last := (*roles)(d).LastHolder(group); last.Holder != "" {
		for _, m := range members {
			if m.ID == last.Holder && m.Status != membership.Dead && !m.Leaving {
				return m, true
			}
		}
	}
	list := membership.Rendezvous(group, members)
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[0], true
}

// Coordinates implements placer.Roles.
func (r *roles) Coordinates(group string) bool {
	m, ok := (*Daemon)(r).coordinator(group)
	return ok && m.ID == r.self
}

// Candidate implements placer.Roles.
func (r *roles) Candidate(group string) bool {
	d := (*Daemon)(r)
	if d.Phase() != drain.Serving {
		return false
	}
	return d.role(group).candidate
}

// Leaving implements placer.Roles.
func (r *roles) Leaving(endpoint string) bool { return r.rollout.Leaving(endpoint) }

// Fence implements placer.Roles.
func (r *roles) Fence(group string) uint64 {
	e, _ := r.gossip.Get(leasePrefix + group)
	return e.Version / versionsPerFence
}

// LastHolder implements placer.Roles.
func (r *roles) LastHolder(group string) placement.FormerHolder {
	e, _ := r.gossip.Get(leasePrefix + group)
	var f leaseFact
	_ = json.Unmarshal(e.Value, &f) // a missing or unreadable fact names no holder
	return placement.FormerHolder{Holder: f.Holder, Fence: e.Version / versionsPerFence}
}

// versionsPerFence is the number of versions of a lease's fact under one fence: one for the hold
// and one for the release.
const versionsPerFence = 2

// AnnounceHolder implements placer.Roles. The fact's version orders a release after
// the hold under the same fence, and both before those under the next fence.
func (r *roles) AnnounceHolder(group string, fence uint64, held bool) {
	f := leaseFact{Holder: r.self}
	version := versionsPerFence * fence
	if !held {
		f.Holder = ""
		version++
	}
	value, _ := json.Marshal(f) // a struct of one string always marshals
	r.gossip.Set(membership.Entry{Key: leasePrefix + group, Version: version, Value: value})
}

// Quiescent implements placer.Roles. A former holder is quiescent if it answers so
// itself, if another process has replaced it on its host, or if the platform no
// longer lists its host.
func (r *roles) Quiescent(ctx context.Context, holder, group string, fence uint64) bool {
	d := (*Daemon)(r)
	for _, m := range d.gossip.Members() {
		if m.ID == holder {
			resp, err := d.peers.To(m.PeerAddress).Handover(ctx, &peerpb.HandoverRequest{Group: group, Fence: fence})
			return err == nil && resp.Quiescent
		}
		if m.Host == hostOf(holder) {
			return true
		}
	}
	hosts, err := d.platform.Hosts(ctx)
	if err != nil {
		return false
	}
	for _, h := range hosts {
		if h.Name == hostOf(holder) {
			return false
		}
	}
	return true
}

// peerServer implements peerpb.Peer.
type peerServer Daemon

// Gossip implements peerpb.Peer.
func (s *peerServer) Gossip(_ context.Context, req *peerpb.GossipRequest) (*peerpb.GossipResponse, error) {
	return s.gossip.HandleGossip(req), nil
}

// Probe implements peerpb.Peer.
func (s *peerServer) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return s.gossip.HandleProbe(ctx, req), nil
}

// Fetch implements peerpb.Peer.
func (s *peerServer) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	return s.rollout.HandleFetch(req), nil
}

// Demand implements peerpb.Peer.
func (s *peerServer) Demand(_ context.Context, req *peerpb.DemandRequest) (*peerpb.DemandResponse, error) {
	if p := (*Daemon)(s).placer(req.Group); p != nil {
		return p.HandleDemand(req), nil
	}
	return &peerpb.DemandResponse{}, nil
}

// Claim implements peerpb.Peer.
func (s *peerServer) Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return s.claimer.HandleClaim(ctx, req), nil
}

// Handover implements peerpb.Peer.
func (s *peerServer) Handover(_ context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	p := (*Daemon)(s).placer(req.Group)
	return &peerpb.HandoverResponse{Quiescent: p == nil || p.Quiescent(req.Fence)}, nil
}

// placer returns a group's placer, or nil.
func (d *Daemon) placer(group string) *placer.Placer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placers[group]
}

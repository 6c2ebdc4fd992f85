package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/drain"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/gate"
	"github.com/doorvalve/doorvalve/driver/placer"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/transport/meter"
)

// Dump is a daemon's state as shown to operators.
type Dump struct {
	ID            string              `json:"id"`
	Host          string              `json:"host"`
	FailureDomain string              `json:"failure_domain"`
	Phase         drain.Phase         `json:"phase"`
	Uptime        string              `json:"uptime"`
	Generation    uint64              `json:"generation"`
	Digest        string              `json:"digest"`
	InProgress    int                 `json:"in_progress"`
	PlatformCalls int64               `json:"platform_calls"`
	PeerMessages  int64               `json:"gossip_messages"`
	Bytes         ControlBytes        `json:"control_bytes"`
	Members       []membership.Member `json:"members"`
	Groups        []placer.View       `json:"groups"`
	Gates         []gate.View         `json:"gates"` // with requests or credit
	ClaimKeys     map[uint32]int      `json:"claim_keys"`
	Workspaces    []quotas.View       `json:"workspaces"`
	Limits        []quotas.LimitView  `json:"endpoint_limits"` // rate limits that endpoints report now
	Paths         Paths               `json:"paths"`
}

// Paths says which endpoints the daemon reaches over its own path.
type Paths struct {
	Listed   int              `json:"endpoints"`
	Lost     []reach.LostPath `json:"lost"`
	Relaying int              `json:"relaying"` // connections relayed for other daemons
}

// ControlBytes counts the bytes of control traffic since the start, by the role of
// the other side.
type ControlBytes struct {
	Platform  meter.Counts `json:"platform"`
	Peers     meter.Counts `json:"peers"`
	Endpoints meter.Counts `json:"endpoints"`
}

// Dump returns the daemon's present state.
func (d *Daemon) Dump() Dump {
	out := Dump{
		ID: d.self, Host: d.set.Host, FailureDomain: d.set.FailureDomain, Phase: d.Phase(),
		Uptime: time.Since(d.started).Round(time.Second).String(), InProgress: d.callers.InProgress(),
		PlatformCalls: d.platform.Calls(), PeerMessages: d.gossip.Messages(), Members: d.gossip.Members(), ClaimKeys: d.claimer.Sizes(), Workspaces: d.quotas.View(), Limits: d.quotas.Endpoints().Views(),
		Bytes: ControlBytes{Platform: d.platform.Bytes(), Peers: d.peers.Meter().Counts(), Endpoints: d.engines.Bytes()},
	}
	out.Paths.Listed, out.Paths.Lost = d.paths.View()
	out.Paths.Relaying = d.tunnels.Active()
	if s := d.rollout.Current(); s != nil {
		out.Generation, out.Digest = s.Generation, s.Digest
	}
	d.mu.Lock()
	placers := make([]*placer.Placer, 0, len(d.placers))
	for _, p := range d.placers {
		placers = append(placers, p)
	}
	d.mu.Unlock()
	for _, p := range placers {
		out.Groups = append(out.Groups, p.View())
	}
	slices.SortFunc(out.Groups, func(a, b placer.View) int { return strings.Compare(a.Group, b.Group) })
	for _, g := range *d.gates.Load() {
		if v := g.View(); v.Queued+v.InFlight > 0 || len(v.Slots) > 0 {
			out.Gates = append(out.Gates, v)
		}
	}
	slices.SortFunc(out.Gates, func(a, b gate.View) int { return strings.Compare(a.Unit, b.Unit) })
	return out
}

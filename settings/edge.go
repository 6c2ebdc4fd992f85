package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Edge are the settings of a daemon that reads its desired state and its endpoints
// from the platform's store.
type Edge struct {
	Host          string     `json:"host"`
	FailureDomain string     `json:"failure_domain"`
	Listen        EdgeListen `json:"listen"`
	Peers         EdgePeers  `json:"peers"`
	Store         EdgeStore  `json:"store"`
	Limits        EdgeLimits `json:"limits"`
	Timing        EdgeTiming `json:"timing"`
	Retries       Retries    `json:"retries"`
	Loads         EdgeLoads  `json:"loads"`
	// FirstStart declares that the whole system starts for the first time. No daemon has held
	// a lease before, so a missing lease record was not lost by a restore of the store.
	FirstStart bool `json:"first_start"`
	// Quotas is omitted if workspaces have no quotas.
	Quotas   EdgeQuotas `json:"quotas"`
	LogLevel string     `json:"log_level" reload:"applied"`
}

// EdgeListen holds the addresses of the daemon's listeners.
type EdgeListen struct {
	Callers   string `json:"callers"`
	Directory string `json:"directory"` // for callers that look up the daemons' addresses
	Readiness string `json:"readiness"` // for the platform's health checks
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"` // empty: no listener
}

// EdgePeers holds the other daemons that are known at the start.
type EdgePeers struct {
	Seeds []string `json:"seeds" reload:"applied"` // peer addresses; some may be out of date
}

// EdgeStore holds the address of the platform's store and the time-out of calls to it.
type EdgeStore struct {
	Address string          `json:"address"`
	Timeout bundle.Duration `json:"timeout"` // of calls that do not wait for changes
}

// EdgeLimits are the resources that the daemon may use.
type EdgeLimits struct {
	MemoryMB    int64 `json:"memory_mb"` // MiB; a process that uses more is killed
	Descriptors int64 `json:"descriptors"`
	// The daemon may use the fraction CPUShare of Cores processor cores; zero if not
	// known.
	CPUShare float64 `json:"cpu_share" reload:"applied"`
	Cores    float64 `json:"cores" reload:"applied"`
}

// Capacity returns the daemon's processor time in thousandths of a core; zero if not
// known.
func (l EdgeLimits) Capacity() int { return int(l.CPUShare * l.Cores * 1000) }

// EdgeTiming holds the times that are agreed between the platform and the daemons.
type EdgeTiming struct {
	// AddressTTL is how long callers cache an answer of the directory; some cache
	// it three times as long.
	AddressTTL bundle.Duration `json:"address_ttl" reload:"applied"`
	// Grace is the time between the request to stop a daemon and its kill.
	Grace bundle.Duration `json:"grace" reload:"applied"`
	// OrderGap is the least time between the orders of two lease holders to one
	// engine.
	OrderGap bundle.Duration `json:"order_gap"`
	// LeaveWithin is the time after an endpoint's announcement that it leaves, from
	// which it must get no more requests.
	LeaveWithin bundle.Duration `json:"leave_within"`
	// ApplyWithin is the time within which a new desired state must be in force.
	ApplyWithin bundle.Duration `json:"apply_within"`
	// RevokeWithin is the time after which a revoked key must not be accepted, even by a
	// daemon that receives no updates; zero: no such bound.
	RevokeWithin bundle.Duration `json:"revoke_within" reload:"applied"`
	// EndpointHeartbeat is the interval between heartbeats of an endpoint.
	EndpointHeartbeat bundle.Duration `json:"endpoint_heartbeat"`
	// Pass is the time that the daemon may take to pass on an event of a stream.
	Pass bundle.Duration `json:"pass"`
}

// EdgeLoads bound the loads of models from the weight store.
type EdgeLoads struct {
	Window bundle.Duration `json:"window"`
	Factor float64         `json:"factor"`  // allowed loads within a window, as a multiple of the declared rate
	AtOnce int             `json:"at_once"` // concurrent loads, until the store's concurrency has been learned
}

// EdgeQuotas bound how far all daemons together may exceed the quota of a workspace in
// each window: by the fraction Overage of the quota and by Slack, in units of the quota.
type EdgeQuotas struct {
	Window  bundle.Duration `json:"window"`
	Overage float64         `json:"overage"`
	Slack   float64         `json:"slack"`
}

// LoadEdge reads and checks a file. Invalid settings are returned all together, as
// bundle.Issues.
func LoadEdge(file string) (Edge, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Edge{}, err
	}
	return ParseEdge(file, content)
}

// ParseEdge reads and checks the content of a file, which errors refer to as file.
// Invalid settings are returned all together, as bundle.Issues.
func ParseEdge(file string, content []byte) (Edge, error) {
	s := Edge{LogLevel: "info"}
	lines, err := bundle.DecodeStrict(file, content, &s)
	if err != nil {
		return s, err
	}
	c := checker{bundle.NewChecker(file, lines)}
	c.checkEdge(s)
	if issues := c.Issues(); len(issues) > 0 {
		return s, issues
	}
	return s, nil
}

func (c checker) checkEdge(s Edge) {
	c.Require(s.Host != "", "host", "the name of this host")
	c.Require(s.FailureDomain != "", "failure_domain", "the failure domain of this host")
	c.Require(hclog.LevelFromString(s.LogLevel) != hclog.NoLevel, "log_level", "trace, debug, info, warn or error, found %q", s.LogLevel)
	for _, l := range []struct{ path, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.directory", s.Listen.Directory}, {"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers}, {"store.address", s.Store.Address},
	} {
		_, err := netip.ParseAddrPort(l.address)
		c.Require(err == nil, l.path, "an IP number and a port, found %q", l.address)
	}
	if s.Listen.Metrics != "" {
		_, err := netip.ParseAddrPort(s.Listen.Metrics)
		c.Require(err == nil, "listen.metrics", "an IP number and a port, or nothing, found %q", s.Listen.Metrics)
	}
	for i, seed := range s.Peers.Seeds {
		_, err := netip.ParseAddrPort(seed)
		c.Require(err == nil, fmt.Sprintf("peers.seeds[%d]", i), "an IP number and a port, found %q", seed)
	}
	c.Require(s.Store.Timeout.D() > 0, "store.timeout", "a duration above 0")
	c.Require(s.Limits.MemoryMB > 0, "limits.memory_mb", "a number above 0")
	c.Require(s.Limits.Descriptors > 0, "limits.descriptors", "a number above 0")
	c.Require(s.Limits.CPUShare >= 0, "limits.cpu_share", "a number, 0 or above")
	c.Require(s.Limits.Cores >= 0, "limits.cores", "a number, 0 or above")
	c.Require(s.Timing.AddressTTL.D() > 0, "timing.address_ttl", "a duration above 0")
	c.Require(s.Timing.Grace.D() > 0, "timing.grace", "a duration above 0")
	c.Require(s.Timing.OrderGap.D() > 0, "timing.order_gap", "a duration above 0")
	c.Require(s.Timing.LeaveWithin.D() > 0, "timing.leave_within", "a duration above 0")
	c.Require(s.Timing.ApplyWithin.D() > 0, "timing.apply_within", "a duration above 0")
	c.Require(s.Timing.RevokeWithin.D() == 0 || s.Timing.RevokeWithin.D() > s.Timing.ApplyWithin.D(), "timing.revoke_within", "0, or a duration above apply_within")
	c.Require(s.Quotas.Window.D() >= 0 && s.Quotas.Overage >= 0 && s.Quotas.Slack >= 0, "quotas", "a window and numbers of at least 0")
	c.Require(s.Timing.EndpointHeartbeat.D() > 0, "timing.endpoint_heartbeat", "a duration above 0")
	c.Require(s.Timing.Pass.D() > 0, "timing.pass", "a duration above 0")
	c.retries(s.Retries)
	c.Require(s.Loads.AtOnce > 0, "loads.at_once", "a number above 0")
	c.Require(s.Loads.Window.D() > 0 && s.Loads.Factor > 0, "loads", "a window and a factor above 0")
}

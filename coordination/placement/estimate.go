package placement

import (
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// Replica is a unit that is ready on an endpoint that takes new requests.
type Replica struct {
	Unit     string
	Endpoint bundle.Endpoint
	Running  int // as last reported by the endpoint
}

// Replicas lists the ready replicas, in order of endpoint name.
func (m *Machine) Replicas() []Replica {
	var list []Replica
	for _, name := range m.endpointNames() {
		ep := m.endpoints[name]
		if ep.down || ep.leaving() {
			continue
		}
		for _, u := range ep.state.Units {
			if u.Status != protocol.UnitReady || m.unloading(u.Unit, name) || m.conf.Units[u.Unit].Name == "" {
				continue
			}
			list = append(list, Replica{Unit: u.Unit, Endpoint: ep.conf, Running: u.Running})
		}
	}
	return list
}

func (m *Machine) unloading(unit, endpoint string) bool {
	a := m.obj.find(unit, endpoint)
	return a != nil && a.Phase == Unloading
}

// Wait is the expected time until a unit can take a request.
type Wait struct {
	Time       time.Duration
	Reason     string        // why the unit cannot be served; empty if it can
	RetryAfter time.Duration // retry delay; set together with Reason
}

// Reasons why a unit cannot be served now.
const (
	ReasonUnknown             = "unknown-unit"
	ReasonNotLoadedByOperator = "not-loaded-by-operator"
	ReasonNoLease             = "no-placement-holder"
)

// Estimate returns the expected wait for a unit at now.
func (m *Machine) Estimate(unit string, now time.Time) Wait {
	u, known := m.conf.Units[unit]
	if !known {
		return Wait{Reason: ReasonUnknown}
	}
	best, found := time.Duration(0), false
	consider := func(d time.Duration) {
		if !found || d < best {
			best, found = d, true
		}
	}
	for _, ep := range m.endpoints {
		if ep.down || ep.leaving() {
			continue
		}
		if ready(ep, unit) && !m.unloading(unit, ep.conf.Name) {
			return Wait{}
		}
		if a := m.obj.find(unit, ep.conf.Name); a != nil && a.Phase == Loaded && (m.held || ep.conf.ChecksFencing) {
			consider(m.remaining(now, u, ep))
		}
	}
	if found {
		return Wait{Time: best}
	}
	if m.awaitingReports() {
		return Wait{Time: firstReportWait}
	}
	if m.conf.Service.Mode != bundle.ModeManaged {
		return Wait{Reason: ReasonNotLoadedByOperator, RetryAfter: time.Minute}
	}
	if !m.held && m.takeoverAt.After(now) {
		return Wait{Time: m.takeoverAt.Sub(now) + m.queuedLoad(now, u)}
	}
	if !m.held {
		return Wait{Reason: ReasonNoLease, RetryAfter: 2 * m.opt.OrderTTL}
	}
	return Wait{Time: m.queuedLoad(now, u)}
}

// firstReportWait is how long the first state reports of the endpoints may take.
const firstReportWait = 100 * time.Millisecond

// awaitingReports reports whether some endpoint has neither reported its state
// nor failed yet, as on a daemon that has just become the coordinator.
func (m *Machine) awaitingReports() bool {
	for _, ep := range m.endpoints {
		if ep.requestedAt.IsZero() && !ep.down {
			return true
		}
	}
	return false
}

// remaining estimates the remaining time of a recorded load. An overdue load is
// expected to take as much longer as it is overdue already.
func (m *Machine) remaining(now time.Time, u bundle.Unit, ep *endpoint) time.Duration {
	full := m.loadTime(u, ep)
	start, ok := m.loadSeenAt[loadKey(u.Name, ep.conf.Name)]
	if !ok {
		return full
	}
	left := full - now.Sub(start)
	if left < 0 {
		left = -left
	}
	return max(left, minRemaining)
}

// minRemaining is the lower bound of an estimate, so that it never promises
// that a load ends immediately.
const minRemaining = 20 * time.Millisecond

// memoryTierFactor is the load time from a checkpoint in memory, as a fraction
// of a full load.
const memoryTierFactor = 0.1

func (m *Machine) loadTime(u bundle.Unit, ep *endpoint) time.Duration {
	factor := m.slowdown
	if ep != nil && ep.state.Cached[u.Name] == protocol.TierMemory {
		factor = memoryTierFactor
	}
	return time.Duration(float64(u.Load) * factor)
}

// queuedLoad is the expected wait for a load that is not decided yet. The loads
// ahead of it run in rounds of as many as the weight store serves at once.
func (m *Machine) queuedLoad(now time.Time, u bundle.Unit) time.Duration {
	ahead := m.loading(m.obj)
	worth := m.demand[u.Name].Worth
	for name, d := range m.demand {
		if name != u.Name && d.Waiting > 0 && d.Worth > worth && m.obj.replicas(name) == 0 {
			ahead++
		}
	}
	rounds := ahead / max(1, m.conf.LoadsAtOnce)
	total := time.Duration(rounds+1) * m.loadTime(u, nil)
	if u.Base != "" && !m.baseReady(u) {
		total += m.loadTime(m.conf.Units[u.Base], nil)
	}
	return total
}

// ClaimedFence returns the lease fence that an endpoint has accepted, or 0.
func (m *Machine) ClaimedFence(endpoint string) uint64 {
	if ep := m.endpoints[endpoint]; ep != nil {
		return ep.claimed
	}
	return 0
}

// Former lists former holders whose orders may still arrive. It is empty unless
// this daemon holds the lease and has written the object under it.
func (m *Machine) Former() []FormerHolder {
	if !m.held || !m.written {
		return nil
	}
	return m.obj.Former
}

// SetPolicy replaces Options.Policy.
func (m *Machine) SetPolicy(p Policy) { m.opt.Policy = p }

// Unsettled reports whether requests wait or a unit is changing its state. The
// endpoints should then be polled often.
func (m *Machine) Unsettled() bool {
	for _, d := range m.demand {
		if d.Waiting > 0 {
			return true
		}
	}
	for i := range m.obj.Assignments {
		a := &m.obj.Assignments[i]
		ep := m.endpoints[a.Endpoint]
		if ep != nil && !ep.down && (a.Phase == Unloading || !ready(ep, a.Unit)) {
			return true
		}
	}
	return false
}

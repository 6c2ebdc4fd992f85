package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// evictionBackoff is the minimum time between two evictions for the same unit,
// so that the memory of the first can be freed before more is evicted.
const evictionBackoff = 5 * time.Second

// decide updates o, the object to be recorded, and reports whether it changed.
// It must only run while the lease is held, on an object that was written
// under the lease's fence.
func (m *Machine) decide(now time.Time, o *Object) bool {
	m.refillTokens(now)
	changed := m.removeConfirmed(now, o)
	changed = m.reconcile(o) || changed
	changed = m.adopt(o) || changed
	changed = m.unloadIdle(now, o) || changed
	changed = m.placeDemanded(now, o) || changed
	if changed {
		for i := range o.Assignments {
			o.Assignments[i].Fence = m.fence
		}
	}
	return changed
}

// removeConfirmed drops assignments whose unload the endpoint has confirmed.
//
// Invariant: the confirming state was requested after the unload was recorded
// and after the endpoint accepted this fence. If the endpoint does not check
// fencing numbers, every order that could still load the unit has expired, and
// every former holder has reported that it is quiescent or has been removed.
func (m *Machine) removeConfirmed(now time.Time, o *Object) bool {
	return o.remove(func(a Assignment) bool {
		ep := m.endpoints[a.Endpoint]
		if a.Phase != Unloading {
			return false
		}
		if ep == nil {
			return true // removed from the bundle by the operators
		}
		recorded, ok := m.recordedAt[a.Seq]
		if !ok {
			m.recordedAt[a.Seq] = now // recorded under an earlier fence
			return false
		}
		if ep.stateFence != m.fence || !ep.requestedAt.After(recorded) || ep.unit(a.Unit) != nil {
			return false
		}
		if !ep.conf.ChecksFencing && (len(o.Former) > 0 || now.Before(ep.orderMayArriveUntil) || ep.orderInFlight) {
			return false
		}
		delete(m.recordedAt, a.Seq)
		return true
	})
}

// reconcile unloads replicas that the bundle no longer allows: of an unknown
// unit or another version, on an endpoint that is leaving or not configured,
// beyond the maximum number, or of an adapter without its loaded base model.
func (m *Machine) reconcile(o *Object) bool {
	changed := false
	kept := map[string]int{}
	for i := range o.Assignments {
		a := &o.Assignments[i]
		if a.Phase == Unloading {
			continue
		}
		u, known := m.conf.Units[a.Unit]
		ep := m.endpoints[a.Endpoint]
		wanted := known && ep != nil && !ep.leaving() && u.Version == a.Version && kept[a.Unit] < u.MaxReplicas
		if wanted && a.Base != "" {
			base := o.find(a.Base, a.Endpoint)
			wanted = base != nil && base.Phase == Loaded
		}
		if wanted {
			kept[a.Unit]++
			continue
		}
		a.Phase = Unloading
		changed = true
	}
	return changed
}

// adopt records replicas that endpoints report and the object lacks. A replica
// that the bundle does not allow is recorded as unloading, so that it counts
// until its removal is confirmed.
func (m *Machine) adopt(o *Object) bool {
	changed := false
	for _, name := range m.endpointNames() {
		ep := m.endpoints[name]
		if ep.stateFence != m.fence {
			continue
		}
		for _, eu := range ep.state.Units {
			if o.find(eu.Unit, name) != nil {
				continue
			}
			u, known := m.conf.Units[eu.Unit]
			phase := Unloading
			if known && eu.Version == u.Version && eu.Status != protocol.UnitUnloading &&
				o.replicas(eu.Unit) < u.MaxReplicas && !ep.leaving() {
				phase = Loaded
			}
			if !known {
				u = bundle.Unit{Name: eu.Unit, Base: eu.Base}
			}
			u.Version, u.MemoryMiB = eu.Version, eu.MemoryMiB
			o.add(u, name, phase)
			changed = true
		}
	}
	return changed
}

// unloadIdle unloads replicas that have been idle for as long as the policy
// keeps them.
func (m *Machine) unloadIdle(now time.Time, o *Object) bool {
	if m.opt.Policy == nil {
		return false
	}
	changed := false
	for i := range o.Assignments {
		a := &o.Assignments[i]
		u := m.conf.Units[a.Unit]
		if a.Phase != Loaded || !m.idle(o, a) || m.loadedReplicas(o, a.Unit) <= u.MinReplicas {
			continue
		}
		since := m.idleSince(a)
		if since.IsZero() {
			m.lastActive[a.Unit] = now
			continue
		}
		if now.Sub(since) >= m.opt.Policy.IdleFor(a.Unit, m.cost(a, u), now) {
			a.Phase = Unloading
			changed = true
		}
	}
	return changed
}

func (m *Machine) cost(a *Assignment, u bundle.Unit) Cost {
	c := Cost{Load: time.Duration(float64(u.Load) * m.slowdown), Share: 1}
	if ep := m.endpoints[a.Endpoint]; ep != nil && ep.conf.MemoryMiB > 0 {
		c.Share = float64(a.MemoryMiB) / float64(ep.conf.MemoryMiB)
	}
	return c
}

func (m *Machine) loadedReplicas(o *Object, unit string) int {
	n := 0
	for _, i := range o.unitIndexes(unit) {
		if o.Assignments[i].Phase == Loaded {
			n++
		}
	}
	return n
}

// idle reports whether a replica is ready, no request uses or waits for its
// unit, and no adapter depends on it.
func (m *Machine) idle(o *Object, a *Assignment) bool {
	ep := m.endpoints[a.Endpoint]
	if ep == nil || !ready(ep, a.Unit) || ep.unit(a.Unit).Running > 0 {
		return false
	}
	if d := m.demand[a.Unit]; d.Waiting+d.InFlight > 0 {
		return false
	}
	for _, i := range o.adapters(a.Unit) {
		if o.Assignments[i].Endpoint == a.Endpoint {
			return false
		}
	}
	return true
}

func (m *Machine) idleSince(a *Assignment) time.Time {
	since := m.lastActive[a.Unit]
	if at := m.readyAt[loadKey(a.Unit, a.Endpoint)]; at.After(since) {
		return at
	}
	return since
}

// loadRequest asks for one more replica of a unit.
type loadRequest struct {
	unit  bundle.Unit
	worth int64
}

// placeDemanded assigns endpoints to units in order of worth, and evicts idle
// replicas where no endpoint has enough free memory.
func (m *Machine) placeDemanded(now time.Time, o *Object) bool {
	if !m.surveyed() {
		return false
	}
	changed := false
	for _, w := range m.loadRequests(now, o) {
		if m.loading(o) >= m.conf.LoadsAtOnce || m.tokens < 1 {
			break
		}
		if name, ok := m.roomFor(o, w.unit); ok {
			o.add(w.unit, name, Loaded)
			m.tokens--
			delete(m.evictedAt, w.unit.Name)
			changed = true
			continue
		}
		if now.Sub(m.evictedAt[w.unit.Name]) < evictionBackoff {
			continue
		}
		if m.makeRoom(now, o, w) {
			m.evictedAt[w.unit.Name] = now
			changed = true
		}
	}
	return changed
}

// loadRequests lists the units that need one more replica, in descending order
// of worth.
func (m *Machine) loadRequests(now time.Time, o *Object) []loadRequest {
	best := map[string]int64{}
	request := func(unit string, worth int64) {
		u, known := m.conf.Units[unit]
		if !known || o.replicas(unit) >= u.MaxReplicas {
			return
		}
		if w, ok := best[unit]; !ok || worth > w {
			best[unit] = worth
		}
	}
	for name, d := range m.demand {
		if d.Waiting+d.Unavailable == 0 || !m.needsMore(o, name, d) {
			continue
		}
		u := m.conf.Units[name]
		if u.Base != "" && !m.baseReady(u) {
			request(u.Base, d.Worth)
			continue
		}
		request(name, d.Worth)
	}
	for name, u := range m.conf.Units {
		if m.loadedReplicas(o, name) < u.MinReplicas {
			request(name, worthOfMinimum)
		}
	}
	if m.opt.Policy != nil {
		for _, name := range m.opt.Policy.Prewarm(now) {
			if o.replicas(name) == 0 {
				request(name, worthOfPrewarm)
			}
		}
	}
	list := make([]loadRequest, 0, len(best))
	for name, worth := range best {
		list = append(list, loadRequest{unit: m.conf.Units[name], worth: worth})
	}
	slices.SortFunc(list, func(a, b loadRequest) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.unit.Name, b.unit.Name))
	})
	return list
}

// Worths of loads that no request waits for yet. They are negative, so that
// loads for waiting requests come first.
const (
	worthOfMinimum = -1
	worthOfPrewarm = -2
)

// needsMore reports whether the demand requires one more replica: the unit has none, or all are
// ready and more requests wait than one endpoint takes at once, or all of them are unavailable.
func (m *Machine) needsMore(o *Object, unit string, d Demand) bool {
	replicas, slots := 0, 0
	for _, i := range o.unitIndexes(unit) {
		a := &o.Assignments[i]
		ep := m.endpoints[a.Endpoint]
		if a.Phase != Loaded || ep == nil || !ready(ep, unit) {
			return false // a load or unload is in progress
		}
		replicas++
		slots = max(slots, ep.conf.Slots)
	}
	return replicas == 0 || d.Waiting > slots || d.Unavailable > 0
}

func (m *Machine) baseReady(u bundle.Unit) bool {
	for _, ep := range m.endpoints {
		if !ep.leaving() && ready(ep, u.Base) {
			return true
		}
	}
	return false
}

// loading counts the loads in progress.
func (m *Machine) loading(o *Object) int {
	n := 0
	for i := range o.Assignments {
		a := &o.Assignments[i]
		ep := m.endpoints[a.Endpoint]
		if a.Phase == Loaded && ep != nil && !ep.down && !ready(ep, a.Unit) {
			n++
		}
	}
	return n
}

// free returns an endpoint's memory that neither the object nor the endpoint's
// own state counts as used.
//
// Invariant: every recorded replica counts, in any phase; every observed
// replica that is not recorded counts too; units never get the KV reserve.
func (m *Machine) free(o *Object, ep *endpoint) int64 {
	left := min(ep.conf.MemoryMiB, ep.state.MemoryMiB) - ep.conf.KVReserveMiB
	for i := range o.Assignments {
		a := &o.Assignments[i]
		if a.Endpoint != ep.conf.Name {
			continue
		}
		size := a.MemoryMiB
		if u := ep.unit(a.Unit); u != nil {
			size = max(size, u.MemoryMiB)
		}
		left -= size
	}
	for i := range ep.state.Units {
		if u := &ep.state.Units[i]; o.find(u.Unit, ep.conf.Name) == nil {
			left -= u.MemoryMiB
		}
	}
	return left
}

// usable reports whether new units may be placed on ep.
func (m *Machine) usable(ep *endpoint) bool {
	return !ep.down && !ep.leaving() && ep.stateFence == m.fence && ep.claimed == m.fence
}

// surveyed reports whether every endpoint that answers has been claimed under
// this fence and has reported its state since.
//
// Invariant: nothing new is placed before that, since an endpoint that has not
// reported yet may hold replicas that are not recorded.
func (m *Machine) surveyed() bool {
	for _, ep := range m.endpoints {
		if !ep.down && ep.stateFence != m.fence {
			return false
		}
	}
	return true
}

func (m *Machine) allowed(o *Object, ep *endpoint, u bundle.Unit) bool {
	if !m.usable(ep) || o.find(u.Name, ep.conf.Name) != nil {
		return false
	}
	if u.Base != "" {
		base := o.find(u.Base, ep.conf.Name)
		return base != nil && base.Phase == Loaded && ready(ep, u.Base)
	}
	return len(u.FailureDomains) == 0 || slices.Contains(u.FailureDomains, ep.conf.FailureDomain)
}

var tierRank = map[protocol.Tier]int{protocol.TierMemory: 0, protocol.TierDisk: 1, protocol.TierRemote: 2, "": 2}

// roomFor picks the endpoint for a new replica among those with enough free
// memory: the one with the checkpoint in the fastest tier, then the one with
// the most free memory.
func (m *Machine) roomFor(o *Object, u bundle.Unit) (string, bool) {
	best, bestRank, bestFree := "", 0, int64(0)
	for _, name := range m.endpointNames() {
		ep := m.endpoints[name]
		free := m.free(o, ep)
		if !m.allowed(o, ep, u) || free < u.MemoryMiB {
			continue
		}
		rank := tierRank[ep.state.Cached[u.Name]]
		if best == "" || rank < bestRank || rank == bestRank && free > bestFree {
			best, bestRank, bestFree = name, rank, free
		}
	}
	return best, best != ""
}

// makeRoom unloads idle replicas on the endpoint where that costs least, and
// reports whether it unloads any.
func (m *Machine) makeRoom(now time.Time, o *Object, w loadRequest) bool {
	if m.opt.Eviction == EvictNever {
		return false
	}
	var best []*Assignment
	bestCost := 0.0
	for _, name := range m.endpointNames() {
		ep := m.endpoints[name]
		if !m.allowed(o, ep, w.unit) {
			continue
		}
		victims, cost, ok := m.victims(now, o, ep, w)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	for _, a := range best {
		a.Phase = Unloading
	}
	return len(best) > 0
}

// victims picks idle replicas to unload from an endpoint, in ascending order of
// cost, until the requested unit fits. The cost is the time to load them again,
// weighted by how recently each was used. ok says that the unit fits then.
func (m *Machine) victims(now time.Time, o *Object, ep *endpoint, w loadRequest) (list []*Assignment, cost float64, ok bool) {
	var idle []*Assignment
	for i := range o.Assignments {
		a := &o.Assignments[i]
		if a.Endpoint != ep.conf.Name || a.Phase != Loaded || a.Unit == w.unit.Base || !m.idle(o, a) {
			continue
		}
		if m.loadedReplicas(o, a.Unit) <= m.conf.Units[a.Unit].MinReplicas && w.worth < 0 {
			continue
		}
		idle = append(idle, a)
	}
	slices.SortFunc(idle, func(a, b *Assignment) int {
		return cmp.Compare(m.evictionCost(now, a), m.evictionCost(now, b))
	})
	free := m.free(o, ep)
	for _, a := range idle {
		if free >= w.unit.MemoryMiB {
			break
		}
		list = append(list, a)
		free += a.MemoryMiB
		cost += m.evictionCost(now, a)
	}
	return list, cost, len(list) > 0 && free >= w.unit.MemoryMiB
}

// evictionCost estimates the cost of unloading a replica: its load time over
// the time it has been idle, or with EvictLeastRecentlyUsed 1 over that time.
func (m *Machine) evictionCost(now time.Time, a *Assignment) float64 {
	idle := now.Sub(m.idleSince(a)).Seconds()
	if m.opt.Eviction == EvictLeastRecentlyUsed {
		return 1 / (1 + idle)
	}
	return m.conf.Units[a.Unit].Load.Seconds() / (1 + idle)
}

func (m *Machine) refillTokens(now time.Time) {
	if m.tokensAt.IsZero() {
		m.tokens = float64(m.conf.LoadsAtOnce)
	} else {
		m.tokens += now.Sub(m.tokensAt).Seconds() * m.conf.LoadsPerSecond
	}
	m.tokens = min(m.tokens, float64(m.conf.LoadsAtOnce))
	m.tokensAt = now
}

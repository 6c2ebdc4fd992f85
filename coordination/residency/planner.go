package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/promptcache"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// replica is a model that is loaded, or being loaded, at an engine.
type replica struct {
	adapters map[string]*adapter
	// readyAt is when requests can start; it is in the past for a loaded model.
	readyAt time.Time
	// confirmed reports whether the engine has listed the model in a report since the load
	// was ordered.
	confirmed    bool
	lastUse      time.Time
	lastAnswered time.Time // last time that an answer directed a request here
	keepUntil    time.Time // promised to a caller until this time
}

type adapter struct {
	readyAt time.Time
	lastUse time.Time
	// unloading reports that the unload was accepted. The adapter occupies its slot until a
	// report no longer lists it.
	unloading bool
}

// pendingOrder is an order whose completion has not been observed yet.
type pendingOrder struct {
	order        Order
	accepted     bool          // the engine carries it out
	startCounted bool          // it is among Planner.storeStarts
	endsAt       time.Time     // expected end
	unansweredAt time.Time     // when the wait for an answer ended; zero before
	absentAt     time.Time     // time of the first report after that which does not include it; zero before
	store        storeLoad     // of a load from the store
	drain        time.Duration // expected time that an unload waits for running requests
	requestedAt  time.Time     // last request for the load; zero if there was none
}

// unanswered reports whether the wait for the order's answer has ended without one. It may have been
// accepted, or be so later.
func (o *pendingOrder) unanswered() bool { return !o.accepted && !o.unansweredAt.IsZero() }

// absentFrom records a report that does not include the order, and reports whether that shows that the engine has not
// accepted it. An engine that goes on after a pause may report before it reads the order, so a second report is needed
// that is later by twice the age of a report.
func (o *pendingOrder) absentFrom(now time.Time) bool {
	if !o.unanswered() || !now.After(o.unansweredAt.Add(reportLag)) {
		return false
	}
	if o.absentAt.IsZero() {
		o.absentAt = now
	}
	return now.Sub(o.absentAt) >= 2*reportLag
}

func (o *pendingOrder) loadsFromStore() bool {
	return o.order.Level == Store && !o.order.Unload && o.order.Adapter == ""
}

// engineState is the planner's view of one incarnation of an engine.
type engineState struct {
	incarnation   fleet.Incarnation
	endpoint      *fleet.Endpoint
	synced        bool // sequence and models are up to date
	down          bool // does not answer; gets no orders until it reports
	missedReports int  // consecutive probes without a report
	// reported: a report has arrived since this planner took over; foreignCounted: one of them has shown an order of the
	// planner before in progress.
	reported, foreignCounted bool
	silentSince              time.Time // first sign that it does not answer; zero if it has reported since
	reportedAt               time.Time // time of the last report
	sequence                 uint64
	countedAt                time.Time // when an answer last raised sequence
	models                   map[string]*replica
	inMemory                 map[string]bool
	onDisk                   map[string]bool

	order         *pendingOrder
	adapterQueue  []adapterWant // adapters to load, in order
	noOrderBefore time.Time     // no order may be sent earlier
	busyCount     int           // consecutive orders that found the engine busy
	// unloadedAt holds when unloads were accepted, by model. Older descriptions of the
	// engine still list the model.
	unloadedAt map[string]time.Time
	probeAt    time.Time  // time of the next probe; zero if none is due
	probing    bool       // a probe is in progress
	running    int        // requests that run here according to the daemons
	work       EngineWork // of these requests
	speed      float64    // as of the last planning step; zero if it is not known
	unreported int        // requests directed here by an answer that no daemon has reported yet
	// unreportedPrompt is the number of prompt tokens of these requests.
	unreportedPrompt int
	// promptsUntil is when the prompts that answers have directed here are processed, by estimate.
	promptsUntil time.Time
	late         lateOrders
	// afterUnload reports that no order has been answered since the last unload.
	afterUnload bool
	// fullUntil is the time until which the engine counts as full under its rate limit.
	fullUntil time.Time
	// unknownLateOrder reports that a former coordinator may have sent an order to an
	// earlier incarnation of the engine that is not known here and may still be carried
	// out.
	unknownLateOrder bool
}

// adapterWant is an adapter that a request waits for.
type adapterWant struct{ model, adapter string }

// wantedUnit is a model that is wanted at any engine, or at those with one version of the software.
type wantedUnit struct {
	model string
	only  SoftwareFilter
}

// anywhere returns the model as wanted at any engine.
func anywhere(model string) wantedUnit { return wantedUnit{model: model} }

// wantedModel is a model to be loaded.
type wantedModel struct {
	requestedAt time.Time // last request for it
	wantedSince time.Time // first request for it since it was last held
	// returnsBy is the latest time at which a caller that was refused is expected to retry.
	returnsBy time.Time
	// extra reports that the model is loaded already and needs more replicas.
	extra bool
	// slackKnown reports that a request has stated its slack. dueAt is then the earliest
	// time, among the requests that can still be in time, at which one must start to meet
	// its objective; if it has passed, all are late.
	slackKnown bool
	dueAt      time.Time
}

// reportedDemand is the last demand report of one daemon.
type reportedDemand struct {
	Demand
	at time.Time
}

// Planner plans the loaded models of one service. It is not safe for concurrent use.
//
// Invariants: an engine has at most one order whose end is unknown; an order carries the
// number of orders that its decision was based on, so that it has no effect on an engine in
// any other state; the models and adapters that an engine holds or may come to hold never
// exceed its memory and adapter slots.
type Planner struct {
	opt            Options
	conf           Config
	largestModelMB float64 // size of the largest model, in MB
	engines        map[string]*engineState
	unlisted       map[string]*lateOrders // of engines that are not listed any more, by id
	serial         uint64                 // of the last order
	lease          Lease
	tookOver       time.Time // time at which this daemon acquired the lease
	demands        map[string]*reportedDemand
	wants          map[wantedUnit]*wantedModel // models to load
	values         map[string]*value           // value of the recent requests, by model
	pressures      map[string]*pressure        // of models in use
	loads          []scheduledLoad             // last schedule
	scheduledAt    time.Time
	storeStarts    []time.Time      // starts of loads from the store, newest last
	engineAddedAt  time.Time        // last time that a new engine appeared
	nextCopiesAt   time.Time        // next search for models without a nearby copy
	sorted         []*engineState   // by id, so that decisions are deterministic
	draft          draft            // state of the last planning step
	store          StoreConcurrency // learned concurrency of the weight store
	// unloadTime is the learned estimate of how long engines take to carry out an unload.
	unloadTime     time.Duration
	limits         map[string]incarnationLimit // reported by engines, by id
	costs          *workcost.Estimator         // speeds of the engines
	prompts        promptcache.Memory          // of all requests directed by answers
	sent           []sentRequest
	storeWatchedAt time.Time // last update of the concurrency of loads in progress
}

// New returns a planner without any state.
func New(opt Options) *Planner {
	return &Planner{opt: opt, store: newStoreConcurrency(opt.InitialStoreConcurrency), engines: map[string]*engineState{}, unlisted: map[string]*lateOrders{}, limits: map[string]incarnationLimit{}, demands: map[string]*reportedDemand{}, wants: map[wantedUnit]*wantedModel{}, values: map[string]*value{}, pressures: map[string]*pressure{}, costs: workcost.New(), prompts: promptcache.New()}
}

// Configure sets the service to plan for.
func (p *Planner) Configure(c Config) {
	p.conf, p.largestModelMB = c, 0
	if c.Engine == nil {
		return
	}
	for _, m := range c.Engine.Models {
		p.largestModelMB = max(p.largestModelMB, m.SizeMB)
	}
}

// Lease describes whether this daemon holds the service's lease.
type Lease struct {
	Held  bool
	Fence uint64
	First bool // no daemon has held the lease before
	// OrdersFrom is the earliest time for the first order. A whole lease term then
	// separates it from the last order of the former holder.
	OrdersFrom time.Time
}

// SetLease sets whether this daemon holds the lease. When the lease is acquired, or its
// fence changes, all engines are probed again before they get orders.
func (p *Planner) SetLease(now time.Time, l Lease) {
	if l.Held && !p.lease.Held || l.Fence != p.lease.Fence {
		p.tookOver = now
		for _, e := range p.engines {
			e.giveUpOrder(now)
			e.order, e.adapterQueue, e.synced = nil, nil, false
			e.reported, e.foreignCounted = false, false
			e.probeAt = now
		}
	}
	p.lease = l
}

// SetEndpoints replaces the list of engines by those of the current view.
func (p *Planner) SetEndpoints(now time.Time, list []*fleet.Endpoint) {
	present := make(map[string]bool, len(list))
	for _, ep := range list {
		present[ep.ID] = true
		e := p.engines[ep.ID]
		switch {
		case e == nil:
			e = p.returnedEngine(now, ep.Incarnation())
			p.engines[ep.ID] = e
			p.engineAddedAt = now
		case ep.Incarnation().Before(e.incarnation):
			continue // the engine has reported a later incarnation itself
		case e.incarnation.Before(ep.Incarnation()):
			e = p.replaceIncarnation(now, e, ep.Incarnation())
		}
		unchanged := e.endpoint != nil && e.endpoint.Version == ep.Version
		e.endpoint = ep
		if !unchanged {
			p.adoptEntry(now, e)
		}
	}
	gone := false
	for id := range p.engines {
		if !present[id] {
			p.removeEngine(now, id)
			gone = true
		}
	}
	if gone {
		p.forgetGone()
	}
	p.sortEngines()
}

// forgetGone removes what was learned of incarnations that are gone. It goes over all remembered
// prompts, so it must not run for each change of an engine.
func (p *Planner) forgetGone() {
	present := func(incarnation fleet.Incarnation) bool { return p.engineOf(incarnation) != nil }
	p.costs.Retain(present)
	p.prompts.Retain(func(_ string, incarnation fleet.Incarnation) bool { return present(incarnation) })
}

func (p *Planner) newEngineState(now time.Time, incarnation fleet.Incarnation) *engineState {
	return &engineState{incarnation: incarnation, late: lateOrders{incarnation: incarnation, firstSerial: p.serial + 1}, models: map[string]*replica{}, inMemory: map[string]bool{}, onDisk: map[string]bool{}, unloadedAt: map[string]time.Time{}, probeAt: now}
}

// sortEngines sets the order in which engines are visited.
func (p *Planner) sortEngines() {
	p.sorted = p.sorted[:0]
	for _, e := range p.engines {
		p.sorted = append(p.sorted, e)
	}
	slices.SortFunc(p.sorted, func(a, b *engineState) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
}

// ReceiveReport updates the state of an engine from its report.
func (p *Planner) ReceiveReport(now time.Time, r Report) {
	e := p.engines[r.Endpoint.ID]
	if e == nil || r.Endpoint.Before(e.incarnation) {
		return
	}
	if e.incarnation.Before(r.Endpoint) {
		e = p.replaceUnlistedIncarnation(now, e, r.Endpoint)
	}
	if e.incarnation.StartUnixMs == 0 {
		e.incarnation, e.late.incarnation = r.Endpoint, r.Endpoint
	}
	e.probing, e.down, e.missedReports, e.reportedAt = false, false, 0, now
	e.silentSince = time.Time{}
	e.probeAt = time.Time{}
	p.adopt(now, e, r)
	if !e.synced || e.order != nil {
		e.probeAt = now.Add(reportLag)
	}
}

// ReportFailed records that an engine did not answer a probe. connected reports whether a connection to it was open: a
// sound engine may take connections and answer nothing for a while, so it then counts as down only after briefSilence.
func (p *Planner) ReportFailed(now time.Time, incarnation fleet.Incarnation, connected bool) {
	if e := p.engineOf(incarnation); e != nil {
		e.probing = false
		e.missedReports++
		e.noteSilence(now)
		if e.order != nil && e.order.unanswered() {
			p.extendOrder(now, e, e.order)
		}
		e.down = e.down || e.missedReports >= maxMissedReports && !(connected && e.brieflySilent(now))
		e.probeAt = now.Add(e.probeDelay(now))
	}
}

func (e *engineState) level(model string) Level {
	switch {
	case e.models[model] != nil:
		return Resident
	case e.inMemory[model]:
		return Memory
	case e.onDisk[model]:
		return Disk
	}
	return Store
}

func (e *engineState) usable() bool { return !e.endpoint.Leaving && !e.down }

// probeDelay returns the time until the next probe of an engine that did not answer the last one.
func (e *engineState) probeDelay(now time.Time) time.Duration {
	if e.brieflySilent(now) {
		return reportLag
	}
	return min(maxProbeDelay, reportLag<<min(e.missedReports, maxProbeDoublings))
}

// noteSilence records a sign that the engine does not answer.
func (e *engineState) noteSilence(now time.Time) {
	if e.silentSince.IsZero() {
		e.silentSince = now
	}
}

// brieflySilent reports whether an engine has not answered for less than briefSilence.
func (e *engineState) brieflySilent(now time.Time) bool {
	return !e.silentSince.IsZero() && now.Sub(e.silentSince) < briefSilence && !e.endpoint.Leaving
}

// ReceiveDemand replaces the demand of a daemon by its new report.
func (p *Planner) ReceiveDemand(now time.Time, daemon string, d Demand) {
	d.Running, d.Work = p.ofCurrentIncarnations(d.Running), boundedWork(d.Work)
	p.countDelta(daemon, d)
	p.pruneSent(now, daemon)
	p.learnSpeeds(now, d.Samples)
	d.Samples = nil
	p.demands[daemon] = &reportedDemand{Demand: d, at: now}
	for place, first := range d.FirstEvents {
		p.addFirstEvents(now, place.Model, first)
	}
	for place, n := range d.Running {
		e := p.engines[place.Endpoint.ID]
		if n == 0 || e == nil {
			continue
		}
		model, name, _ := strings.Cut(place.Model, "/")
		r := e.models[model]
		if r == nil {
			continue
		}
		r.lastUse = now
		if a := r.adapters[name]; a != nil {
			a.lastUse = now
		}
	}
}

// needed returns the number of replicas that the running requests of a model need.
func needed(active int, perReplica float64) int {
	switch {
	case active == 0:
		return 0
	case active < secondReplicaFrom:
		return 1
	}
	return 1 + int(math.Ceil(float64(active)/perReplica))
}

func (e *engineState) queued(model, adapter string) bool {
	return slices.Contains(e.adapterQueue, adapterWant{model, adapter})
}

// memory returns the memory in MB that the engine's models and adapters occupy, including
// those that are being loaded.
func (p *Planner) memory(e *engineState) float64 {
	sum := 0.0
	for name, r := range e.models {
		m := p.conf.Engine.Models[name]
		sum += m.SizeMB + float64(len(r.adapters))*m.AdapterMB
	}
	sum += e.unplannedMemory(p.conf.Engine)
	if e.unknownLateOrder {
		sum += p.largestModelMB
	}
	return sum
}

func set(list []string) map[string]bool {
	s := make(map[string]bool, len(list))
	for _, v := range list {
		s[v] = true
	}
	return s
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

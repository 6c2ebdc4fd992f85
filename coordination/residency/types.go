// Package residency decides which models and adapters each engine of a
// service holds: what is loaded where, from which copy, and what makes room.
// It is a state machine without I/O, run by the daemon that holds the
// service's lease. Copies lie at three levels: loaded, in an engine's host
// memory or on its disk, and in the weight store.
package residency

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// Order asks one engine to load or unload one model or adapter.
type Order struct {
	Endpoint fleet.Incarnation
	Address  string
	Unload   bool
	Model    string
	Adapter  string // empty for the model itself
	// Level is where the copy of a load lies.
	Level Level
	// Expect is the number of orders that the engine must have accepted
	// before; the engine refuses the order otherwise, also when it arrives
	// late.
	Expect uint64
	Holder string // the host that sends it
	Fence  uint64 // rises with each new holder
}

// Outcome is how an order ended.
type Outcome int

// The outcomes of an order.
const (
	// Accepted: the engine carries the order out.
	Accepted Outcome = iota
	// Holds: the engine is already in the ordered state.
	AlreadyDone
	// Busy: another order is in progress, or the engine has accepted orders
	// that this daemon does not know of.
	Busy
	// Refused: the engine will never carry the order out.
	Refused
	// Unanswered: the engine may carry the order out, now or later.
	Unanswered
	// Unsent: the order has certainly not left this daemon.
	Unsent
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"accepted", "holds", "busy", "refused", "unanswered", "unsent"}[o]
}

// Report is an engine's own word on its state, some hundred milliseconds old.
type Report struct {
	Endpoint        fleet.Incarnation
	Sequence        uint64 // orders accepted
	Busy            bool   // an order is in progress
	Models          []fleet.LoadedModel
	LoadingAdapters []AdapterRef // adapters on their way
	InMemory        []string
	OnDisk          []string
}

// AdapterRef names an adapter of a model.
type AdapterRef struct{ Model, Adapter string }

// Level is the nearest place of a copy of a model at an engine.
type Level int

// The levels, nearest first.
const (
	Resident Level = iota // loaded
	Memory
	Disk
	Store
)

// String returns the name used in logs.
func (l Level) String() string { return [...]string{"resident", "memory", "disk", "store"}[l] }

// Want is a request's need for a model.
type Want struct {
	Model   string
	Adapter string
	Rank    int // of the request; 0 is first
	// Daemon is who asks, as it names itself when it tells its demand.
	Daemon string
	// Avoid is an endpoint that has just failed for this request; it is named
	// again only if no other holds the model, and after a pause.
	Avoid fleet.Incarnation
	// Unreachable says that the connection to Avoid could not be opened.
	Unreachable bool
	// Absent is an endpoint that has just said that it does not hold the model
	// or adapter.
	MissingAt fleet.Incarnation
	// Full are endpoints that hold the model and have no room now within the limits that they
	// name themselves.
	Full []fleet.Incarnation
}

// Place is a model, or an adapter as MODEL/ADAPTER, at an endpoint.
type Place struct {
	Endpoint fleet.Incarnation
	Model    string
}

// Demand is what one daemon says of its requests.
type Demand struct {
	Active  map[string]int // requests running or waiting, by model
	Running map[Place]int  // requests that an endpoint was sent and has not ended
	// First tells how fast endpoints began to answer since the daemon said so
	// last; adapters count for their model.
	FirstEvents map[Place]FirstEvents
}

// FirstEvents counts first events of answers.
type FirstEvents struct {
	Count int
	Slow  int // came near the latency objective or after it
	Rank  int // of the most urgent of these requests; 0 is first
}

// Answer says where a wanted model is or will be.
type Answer struct {
	Endpoint fleet.Incarnation
	// ReadyIn is how long until the endpoint can start a request; zero when it
	// can now.
	ReadyIn time.Duration
	// Level is where the copy comes from.
	Level Level
	// StartsIn estimates how long a request that is sent there now waits for a slot.
	StartsIn time.Duration
	// Refused is set when the model cannot be had; ReadyIn then says when
	// to ask again, except without a coordinator: who asked estimates that.
	Refused string
}

// Reasons of a refused Answer.
const (
	RefusedNoCoordinator = "no-coordinator"
	RefusedNoModel       = "unknown-model"
	RefusedNoRoom        = "no-room"
	RefusedNoEngines     = "no-engines"
)

// Options configure a Planner.
type Options struct {
	Holder string // this host
	// StoreAtOnce is the number of loads that the weight store is taken to serve at
	// full speed until loads have shown it.
	InitialStoreConcurrency int
	// RateWindow and RateFactor bound the loads from the store that begin
	// within a window, beside Engine.LoadsPerSecond.
	RateWindow time.Duration
	RateFactor float64
}

// Config is the service that is planned for.
type Config struct {
	Service string
	Engine  *routing.Engine
}

// Ready is what the driver has to do now.
type Ready struct {
	Orders []Order
	Probes []fleet.Incarnation // endpoints whose report is wanted
}

const (
	// replicaShare is the part of an engine's slots that the running requests of one
	// replica are meant to take: each more slows all, and the engine's other models
	// need some.
	replicaShare = 0.625
	// severalFrom is the number of running requests from which a model has a
	// second replica, so that the loss of one engine costs no load.
	severalFrom = 8
	// idleMargin is added to the time in which daemons tell that a request runs
	// before a model counts as idle that was named for one: the way of the
	// request and of the message.
	idleMargin = 160 * time.Millisecond
	// keepWaiting is how long a model is kept after it is ready for a request
	// that waits for it.
	keepWaiting = 400 * time.Millisecond
	// keepReturning is how long it is kept for a caller that was told when to
	// come back, as those are that would wait longer than returnsAfter.
	keepReturning = 1200 * time.Millisecond
	returnsAfter  = 1500 * time.Millisecond
	// demandLife is how long a daemon's report of its demand counts.
	demandLife = 3 * time.Second
	// adapterLoad is the estimate of an adapter's load time; the desired state
	// does not tell it, engines take some milliseconds to some tens.
	adapterLoad = 20 * time.Millisecond
	// orderMargin is added to a load's declared time before the model counts
	// as ready.
	orderMargin = 30 * time.Millisecond
	// reportLag is how old an engine's report is, at most.
	reportLag = 250 * time.Millisecond
	// silentReports is the number of reports in a row that do not come after
	// which an engine counts as down.
	silentReports = 2
	// probeMost and probeDoublings bound the growing pause between reports
	// that do not come.
	probeMost      = 2 * time.Second
	probeDoublings = 3
	// activeCost is what an engine's models in use count against a long load
	// there, which keeps their adapters out meanwhile.
	activeCost = 400 * time.Millisecond
	// avoidedCost keeps a request away from the endpoint that has just failed
	// it, unless no other holds the model: it then waits for avoidedPause, in
	// which a full engine ends some requests.
	avoidedCost  = time.Hour
	avoidedPause = 250 * time.Millisecond
	// retryBusy is the pause after an order that found the engine busy.
	retryBusy = 80 * time.Millisecond
	// valueHalfLife is how fast old wants lose weight against new ones: some
	// loads from the store.
	valueHalfLife = 8 * time.Second
	// rankWeight is how much more a request weighs than one of the next rank.
	rankWeight = 8
	// ranks is the number of ranks that weigh differently.
	ranks = 4
	// busyDoublings bounds the growing pause between such orders.
	busyDoublings = 4
	// refusedMost bounds how long an engine that refuses orders is taken to go
	// on with what it does.
	refusedMost = 12
	// wantLife is how long a model is still to be loaded after a request asked
	// for it: callers that were sent away come back within it.
	wantLife = 9 * time.Second
	// scheduleMost bounds the models that are scheduled at a time.
	scheduleMost = 64
	// scheduleLife is how long a schedule is good for answers.
	scheduleLife = 20 * time.Millisecond
	// busyWeight is what a running request of a busy model weighs for one more
	// replica: as much as a want of the second rank.
	busyWeight = 64
	// retryUnanswered is the pause after an order without an answer.
	retryUnanswered = 100 * time.Millisecond
	// settleFor is how long no engine must have been new before models are
	// brought near that nobody asks for: engines register within some
	// heartbeats of their start, and the model may be on one of them.
	settleFor = 1500 * time.Millisecond
	// copiesEvery is the pause between two looks for models without a near copy:
	// each goes over all copies, and a load takes seconds.
	copiesEvery = 250 * time.Millisecond
	// lateOrderLife is how long after it was sent an order without an answer may
	// still be carried out.
	lateOrderLife = 15 * time.Second
	// loadOverdue is how long after its expected end a load that no report
	// confirms is given up on.
	loadOverdue = 4 * time.Second
)

// Package residency plans which models and adapters are loaded at each engine of a service:
// where to load, from which copy, and what to unload to make room. The planner is a state
// machine without I/O, run by the daemon that holds the service's lease: callers pass
// events and the time, and carry out the orders and probes it returns. A copy of a model
// lies at one of three distances: loaded, in an engine's host memory or on its disk, or in
// the weight store.
package residency

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// Order asks one engine to load or unload one model or adapter.
type Order struct {
	Endpoint fleet.Incarnation
	Address  string
	Unload   bool
	Model    string
	Adapter  string // empty for an order on the model itself
	// Level is the location of the copy that a load reads.
	Level Level
	// Expect is the number of orders that the engine must have accepted before this one. An
	// engine with any other count refuses the order, so that an order which arrives late
	// has no effect.
	Expect uint64
	Holder string // host that sends the order
	Fence  uint64 // increases with each new lease holder
	// serial tells orders with the same content apart: an answer to one of them says nothing
	// about the others.
	serial uint64
}

// Outcome is the result of sending an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted: the engine carries out the order.
	Accepted Outcome = iota
	// AlreadyDone: the engine is already in the requested state.
	AlreadyDone
	// Busy: another order is in progress, or the engine has accepted orders that this
	// planner does not know of.
	Busy
	// Refused: the engine will never carry out the order.
	Refused
	// Unanswered: the engine may carry out the order, now or later.
	Unanswered
	// Unsent: the order has not left this daemon.
	Unsent
)

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"accepted", "holds", "busy", "refused", "unanswered", "unsent"}[o]
}

// Report is the state of an engine as the engine itself describes it, some hundred
// milliseconds old.
type Report struct {
	Endpoint        fleet.Incarnation
	Sequence        uint64 // number of accepted orders
	Busy            bool   // an order is in progress
	Models          []fleet.LoadedModel
	LoadingAdapters []AdapterRef // adapters that are being loaded
	InMemory        []string
	OnDisk          []string
}

// AdapterRef identifies an adapter of a model.
type AdapterRef struct{ Model, Adapter string }

// Level is the location of the nearest copy of a model, as seen from an engine.
type Level int

// Levels, nearest first.
const (
	Resident Level = iota // loaded
	Memory
	Disk
	Store
)

// String returns the name of the level as it appears in logs.
func (l Level) String() string { return [...]string{"resident", "memory", "disk", "store"}[l] }

// Want describes a request that needs a model or an adapter.
type Want struct {
	Model   string
	Adapter string
	Rank    int // rank of the request; 0 is the most urgent
	// Daemon is the daemon that serves the request, under the name that it uses in its
	// demand reports.
	Daemon string
	// Avoid is an endpoint that has just failed this request. It is returned again only if
	// no other endpoint holds the model, and then after a pause.
	Avoid fleet.Incarnation
	// Unreachable reports that no connection to Avoid could be opened.
	Unreachable bool
	// MissingAt is an endpoint that has just answered that it does not hold the model or
	// adapter.
	MissingAt fleet.Incarnation
	// Full lists endpoints that hold the model but have no capacity left now under the rate
	// limits that they report.
	Full []fleet.Incarnation
	// TimeLeft is the time until the caller gives up; zero if it is not known.
	TimeLeft time.Duration
	// Slack is the time until the request must start to meet its objective; negative if it
	// cannot meet it any more. It is not known if TimeLeft is zero.
	Slack time.Duration
	// Work is the size of the request; zero if it is not known. PromptTime is the time in which an
	// average engine processes the whole prompt; zero if it is not known.
	Work       workcost.Work
	PromptTime time.Duration
	// Parts are the leading parts of the prompt; empty if they are not known.
	Parts []protocol.PromptPart
	// FailureDomain is the failure domain of the asking daemon.
	FailureDomain string
	// Returning reports that the caller was refused before and has returned.
	Returning bool
	// Only limits the engines at which the request can run.
	Only SoftwareFilter
}

// SoftwareFilter limits engines to one version of their software. The zero value accepts all.
type SoftwareFilter struct {
	Bound    bool
	Software string
}

func (f SoftwareFilter) accepts(e *engineState) bool {
	return !f.Bound || e.endpoint.Software == f.Software
}

// Place identifies a model, or an adapter as MODEL/ADAPTER, at an endpoint.
type Place struct {
	Endpoint fleet.Incarnation
	Model    string
}

// Demand is the load of one daemon as that daemon reports it.
type Demand struct {
	Active  map[string]int // running and waiting requests, by model
	Running map[Place]int  // requests sent to an endpoint that have not ended
	// FirstEvents counts how quickly endpoints began to answer since the daemon's previous
	// report. Requests for an adapter count for its model.
	FirstEvents map[Place]FirstEvents
	// Work is the work of the daemon's running requests, by engine. Engines without an entry
	// have none that is known.
	Work map[fleet.Incarnation]EngineWork
	// Samples are the durations that the daemon has measured since its previous report.
	Samples []workcost.Sample
}

// EngineWork is the work of running requests at an engine.
type EngineWork struct {
	PendingPrompt int // prompt tokens of the requests that have no first event yet
	Held          int // prompt and output tokens of all requests
}

// FirstEvents counts the first events of answers.
type FirstEvents struct {
	Count int
	Slow  int // those close to the latency objective or beyond it
	Rank  int // of the most urgent of these requests; 0 is the most urgent
}

// Answer states where a model is or will be available.
type Answer struct {
	Endpoint fleet.Incarnation
	// ReadyIn is the time until the endpoint can start a request; zero if it can start one
	// now.
	ReadyIn time.Duration
	// Level is the location of the copy that is used.
	Level Level
	// StartsIn estimates how long a request sent to the endpoint now waits for a free slot.
	StartsIn time.Duration
	// Refused is the reason if the model cannot be provided, otherwise empty. ReadyIn is
	// then the time until a retry is worthwhile, except without a coordinator: the caller
	// estimates that time itself.
	Refused string
}

// Reasons for which an Answer is refused.
const (
	RefusedNoCoordinator = "no-coordinator"
	RefusedNoModel       = "unknown-model"
	RefusedNoRoom        = "no-room"
	RefusedNoEngines     = "no-engines"
)

// Options configure a Planner.
type Options struct {
	Holder string // name of this host
	// InitialStoreConcurrency is the assumed number of loads that the weight store serves
	// at full speed, until observed loads correct it.
	InitialStoreConcurrency int
	// RateWindow and RateFactor limit how many loads from the store may start within a
	// window, in addition to Engine.LoadsPerSecond.
	RateWindow time.Duration
	RateFactor float64
}

// Config describes the service to plan for.
type Config struct {
	Service string
	Engine  *routing.Engine
}

// Ready lists the actions that the driver has to carry out now.
type Ready struct {
	Orders []Order
	Probes []fleet.Incarnation // endpoints to request a report from
}

const (
	// replicaShare is the share of an engine's slots that the running requests of one
	// replica should occupy: each additional request slows the others down, and the
	// engine's other models need slots too.
	replicaShare = 0.625
	// secondReplicaFrom is the number of running requests from which a model gets a second
	// replica, so that no load is needed when one engine fails.
	secondReplicaFrom = 8
	// idleMargin is added to the interval at which daemons report running requests before a
	// model that was returned in an answer counts as idle. It covers the transmission of
	// the request to the endpoint and of the report to the coordinator.
	idleMargin = 160 * time.Millisecond
	// keepForWaiting is how long a model stays loaded after it is ready for a waiting
	// request.
	keepForWaiting = 400 * time.Millisecond
	// keepForReturning is the same for a caller that was refused with a retry delay.
	// Callers that would have to wait longer than returnThreshold are refused.
	keepForReturning = 1200 * time.Millisecond
	returnThreshold  = 1500 * time.Millisecond
	// demandTTL is how long a daemon's demand report is valid.
	demandTTL = 3 * time.Second
	// adapterLoad estimates the load time of an adapter. The desired state does not declare
	// it; engines take between a few and some tens of milliseconds.
	adapterLoad = 20 * time.Millisecond
	// orderMargin is added to the declared time of a load before the model counts as ready.
	orderMargin = 30 * time.Millisecond
	// reportLag is the maximum age of an engine's report.
	reportLag = 250 * time.Millisecond
	// maxMissedReports is the number of consecutive missing reports after which an engine
	// counts as down.
	maxMissedReports = 2
	// briefSilence is how long an engine that does not answer is expected back: a sound one may say
	// nothing for a second or so.
	briefSilence = 2 * time.Second
	// maxProbeDelay and maxProbeDoublings limit the growing delay between probes that are
	// not answered after briefSilence.
	maxProbeDelay     = 2 * time.Second
	maxProbeDoublings = 3
	// activeCost is the cost, for each model in use at an engine, of a load from the store
	// there: the engine takes no adapters for these models while it loads.
	activeCost = 400 * time.Millisecond
	// avoidedCost keeps a request away from the endpoint that has just failed it, unless no
	// other endpoint holds the model. In that case the request waits for avoidedPause, in
	// which a full engine completes some requests.
	avoidedCost  = time.Hour
	avoidedPause = 250 * time.Millisecond
	// busyRetryDelay is the delay after an order that found the engine busy.
	busyRetryDelay = 80 * time.Millisecond
	// valueHalfLife is the half-life of the weight of past requests for a model. It spans
	// several loads from the store.
	valueHalfLife = 8 * time.Second
	// rankWeight is the ratio between the weights of a request and of one of the next lower
	// rank.
	rankWeight = 8
	// returningWeight is the weight of a request whose caller was refused before, relative
	// to another one of its rank. It is below rankWeight, so that such a request does not
	// come before more urgent ones.
	returningWeight = 3
	// ranks is the number of ranks with different weights.
	ranks = 4
	// maxBusyMultiple limits the delay after consecutive orders that found the engine busy,
	// as a multiple of busyRetryDelay.
	maxBusyMultiple = 4
	// maxBusyEstimate limits the estimate of how long an engine that refuses orders stays
	// busy, as a multiple of busyRetryDelay.
	maxBusyEstimate = 12
	// wantTTL is how long a model remains wanted after the last request for it. Callers
	// that were refused retry within this time.
	wantTTL = 9 * time.Second
	// maxScheduled limits the number of models in a schedule.
	maxScheduled = 64
	// scheduleTTL is how long a schedule may be used to answer requests.
	scheduleTTL = 20 * time.Millisecond
	// busyWeight is the weight that each running request of a busy model adds to the value
	// of one more replica. It equals the weight of a request of the second rank.
	busyWeight = 64
	// unansweredRetryDelay is the delay after an order that was not answered.
	unansweredRetryDelay = 100 * time.Millisecond
	// settleTime is how long no new engine must have appeared before copies of models
	// without requests are fetched from the store. Engines register within some heartbeats
	// of their start, and a new one may hold a copy of the model.
	settleTime = 1500 * time.Millisecond
	// copyInterval is the interval between two searches for models without a nearby copy. A
	// search goes over all copies, and a load takes seconds.
	copyInterval = 250 * time.Millisecond
	// lateOrderTTL is how long after it was sent an unanswered order may still be carried
	// out.
	lateOrderTTL = 15 * time.Second
	// loadTimeout is how long after its expected end a load is given up if no report
	// confirms it.
	loadTimeout = 4 * time.Second
)

// Package placement decides which units (models and adapters) are loaded on
// which endpoints of one placement group. It is a state machine without I/O.
//
// Every change takes four steps: decide, record, order, observe. A replica and
// its memory count from the moment the replica is recorded until the endpoint
// has confirmed its removal.
package placement

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Phase is the desired state of an assignment.
type Phase string

// The phases of an assignment.
const (
	// Loaded means that the unit is to be loaded and kept.
	Loaded Phase = "loaded"
	// Unloading means that the unit is to be removed. It counts until then.
	Unloading Phase = "unloading"
)

// Assignment is one replica of a unit on an endpoint.
type Assignment struct {
	Unit      string `json:"unit"`
	Version   string `json:"version"`
	Base      string `json:"base,omitempty"`
	Endpoint  string `json:"endpoint"`
	MemoryMiB int64  `json:"memory_mib"`
	Phase     Phase  `json:"phase"`
	Seq       uint64 `json:"seq"`   // unique in the group
	Fence     uint64 `json:"fence"` // lease fence under which it was last recorded
}

// FormerHolder is a daemon that lost the lease and whose orders may still arrive.
type FormerHolder struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Object is the recorded state of a group.
type Object struct {
	Holder      string         `json:"holder"`
	Fence       uint64         `json:"fence"` // lease fence under which it was written
	WriteID     string         `json:"write_id"`
	NextSeq     uint64         `json:"next_seq"`
	Assignments []Assignment   `json:"assignments"`
	Former      []FormerHolder `json:"former,omitempty"`

	byUnit map[string][]int // indexes into Assignments; nil: not built yet
	byBase map[string][]int // indexes of adapters, by base model
}

func (o *Object) clone() *Object {
	c := *o
	c.Assignments = slices.Clone(o.Assignments)
	c.Former = slices.Clone(o.Former)
	c.byUnit, c.byBase = nil, nil
	return &c
}

// index builds byUnit and byBase if needed, so that a decision takes time
// linear rather than quadratic in the number of assignments.
func (o *Object) index() {
	if o.byUnit != nil {
		return
	}
	o.byUnit, o.byBase = make(map[string][]int, len(o.Assignments)), map[string][]int{}
	for i := range o.Assignments {
		o.addToIndex(i)
	}
}

func (o *Object) addToIndex(i int) {
	a := &o.Assignments[i]
	o.byUnit[a.Unit] = append(o.byUnit[a.Unit], i)
	if a.Base != "" {
		o.byBase[a.Base] = append(o.byBase[a.Base], i)
	}
}

// remove deletes the assignments for which drop returns true, and reports
// whether there were any.
func (o *Object) remove(drop func(Assignment) bool) bool {
	before := len(o.Assignments)
	o.Assignments = slices.DeleteFunc(o.Assignments, drop)
	o.byUnit, o.byBase = nil, nil
	return len(o.Assignments) != before
}

// unitIndexes returns the indexes of a unit's assignments.
func (o *Object) unitIndexes(unit string) []int {
	o.index()
	return o.byUnit[unit]
}

// adapters returns the indexes of the assignments of adapters on a model.
func (o *Object) adapters(model string) []int {
	o.index()
	return o.byBase[model]
}

// replicas counts a unit's assignments in any phase.
func (o *Object) replicas(unit string) int {
	return len(o.unitIndexes(unit))
}

func (o *Object) find(unit, endpoint string) *Assignment {
	for _, i := range o.unitIndexes(unit) {
		if a := &o.Assignments[i]; a.Endpoint == endpoint {
			return a
		}
	}
	return nil
}

func (o *Object) add(u bundle.Unit, endpoint string, phase Phase) {
	o.NextSeq++
	o.Assignments = append(o.Assignments, Assignment{
		Unit: u.Name, Version: u.Version, Base: u.Base, Endpoint: endpoint, MemoryMiB: u.MemoryMiB,
		Phase: phase, Seq: o.NextSeq, Fence: o.Fence,
	})
	if o.byUnit != nil {
		o.addToIndex(len(o.Assignments) - 1)
	}
}

// Config is the group's part of a bundle.
type Config struct {
	Generation     uint64
	Service        bundle.Service
	Units          map[string]bundle.Unit // of this service, by name
	LoadsAtOnce    int                    // this group's share of the weight store's budget
	LoadsPerSecond float64                // likewise
}

// NewConfig returns a group's part of a bundle. The weight store's budget is
// divided equally among all managed groups, with at least one load at once each.
func NewConfig(generation uint64, b *bundle.Bundle, service string) Config {
	c := Config{Generation: generation, Units: map[string]bundle.Unit{}}
	if s := b.Service(service); s != nil {
		c.Service = *s
	}
	for _, u := range b.Units() {
		if u.Service == service {
			c.Units[u.Name] = u
		}
	}
	groups := 0
	for _, s := range b.Services {
		if s.Kind == bundle.KindEngine && s.Mode == bundle.ModeManaged {
			groups++
		}
	}
	groups = max(groups, 1)
	c.LoadsAtOnce = max(1, b.Policy.LoadsAtOnce/groups)
	c.LoadsPerSecond = b.Policy.LoadsPerSecond / float64(groups)
	return c
}

// Demand is the demand of all daemons together for a unit.
type Demand struct {
	Waiting     int   // requests in queues
	Unavailable int   // requests recently refused because all replicas had reported that they take none
	Worth       int64 // the highest of the waiting and refused requests
	InFlight    int
	Arrivals    int // since the last DemandChanged
}

// Cost is the cost of a replica.
type Cost struct {
	Load  time.Duration // time to load it again
	Share float64       // share of the endpoint's accelerator memory that it holds
}

// Policy decides how long an unused replica is kept and which units are loaded
// before they are requested.
type Policy interface {
	Arrived(unit string, n int, now time.Time)
	IdleFor(unit string, cost Cost, now time.Time) time.Duration
	Prewarm(now time.Time) []string
}

// Event is an input of the machine.
type Event interface{ placementEvent() }

// Tick only advances the time.
type Tick struct{}

// ConfigChanged reports a new generation of the configuration.
type ConfigChanged struct{ Config Config }

// LeaseChanged reports the state of the group's lease.
type LeaseChanged struct {
	Held  bool
	Fence uint64
	// TakeoverAt is when this daemon expects to hold the lease; zero if unknown.
	TakeoverAt time.Time
}

// ReadDone reports the result of reading the object.
type ReadDone struct {
	Err     bool
	Found   bool
	Object  Object
	Version storeversion.Version
}

// WriteDone reports the outcome of the last write that Ready returned.
type WriteDone struct {
	Outcome protocol.WriteOutcome
	Version storeversion.Version
}

// OrderDone reports the outcome of an order.
type OrderDone struct {
	Order protocol.Order
	Sent  bool // false: it was certainly not sent
	OK    bool
}

// Observed reports the state that an endpoint returned. Fence is the lease fence
// under which the endpoint was claimed before the state was requested; 0 if none.
type Observed struct {
	State       protocol.EngineState
	Fence       uint64
	RequestedAt time.Time // when the state was requested
}

// EndpointDown reports that an endpoint does not answer.
type EndpointDown struct{ Endpoint string }

// HostLeaving reports whether the host list marks an endpoint as leaving.
type HostLeaving struct {
	Endpoint string
	Leaving  bool
}

// DemandChanged sets the demand for all units. Units that it does not list have
// none.
type DemandChanged struct{ Units map[string]Demand }

// FormerQuiescent reports that no order of a former holder can still arrive: the
// holder has reported so, or it has been removed for good.
type FormerQuiescent struct{ Fence uint64 }

func (Tick) placementEvent()            {}
func (ConfigChanged) placementEvent()   {}
func (LeaseChanged) placementEvent()    {}
func (ReadDone) placementEvent()        {}
func (WriteDone) placementEvent()       {}
func (OrderDone) placementEvent()       {}
func (Observed) placementEvent()        {}
func (EndpointDown) placementEvent()    {}
func (HostLeaving) placementEvent()     {}
func (DemandChanged) placementEvent()   {}
func (FormerQuiescent) placementEvent() {}

// Write is a conditional update of the object.
type Write struct {
	Object          Object
	ExpectedVersion storeversion.Version
}

// Ready lists the actions that the caller has to carry out now.
type Ready struct {
	Read   bool
	Write  *Write
	Orders []protocol.Order
}

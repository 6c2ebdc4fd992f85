// Package placement decides which units (models and adapters) are loaded on
// which endpoints of one placement group. It is a state machine without I/O.
//
// The order of every change is: decide, record, order, observe. A replica
// counts, and its memory is taken, from the moment it is recorded until the
// endpoint has confirmed that it is gone.
package placement

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Phase is what the record wants of an assignment.
type Phase string

// The phases of an assignment.
const (
	// Loaded wants the unit loaded.
	Loaded Phase = "loaded"
	// Unloading wants it gone; it still counts.
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
	Fence     uint64 `json:"fence"` // lease fence under which it was recorded last
}

// FormerHolder is a daemon that lost the lease and may have orders out.
type FormerHolder struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Object is the recorded state of a group.
type Object struct {
	Holder      string         `json:"holder"`
	Fence       uint64         `json:"fence"` // of the daemon that wrote it
	WriteID     string         `json:"write_id"`
	NextSeq     uint64         `json:"next_seq"`
	Assignments []Assignment   `json:"assignments"`
	Former      []FormerHolder `json:"former,omitempty"`

	byUnit map[string][]int // places in Assignments; nil: to be built
	byBase map[string][]int // of adapters, by the model they stand on
}

func (o *Object) clone() *Object {
	c := *o
	c.Assignments = slices.Clone(o.Assignments)
	c.Former = slices.Clone(o.Former)
	c.byUnit, c.byBase = nil, nil
	return &c
}

// index builds the lookup by unit, so that a decision's time grows with the
// assignments and not with their square.
func (o *Object) index() {
	if o.byUnit != nil {
		return
	}
	o.byUnit, o.byBase = make(map[string][]int, len(o.Assignments)), map[string][]int{}
	for i := range o.Assignments {
		o.enter(i)
	}
}

func (o *Object) enter(i int) {
	a := &o.Assignments[i]
	o.byUnit[a.Unit] = append(o.byUnit[a.Unit], i)
	if a.Base != "" {
		o.byBase[a.Base] = append(o.byBase[a.Base], i)
	}
}

// remove drops assignments and reports whether there were any to drop.
func (o *Object) remove(drop func(Assignment) bool) bool {
	before := len(o.Assignments)
	o.Assignments = slices.DeleteFunc(o.Assignments, drop)
	o.byUnit, o.byBase = nil, nil
	return len(o.Assignments) != before
}

// of returns the places of a unit's assignments.
func (o *Object) of(unit string) []int {
	o.index()
	return o.byUnit[unit]
}

// adapters returns the places of the adapters on a model.
func (o *Object) adapters(model string) []int {
	o.index()
	return o.byBase[model]
}

// replicas counts the unit's assignments, whatever their phase.
func (o *Object) replicas(unit string) int {
	return len(o.of(unit))
}

func (o *Object) find(unit, endpoint string) *Assignment {
	for _, i := range o.of(unit) {
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
		o.enter(len(o.Assignments) - 1)
	}
}

// Config is what the bundle says about the group.
type Config struct {
	Generation     uint64
	Service        bundle.Service
	Units          map[string]bundle.Unit // of this service, by name
	LoadsAtOnce    int                    // this group's part of the weight store's budget
	LoadsPerSecond float64
}

// NewConfig takes a group's part out of a bundle.
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

// Demand is what all daemons together ask of a unit.
type Demand struct {
	Waiting     int   // requests in queues
	Unavailable int   // requests refused lately since all replicas take none now, by their own word
	Worth       int64 // of the worthiest of both
	InFlight    int
	Arrivals    int // since the last Demand
}

// Cost is what a replica costs.
type Cost struct {
	Load  time.Duration // time to load it again
	Share float64       // part of an accelerator's memory that it holds
}

// Policy decides how long an unused replica is worth keeping and what to
// load before it is asked for.
type Policy interface {
	Arrived(unit string, n int, now time.Time)
	IdleFor(unit string, cost Cost, now time.Time) time.Duration
	Prewarm(now time.Time) []string
}

// Event is an input of the machine.
type Event interface{ placementEvent() }

// Tick passes time on.
type Tick struct{}

// ConfigChanged brings a new generation into force.
type ConfigChanged struct{ Config Config }

// LeaseChanged reports the group's lease.
type LeaseChanged struct {
	Held  bool
	Fence uint64
	// TakeoverAt is when this daemon expects to hold it; zero if unknown.
	TakeoverAt time.Time
}

// ReadDone reports a read of the object.
type ReadDone struct {
	Err     bool
	Found   bool
	Object  Object
	Version storeversion.Version
}

// WriteDone reports the write that Ready asked for last.
type WriteDone struct {
	Outcome protocol.WriteOutcome
	Version storeversion.Version
}

// OrderDone reports how an order ended.
type OrderDone struct {
	Order protocol.Order
	Sent  bool // false: it was certainly never sent
	OK    bool
}

// Observed reports an endpoint's own state. Fence is the lease fence under
// which the endpoint was claimed before the state was asked for; 0 if none.
type Observed struct {
	State       protocol.EngineState
	Fence       uint64
	RequestedAt time.Time // when the state was asked for
}

// EndpointDown reports that an endpoint does not answer.
type EndpointDown struct{ Endpoint string }

// HostLeaving reports the host list's word on an endpoint.
type HostLeaving struct {
	Endpoint string
	Leaving  bool
}

// DemandChanged sets the demand of all units; absent units have none.
type DemandChanged struct{ Units map[string]Demand }

// FormerQuiescent reports that a former holder has no orders out any more:
// it said so itself, or it is gone for good.
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

// Ready is what the caller has to do now.
type Ready struct {
	Read   bool
	Write  *Write
	Orders []protocol.Order
}

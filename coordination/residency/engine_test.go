package residency

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// simEngine simulates an engine of the platform in virtual time.
type simEngine struct {
	conf     *routing.Engine
	endpoint *fleet.Endpoint
	sequence uint64
	models   map[string][]string // loaded, with adapters
	onDisk   map[string]bool
	busy     bool
	// unloadTime is the duration of an unload if no request of the model runs; zero means
	// 10 ms.
	unloadTime time.Duration
	// fromStore reports whether the order in progress is a load from the store.
	fromStore bool
	doneAt    time.Time
	during    Order
	runsEnd   time.Time // unloads are not complete before
	// runsUntil returns when the running requests of a model end, which its unload waits
	// for; nil means that none run.
	runsUntil func(model string) time.Time
	// loading holds the adapters that are being loaded, and unloading those that requests
	// still use after their unload, with the time at which the load or unload is complete.
	loading, unloading map[AdapterRef]time.Time
	// adapterTime is the load time of an adapter.
	adapterTime time.Duration
	// overloaded is set when the engine received an order beyond its memory or adapter
	// slots, which crashes a real engine.
	overloaded bool
	history    []simState // for delayed reports
}

// initialBorn is the start time of engines that have not been restarted; it lies far in the
// past.
var initialBorn = start.Add(-time.Hour).UnixMilli()

// incarnation returns an incarnation of an engine whose start time is unknown.
func incarnation(id string) fleet.Incarnation { return fleet.Incarnation{ID: id} }

type simState struct {
	at     time.Time
	report Report
}

func newSimEngine(conf *routing.Engine, id string, models ...string) *simEngine {
	e := &simEngine{conf: conf, models: map[string][]string{}, loading: map[AdapterRef]time.Time{}, unloading: map[AdapterRef]time.Time{}, onDisk: map[string]bool{}, endpoint: &fleet.Endpoint{ID: id, StartUnixMs: initialBorn, Service: "s", Address: id, Version: storeversion.Version{Revision: 1}}}
	for _, m := range models {
		e.models[m] = nil
		e.onDisk[m] = true
	}
	e.publish()
	return e
}

// publish writes the engine's entry in the store.
func (e *simEngine) publish() {
	next := *e.endpoint
	next.Version.Revision++
	next.Models, next.OnDisk = e.loaded(), keys(e.onDisk)
	e.endpoint = &next
}

func (e *simEngine) loaded() []fleet.LoadedModel {
	var list []fleet.LoadedModel
	for _, m := range sortedKeys(e.models) {
		list = append(list, fleet.LoadedModel{Model: m, Adapters: slices.Clone(e.models[m])})
	}
	return list
}

func (e *simEngine) memory() float64 {
	sum := 0.0
	for m, adapters := range e.models {
		sum += e.conf.Models[m].SizeMB + float64(len(adapters))*e.conf.Models[m].AdapterMB
	}
	return sum
}

// restart starts a new incarnation of the engine under the same id: it keeps only its disk,
// and counts orders from zero.
func (e *simEngine) restart(now time.Time) {
	next := newSimEngine(e.conf, e.endpoint.ID)
	next.onDisk, next.adapterTime = e.onDisk, e.adapterTime
	next.endpoint.StartUnixMs, next.endpoint.Version = now.UnixMilli(), e.endpoint.Version
	next.publish()
	next.overloaded = e.overloaded
	*e = *next
	e.advance(now)
}

// advance completes the order in progress.
func (e *simEngine) advance(now time.Time) {
	if e.busy && !now.Before(e.doneAt) {
		e.busy, e.fromStore = false, false
		if e.during.Unload {
			delete(e.models, e.during.Model)
			for ref := range e.loading {
				if ref.Model == e.during.Model {
					delete(e.loading, ref)
				}
			}
		} else {
			e.models[e.during.Model] = nil
			e.onDisk[e.during.Model] = true
		}
	}
	for ref, at := range e.loading {
		if !now.Before(at) {
			delete(e.loading, ref)
			if _, ok := e.models[ref.Model]; ok {
				e.models[ref.Model] = append(e.models[ref.Model], ref.Adapter)
			}
		}
	}
	for ref, at := range e.unloading {
		if !now.Before(at) {
			delete(e.unloading, ref)
			e.models[ref.Model] = slices.DeleteFunc(e.models[ref.Model], func(a string) bool { return a == ref.Adapter })
		}
	}
	var loading []AdapterRef
	for ref := range e.loading {
		loading = append(loading, ref)
	}
	e.history = append(e.history, simState{now, Report{
		LoadingAdapters: loading,
		Endpoint:        e.endpoint.Incarnation(), Sequence: e.sequence, Busy: e.busy, Models: e.loaded(), OnDisk: keys(e.onDisk),
	}})
}

// report returns the engine's state as of lag before now.
func (e *simEngine) report(now time.Time, lag time.Duration) Report {
	r := e.history[0].report
	for _, s := range e.history {
		if s.at.After(now.Add(-lag)) {
			break
		}
		r = s.report
	}
	return r
}

// order executes an order if the engine accepts it.
func (e *simEngine) order(now time.Time, o Order) Outcome {
	_, holds := e.models[o.Model]
	switch {
	case e.busy || o.Expect != e.sequence:
		return Busy
	case o.Adapter != "":
		return e.adapterOrder(now, o, holds)
	case o.Unload != holds:
		return AlreadyDone
	}
	e.sequence++
	e.busy, e.during = true, o
	if o.Unload {
		e.doneAt = maxTime(now.Add(max(e.unloadTime, 10*time.Millisecond)), e.runsEnd)
		if e.runsUntil != nil {
			e.doneAt = maxTime(e.doneAt, e.runsUntil(o.Model))
		}
		return Accepted
	}
	if e.memory()+e.conf.Models[o.Model].SizeMB > e.conf.MemoryMB {
		e.overloaded = true
	}
	duration := e.conf.Models[o.Model].LoadFromStore
	e.fromStore = !e.onDisk[o.Model]
	if e.onDisk[o.Model] {
		duration = e.conf.Models[o.Model].LoadFromDisk
	}
	e.doneAt = now.Add(duration)
	return Accepted
}

func (e *simEngine) adapterOrder(now time.Time, o Order, holds bool) Outcome {
	if !holds {
		return Refused
	}
	ref := AdapterRef{o.Model, o.Adapter}
	has := slices.Contains(e.models[o.Model], o.Adapter) || !e.loading[ref].IsZero()
	if o.Unload != has {
		return AlreadyDone
	}
	e.sequence++
	if o.Unload && now.Before(e.runsEnd) {
		e.unloading[ref] = e.runsEnd
		return Accepted
	}
	if o.Unload {
		delete(e.loading, ref)
		e.models[o.Model] = slices.DeleteFunc(e.models[o.Model], func(a string) bool { return a == o.Adapter })
		return AlreadyDone
	}
	e.loading[ref] = now.Add(e.adapterTime)
	total := len(e.loading)
	for _, adapters := range e.models {
		total += len(adapters)
	}
	if total > e.conf.AdapterSlots || e.memory() > e.conf.MemoryMB {
		e.overloaded = true
	}
	return Accepted
}

func keys(m map[string]bool) []string { return sortedKeys(m) }

func sortedKeys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

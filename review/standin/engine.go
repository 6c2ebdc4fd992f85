package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	engineMemoryMB = 230000
	modelMB        = 72700
	adapterMB      = 66
	adapterSlots   = 8
	diskLoad       = 840 * time.Millisecond
	lateLeast      = 2 * time.Second // an order without an answer is carried out 2 to 12 s later
)

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int   `json:"expect"`
	Holder    string `json:"holder"`
	Fence     int    `json:"fence"`
}

// engine is what a worker holds, by the orders that it has carried out.
type engine struct {
	mu       sync.Mutex
	adapters map[string][]string // by loaded model
	onDisk   []string
	sequence int
	busy     bool
	// unanswered reports whether an order gets no answer and is carried out later, when the returned
	// channel is closed; nil: it is answered.
	unanswered func(o order) <-chan struct{}
	note       func(format string, args ...any)
	onChange   func() // called without the mutex after the content has changed
	// overloaded is set when an order was to load more than there is room for.
	overloaded bool
	crashed    chan struct{} // closed when the worker crashes
	orders     int
}

func (e *engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []map[string]any{}
	for m, adapters := range e.adapters {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": slices.Clone(adapters)})
	}
	return list
}

// empty drops all that the engine holds, as a restart does.
func (e *engine) empty() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adapters, e.sequence, e.busy = map[string][]string{}, 0, false
}

func (e *engine) holds(model, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.adapters[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

func (e *engine) report(rw http.ResponseWriter) {
	models := e.models()
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": models, "busy": e.busy, "sequence": e.sequence, "waiting_requests": 0, "running_requests": 0,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk},
	})
}

// order answers an order and carries it out, or leaves it unanswered and carries it out late.
func (e *engine) order(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.orders++
	e.mu.Unlock()
	if late := e.unanswered(o); late != nil {
		e.note("order %s gets no answer", o)
		go func() {
			<-late
			e.note("order %s, without an answer, is carried out late: status %d", o, e.carryOut(o))
		}()
		<-r.Context().Done() // the caller gives up
		return
	}
	status := e.carryOut(o)
	e.note("order %s: status %d", o, status)
	rw.WriteHeader(status)
}

// String describes the order.
func (o order) String() string {
	expect := -1
	if o.Expect != nil {
		expect = *o.Expect
	}
	text, _ := json.Marshal(map[string]any{"operation": o.Operation, "model": o.Model, "adapter": o.Adapter, "expect": expect, "holder": o.Holder, "fence": o.Fence})
	return string(text)
}

// carryOut carries out an order by the rules of the protocol and returns the status of its answer.
func (e *engine) carryOut(o order) int {
	defer e.onChange()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || o.Expect != nil && *o.Expect != e.sequence {
		return http.StatusConflict
	}
	held, loaded := e.adapters[o.Model]
	switch {
	case o.Operation == "load" && o.Adapter == "" && !loaded:
		if (len(e.adapters)+1)*modelMB+e.countAdapters()*adapterMB > engineMemoryMB {
			return e.overload(o)
		}
		e.sequence++
		e.busy = true
		time.AfterFunc(diskLoad, func() { e.finishLoad(o.Model) })
		return http.StatusAccepted
	case o.Operation == "load" && o.Adapter != "" && !loaded:
		return http.StatusBadRequest
	case o.Operation == "load" && o.Adapter != "" && !slices.Contains(held, o.Adapter):
		if e.countAdapters() >= adapterSlots {
			return e.overload(o)
		}
		e.sequence++
		e.adapters[o.Model] = append(held, o.Adapter)
		return http.StatusAccepted
	case o.Operation == "unload" && o.Adapter == "" && loaded:
		e.sequence++
		delete(e.adapters, o.Model)
		return http.StatusAccepted
	case o.Operation == "unload" && o.Adapter != "" && slices.Contains(held, o.Adapter):
		e.sequence++
		e.adapters[o.Model] = slices.DeleteFunc(slices.Clone(held), func(a string) bool { return a == o.Adapter })
		return http.StatusOK // nothing uses the adapter
	}
	return http.StatusOK // the order already holds
}

func (e *engine) finishLoad(model string) {
	e.mu.Lock()
	e.busy = false
	e.adapters[model] = nil
	e.mu.Unlock()
	e.note("model %s is loaded", model)
	e.onChange()
}

func (e *engine) countAdapters() int {
	n := 0
	for _, list := range e.adapters {
		n += len(list)
	}
	return n
}

// overload records an order to load more than there is room for. The caller holds the mutex.
func (e *engine) overload(o order) int {
	if !e.overloaded {
		close(e.crashed)
	}
	e.overloaded = true
	go e.note("broken: order %s finds %d models and %d adapters loaded, of %d slots: the worker crashes", o, len(e.adapters), e.countAdapters(), adapterSlots)
	return http.StatusInternalServerError
}

func (e *engine) isOverloaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overloaded
}

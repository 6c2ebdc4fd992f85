// Package fleet holds a daemon's local view of the endpoints as an immutable
// value that requests read without locks.
package fleet

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/storeversion"
)

// LoadedModel is one model that an endpoint holds.
type LoadedModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Endpoint describes one process of a service, from its start to its end.
type Endpoint struct {
	ID            string // may be reused by the next incarnation
	StartUnixMs   int64  // see Incarnation
	Service       string
	Address       string
	FailureDomain string // failure domain
	Slots         int
	// Software is the version of the endpoint's program, empty if it reports none.
	Software string
	// Leaving endpoints get no new requests.
	Leaving bool
	// Missing endpoints have no entry in the platform's store. They are kept for a
	// grace period and get requests, since the entry may only have lapsed in an
	// outage of the store.
	Missing bool
	// Remaining is the announced time until a leaving endpoint stops; zero when
	// unknown.
	Remaining time.Duration
	Models    []LoadedModel
	InMemory  []string // models with a copy in host memory
	OnDisk    []string // models with a copy on the endpoint's disk
	// Version is the version of this description in the platform's store.
	Version storeversion.Version
}

// Incarnation returns the incarnation that the description belongs to.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartUnixMs: e.StartUnixMs}
}

// Has reports whether the endpoint holds the model and, unless empty, the
// adapter.
func (e *Endpoint) Has(model, adapter string) bool {
	for i := range e.Models {
		if e.Models[i].Model == model {
			return adapter == "" || slices.Contains(e.Models[i].Adapters, adapter)
		}
	}
	return false
}

// View is the endpoints as of one version of the store. It does not change.
type View struct {
	Version   storeversion.Version
	ByID      map[string]*Endpoint
	ByService map[string][]*Endpoint // sorted by id
}

// Find returns the endpoint of an incarnation, or nil if the view has no endpoint with
// its id or has another incarnation of it.
func (v *View) Find(i Incarnation) *Endpoint {
	if e := v.ByID[i.ID]; e != nil && e.Incarnation().Matches(i) {
		return e
	}
	return nil
}

// NewView indexes endpoints.
func NewView(version storeversion.Version, list []*Endpoint) *View {
	v := &View{Version: version, ByID: make(map[string]*Endpoint, len(list)), ByService: map[string][]*Endpoint{}}
	for _, e := range list {
		v.ByID[e.ID] = e
		v.ByService[e.Service] = append(v.ByService[e.Service], e)
	}
	for _, es := range v.ByService {
		slices.SortFunc(es, func(a, b *Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return v
}

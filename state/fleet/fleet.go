// Package fleet holds what a daemon believes of the endpoints at one moment,
// as an immutable view that requests read without locks.
package fleet

import (
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Loaded is one model that an endpoint holds.
type LoadedModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Endpoint is one process of a service, from one start to its end.
type Endpoint struct {
	ID            string // may be used again by the next start
	StartUnixMs   int64  // see Incarnation
	Service       string
	Address       string
	FailureDomain string // failure domain
	Slots         int
	// Software names the version of the endpoint's program, empty where it tells none.
	Software string
	// Leaving endpoints get no new requests.
	Leaving bool
	// Missing endpoints have no entry in the platform's store. They are kept for a
	// while, since the entry may only have lapsed in an outage, and get requests.
	Missing bool
	// Remaining is the time left until a leaving endpoint is gone, as it was
	// announced; zero when unknown.
	Remaining time.Duration
	Models    []LoadedModel
	InMemory  []string // models with a copy in host memory
	OnDisk    []string // models with a copy on the endpoint's disk
	// Version is that of this description in the platform's store.
	Version storeversion.Version
}

// Life returns the incarnation that the description is of.
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

// Of returns the endpoint of an incarnation, nil if the view has none of its id or
// of another life.
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

// Package routing holds the routes, services and models of one version of the
// desired state, as an immutable table that requests read without locks.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/state/workspace"
)

// Kind states how often a route's requests may run.
type Kind int

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may be repeated.
	Safe
	// Streaming answers are a series of events; unless the route is resumable
	// they run at most once.
	Streaming
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming"}[k]
}

// Share is one service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route states where requests for one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the maximum time that a caller waits for the end of an answer.
	Timeout time.Duration
	// LatencyTarget is the latency objective: to the first event of a stream, to
	// the whole answer otherwise.
	LatencyTarget time.Duration
	// MaxWait is how long a caller waits for the first event of a stream before
	// it gives up.
	MaxWait time.Duration
	// GapTarget is the longest pause between two events of a stream.
	GapTarget   time.Duration
	Rank        int // 0 is served first
	MaxAttempts int // maximum number of endpoints that one request may run at
	// Public routes take requests without a key.
	Public    bool
	Sticky    bool
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request may run a second time, or be resumed at
// a second endpoint.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service picks the service for a request in proportion to the weights. The
// choice depends on the request's id only, so that every daemon makes the same one.
func (r *Route) Service(requestID string) string {
	if len(r.Shares) == 0 {
		return ""
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[0].Service
}

// Model is one model that a service's engines can load.
type Model struct {
	SizeMB float64 // of the weights
	// Adapter size in MB; it shares the engine's memory with the weights.
	AdapterMB float64
	// Load times by the location of the nearest copy.
	LoadFromStore, LoadFromDisk, LoadFromMemory time.Duration
}

// Engine describes the engines of a service.
type Engine struct {
	Slots          int     // maximum number of concurrent requests
	CacheTokens    int     // shared by running requests and the prefix cache
	MemoryMB       float64 // for weights and adapters
	AdapterSlots   int
	LoadsPerSecond float64 // accepted by the weight store from all engines together
	Models         map[string]Model
}

// Service is a group of equal endpoints.
type Service struct {
	Name            string
	ConnectionLimit int     // per endpoint, over all callers
	Engine          *Engine // nil for a plain service
	// LeastUrgentRank is the rank of the least urgent requests of its routes: its
	// endpoints admit all other requests before them.
	LeastUrgentRank int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the desired state. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	// Workspaces lists who may send requests; if it is empty, everybody may.
	Workspaces *workspace.Directory

	byHost        map[string][]*Route // longest prefix first
	longestStream time.Duration
	// longestRequest is the longest timeout of a request, by service.
	longestRequest map[string]time.Duration
}

// LongestRequest returns the longest timeout of a request to a service; zero if no route to it has a timeout.
func (t *Table) LongestRequest(service string) time.Duration { return t.longestRequest[service] }

// LongestStream returns the longest timeout of a stream; zero if there is no streaming route.
func (t *Table) LongestStream() time.Duration { return t.longestStream }

// NewTable indexes the routes.
func NewTable(version uint64, limits Limits, services []*Service, routes []*Route, workspaces *workspace.Directory) *Table {
	t := &Table{Version: version, Limits: limits, Workspaces: workspaces, Services: map[string]*Service{}, byHost: map[string][]*Route{}, longestRequest: map[string]time.Duration{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	urgency := urgencyOf(workspaces)
	for _, r := range routes {
		if r.Kind == Streaming {
			t.longestStream = max(t.longestStream, r.Timeout)
		}
		leastUrgent := urgency.least(r)
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		for _, share := range r.Shares {
			t.longestRequest[share.Service] = max(t.longestRequest[share.Service], r.Timeout)
			if s := t.Services[share.Service]; s != nil {
				s.LeastUrgentRank = max(s.LeastUrgentRank, leastUrgent)
			}
		}
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// urgency summarizes how urgent the requests of the workspaces are.
type urgency struct {
	keyRequired bool // requests belong to workspaces
	maxRank     int  // the least urgent of the ranks that workspaces define
	anyUnranked bool // some workspace defines no rank, and uses the rank of the route
}

// urgencyOf returns the urgency of a directory's workspaces.
func urgencyOf(d *workspace.Directory) urgency {
	u := urgency{keyRequired: d.RequiresKey()}
	for _, w := range d.List() {
		if w.HasRank {
			u.maxRank = max(u.maxRank, w.Rank)
		} else {
			u.anyUnranked = true
		}
	}
	return u
}

// least returns the rank of the least urgent requests of a route.
func (u urgency) least(r *Route) int {
	if !u.keyRequired {
		return r.Rank
	}
	if u.anyUnranked || r.Public {
		return max(u.maxRank, r.Rank)
	}
	return u.maxRank
}

// RankOf returns the rank of a workspace's requests on a route; a nil workspace stands for
// requests without one.
func (r *Route) RankOf(w *workspace.Workspace) int {
	if w != nil && w.HasRank {
		return w.Rank
	}
	return r.Rank
}

// Match returns the route with the longest prefix of path, or nil. host may
// carry a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

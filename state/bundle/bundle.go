// Package bundle holds the versioned declaration of services, models,
// adapters, callers and placement rules: its types, its strict parser and
// its checks. A bundle is immutable and named by the digest of its content.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Format is the only bundle format that this version reads.
const Format = 1

// Mode states who sends orders to a service's endpoints.
type Mode string

// The modes of a service, in the order in which an operator migrates it.
const (
	// ModeScripts leaves the service to the operator's scripts: its memory
	// counts as used, and no orders are sent.
	ModeScripts Mode = "scripts"
	// ModeWatched observes and routes, but sends no orders.
	ModeWatched Mode = "watched"
	// ModeManaged decides on placement and sends orders.
	ModeManaged Mode = "managed"
)

// Kind is the kind of a service.
type Kind string

// The kinds of service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Bundle is one accepted declaration.
type Bundle struct {
	Format         int      `json:"format"`
	FailureDomains []string `json:"failure_domains"`
	AddressTTL     Duration `json:"address_ttl"`
	DefaultClass   string   `json:"default_class,omitempty"`
	Classes        []Class  `json:"classes"`
	Callers        []Caller `json:"callers,omitempty"`
	// Workspaces are groups of callers with a quota for all daemons together.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Claims     Claims      `json:"claims"`
	Policy     Policy      `json:"policy"`
	Services   []Service   `json:"services"`
	Models     []Model     `json:"models"`
	Adapters   []Adapter   `json:"adapters,omitempty"`
}

// Class is a class of callers with the worth of their requests.
type Class struct {
	Name    string   `json:"name"`
	Worth   int64    `json:"worth"`   // higher is served first
	Timeout Duration `json:"timeout"` // deadline if the caller sets none
}

// Caller is one known caller, authenticated by a bearer token.
type Caller struct {
	Name        string `json:"name"`
	Class       string `json:"class"`
	TokenSHA256 string `json:"token_sha256"` // lower-case hex
}

// Workspace is a group of callers that send one of its keys as their bearer token. During the
// replacement of a key, both the old and the new key are listed.
type Workspace struct {
	Name       string   `json:"name"`
	Class      string   `json:"class"`
	KeysSHA256 []string `json:"keys_sha256"` // lower-case hex
	Quota      *Quota   `json:"quota,omitempty"`
}

// Quota bounds the requests of a workspace at all daemons together.
type Quota struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"` // requests that may arrive at once after a pause
}

// Claims configures how the keys of requests that must not be repeated are kept.
type Claims struct {
	Shards    int      `json:"shards"`
	Retention Duration `json:"retention"`
}

// Policy weighs cold starts against idle accelerators.
type Policy struct {
	// ColdStartWeight is the cost of one second that a request waits for a
	// load, relative to IdleWeight.
	ColdStartWeight float64 `json:"cold_start_weight"`
	// IdleWeight is the cost of one idle accelerator second.
	IdleWeight float64 `json:"idle_weight"`
	// MinIdle and MaxIdle bound the time an unused replica is kept.
	MinIdle Duration `json:"min_idle"`
	MaxIdle Duration `json:"max_idle"`
	// LoadsAtOnce and LoadsPerSecond bound the loads from the weight store.
	LoadsAtOnce    int     `json:"loads_at_once"`
	LoadsPerSecond float64 `json:"loads_per_second"`
}

// Service is a set of endpoints of one kind. It is also a placement group.
type Service struct {
	Name      string     `json:"name"`
	Kind      Kind       `json:"kind"`
	Mode      Mode       `json:"mode"`
	Endpoints []Endpoint `json:"endpoints"`
	// NonRepeatable lists the calls of a plain service that need an
	// Idempotency-Key and run at most once.
	NonRepeatable []Route `json:"non_repeatable,omitempty"`
}

// Route is a method and a path prefix under a service.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Endpoint is one endpoint of a service.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // IP:port
	FailureDomain string `json:"failure_domain"`
	MemoryMiB     int64  `json:"memory_mib,omitempty"`
	KVReserveMiB  int64  `json:"kv_reserve_mib,omitempty"`
	Slots         int    `json:"slots"` // maximum number of concurrent requests
	// ChecksFencing reports whether the engine refuses orders with an old
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Drain keeps new work off this endpoint.
	Drain bool `json:"drain,omitempty"`
}

// Model is a model that may be loaded on its service's endpoints.
type Model struct {
	Name        string   `json:"name"`
	Service     string   `json:"service"`
	Version     string   `json:"version"`
	MemoryMiB   int64    `json:"memory_mib"`
	Load        Duration `json:"load"` // expected time of a load from the weight store
	MaxReplicas int      `json:"max_replicas"`
	MinReplicas int      `json:"min_replicas,omitempty"`
	Worth       int64    `json:"worth,omitempty"` // added to the class's worth
	// FailureDomains restricts placement; empty means any.
	FailureDomains []string `json:"failure_domains,omitempty"`
}

// Adapter is an adapter on a base model.
type Adapter struct {
	Name        string   `json:"name"`
	Base        string   `json:"base"`
	Version     string   `json:"version"`
	MemoryMiB   int64    `json:"memory_mib"`
	Load        Duration `json:"load"`
	MaxReplicas int      `json:"max_replicas"`
	Worth       int64    `json:"worth,omitempty"`
}

// Digest returns the SHA-256 of content in hex.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Duration is a time.Duration written as "1.5s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Unit is a model, or an adapter on its base model: requests name one of them.
type Unit struct {
	Name           string
	Service        string
	Base           string // empty for a model
	Version        string
	MemoryMiB      int64
	Load           time.Duration
	MaxReplicas    int
	MinReplicas    int
	Worth          int64
	FailureDomains []string
}

// Units returns models and adapters as units, models first.
func (b *Bundle) Units() []Unit {
	units := make([]Unit, 0, len(b.Models)+len(b.Adapters))
	services := make(map[string]string, len(b.Models))
	for _, m := range b.Models {
		services[m.Name] = m.Service
		units = append(units, Unit{
			Name: m.Name, Service: m.Service, Version: m.Version, MemoryMiB: m.MemoryMiB, Load: m.Load.D(),
			MaxReplicas: m.MaxReplicas, MinReplicas: m.MinReplicas, Worth: m.Worth, FailureDomains: m.FailureDomains,
		})
	}
	for _, a := range b.Adapters {
		units = append(units, Unit{
			Name: a.Name, Service: services[a.Base], Base: a.Base, Version: a.Version, MemoryMiB: a.MemoryMiB,
			Load: a.Load.D(), MaxReplicas: a.MaxReplicas, Worth: a.Worth,
		})
	}
	return units
}

// Service returns the named service, or nil.
func (b *Bundle) Service(name string) *Service {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

// Class returns the named class, or nil.
func (b *Bundle) Class(name string) *Class {
	for i := range b.Classes {
		if b.Classes[i].Name == name {
			return &b.Classes[i]
		}
	}
	return nil
}

package protocol

import "time"

// OrderKind is the action that an order requests from an engine.
type OrderKind string

// The kinds of order.
const (
	// OrderClaim only raises the endpoint's fencing number.
	OrderClaim OrderKind = "claim"
	// OrderLoad loads a model or an adapter.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads a model or an adapter once its requests have ended.
	OrderUnload OrderKind = "unload"
)

// Order is an instruction to a model engine. Orders are idempotent: Seq
// identifies the replica slot that an order is for.
type Order struct {
	Kind       OrderKind `json:"kind"`
	Unit       string    `json:"unit,omitempty"` // model or adapter name
	Version    string    `json:"version,omitempty"`
	Base       string    `json:"base,omitempty"` // the adapter's model
	MemoryMiB  int64     `json:"memory_mib,omitempty"`
	Seq        uint64    `json:"seq,omitempty"`
	Fence      uint64    `json:"fence"`
	ExpiresAt  time.Time `json:"expires_at"` // the engine rejects the order afterwards
	EndpointID string    `json:"endpoint"`
}

// Tier is the kind of storage in which an endpoint keeps a checkpoint.
type Tier string

// The tiers, nearest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// UnitStatus is the state of a unit at an engine.
type UnitStatus string

// The states of a unit.
const (
	UnitLoading   UnitStatus = "loading"
	UnitReady     UnitStatus = "ready"
	UnitUnloading UnitStatus = "unloading"
)

// EngineUnit is one model or adapter as an engine reports it.
type EngineUnit struct {
	Unit      string     `json:"unit"`
	Version   string     `json:"version"`
	Base      string     `json:"base,omitempty"`
	Status    UnitStatus `json:"status"`
	MemoryMiB int64      `json:"memory_mib"`
	Seq       uint64     `json:"seq"`
	Running   int        `json:"running"` // may lag behind the actual number
}

// EngineState is the state that an engine reports about itself.
type EngineState struct {
	Endpoint      string          `json:"endpoint"`
	Version       uint64          `json:"version"` // increases with each change
	Fence         uint64          `json:"fence"`   // highest received
	MemoryMiB     int64           `json:"memory_mib"`
	Slots         int             `json:"slots"`
	Leaving       bool            `json:"leaving"`
	Units         []EngineUnit    `json:"units"`
	Cached        map[string]Tier `json:"cached,omitempty"`
	Overcommitted int             `json:"overcommitted"` // number of times that memory was exceeded
}

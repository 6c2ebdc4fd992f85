package protocol

import "time"

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	// OrderClaim only raises the endpoint's fencing number.
	OrderClaim OrderKind = "claim"
	// OrderLoad loads a model or an adapter.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads a model or an adapter once its requests ended.
	OrderUnload OrderKind = "unload"
)

// Order is an instruction to a model engine. Repeating one is harmless:
// Seq names the replica slot it is for.
type Order struct {
	Kind       OrderKind `json:"kind"`
	Unit       string    `json:"unit,omitempty"` // model or adapter name
	Version    string    `json:"version,omitempty"`
	Base       string    `json:"base,omitempty"` // the adapter's model
	MemoryMiB  int64     `json:"memory_mib,omitempty"`
	Seq        uint64    `json:"seq,omitempty"`
	Fence      uint64    `json:"fence"`
	ExpiresAt  time.Time `json:"expires_at"` // the engine refuses it afterwards
	EndpointID string    `json:"endpoint"`
}

// Tier says where an endpoint keeps a checkpoint.
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
	Running   int        `json:"running"` // lags behind reality
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	Endpoint      string          `json:"endpoint"`
	Version       uint64          `json:"version"` // rises with each change
	Fence         uint64          `json:"fence"`   // highest seen
	MemoryMiB     int64           `json:"memory_mib"`
	Slots         int             `json:"slots"`
	Leaving       bool            `json:"leaving"`
	Units         []EngineUnit    `json:"units"`
	Cached        map[string]Tier `json:"cached,omitempty"`
	Overcommitted int             `json:"overcommitted"` // times memory was exceeded
}

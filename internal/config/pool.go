package config

// PoolKind is the kind of upstream in a pool.
type PoolKind string

// Kinds of pool.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a group of interchangeable upstreams.
type Pool struct {
	// Kind is "engine" for model engines or "service" for plain services.
	Kind PoolKind `json:"kind"`
	// MemoryMiB is the memory of one upstream for models, in MiB; engines only.
	MemoryMiB int64 `json:"memory_mib,omitempty"`
	// MaxInFlight is the maximum number of concurrent requests to one warm
	// upstream. Default 64.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// StartInFlight is the maximum number of concurrent requests to an upstream
	// that has just started. Default 4, or MaxInFlight if that is less.
	StartInFlight int `json:"start_in_flight,omitempty"`
	// ChecksFencing is true if the engine rejects a load order whose fencing token is
	// lower than the highest that it has seen.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

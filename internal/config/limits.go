package config

// Limits apply to every instance of the fleet.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, in bytes. Default 1048576.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// QueueRequests is the maximum number of queued requests per entry instance. Default 2048.
	QueueRequests int `json:"queue_requests,omitempty"`
	// DefaultDeadlineMS is the deadline of a request that sets none, in milliseconds. Default 30000.
	DefaultDeadlineMS int `json:"default_deadline_ms,omitempty"`
	// MaxDeadlineMS is the longest deadline that a request may set, in milliseconds. Default 600000.
	MaxDeadlineMS int `json:"max_deadline_ms,omitempty"`
	// StoreLoads is the maximum number of concurrent loads from the weight store, over the whole fleet. Default 4.
	StoreLoads int `json:"store_loads,omitempty"`
	// StoreLoadsPerS is the maximum rate of loads from the weight store over the whole fleet, in loads per second. Default 1.6.
	StoreLoadsPerS float64 `json:"store_loads_per_s,omitempty"`
	// AdapterLoads is the maximum number of concurrent adapter loads over the whole fleet. Default 32.
	AdapterLoads int `json:"adapter_loads,omitempty"`
	// BulkShare is the fraction of each team's dispatched tokens that is guaranteed to its bulk requests, from 0 to 1. Default 0.2.
	BulkShare float64 `json:"bulk_share,omitempty"`
	// IdempotencyWindowS is how long the results of non-repeatable calls are kept, in seconds. Default 86400.
	IdempotencyWindowS int `json:"idempotency_window_s,omitempty"`
}

// WithDefaults returns l with every zero field set to its default.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.MaxBodyBytes, 1<<20)
	setDefault(&l.QueueRequests, 2048)
	setDefault(&l.DefaultDeadlineMS, 30_000)
	setDefault(&l.MaxDeadlineMS, 600_000)
	setDefault(&l.StoreLoads, 4)
	setDefault(&l.StoreLoadsPerS, 1.6)
	setDefault(&l.AdapterLoads, 32)
	setDefault(&l.BulkShare, 0.2)
	setDefault(&l.IdempotencyWindowS, 86_400)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

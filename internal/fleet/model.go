package fleet

import "time"

// Model is one model that an engine can load.
type Model struct {
	Name      string
	WeightsMB float64
	// AdapterMB is the size of each adapter of the model, in MB.
	AdapterMB float64
	// Load times by the place from which the engine loads the weights.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

package fleet

import "time"

// Model is one model that an engine can load.
type Model struct {
	Name      string
	WeightsMB float64
	// AdapterMB is the size of each adapter of the model, in MB.
	AdapterMB float64
	// Load times by where the engine takes the weights from.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

package fleet

// Engine describes the model engines of a service.
type Engine struct {
	// Capacity is how many requests one engine runs concurrently.
	Capacity int
	// MemoryMB is the memory of one engine for weights and adapters, in MB.
	MemoryMB float64
	// DiskMB is the space on one engine's disk for copies of weights, in MB; 0 is unknown.
	DiskMB float64
	// MaxAdapters is the maximum number of loaded adapters of one engine.
	MaxAdapters int
	// LoadsPerSecond is how many loads a second the weight store serves, over all
	// engines together.
	LoadsPerSecond float64
	Models         map[string]Model
}

package fleet

// Engine describes the model engines of a service.
type Engine struct {
	// Capacity is how many requests one engine runs concurrently.
	Capacity int
	// WeightsMB is the memory for weights and adapters together, in MB.
	WeightsMB float64
	// MaxAdapters is the maximum number of loaded adapters of one engine.
	MaxAdapters int
	// LoadsPerSecond is how many loads a second the weight store serves, over all
	// engines together.
	LoadsPerSecond float64
	Models         map[string]Model
}

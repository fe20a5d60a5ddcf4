package fleet

// Engine describes the model engines of a service.
type Engine struct {
	// Capacity is how many requests one engine runs at once.
	Capacity int
	// WeightsMB is the memory for weights and adapters together, in MB.
	WeightsMB float64
	// MaxAdapters is the most adapters that one engine holds.
	MaxAdapters int
	// LoadsPerSecond is the rate of the weight store over all engines.
	LoadsPerSecond float64
	Models         map[string]Model
}

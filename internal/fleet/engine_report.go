package fleet

// EngineReport is a snapshot of an engine's state, as the engine reports it.
type EngineReport struct {
	// StartedAtMS is when the engine process started, in Unix milliseconds. It
	// distinguishes restarts.
	StartedAtMS int64
	Holdings    Holdings
	// PendingAdapters are the adapters being loaded, as MODEL/ADAPTER.
	PendingAdapters []string
	// Busy tells whether the engine is executing an order that concerns a model,
	// not an adapter.
	Busy bool
	// Sequence is how many orders the engine has accepted since it started.
	Sequence        int64
	Queued, Running int
	Draining        bool
	// RateLimit is how many requests a second the engine takes from all instances
	// together, at least MinRateLimit; 0 means that it names no limit.
	RateLimit float64
}

package fleet

// EngineReport is what an engine says of itself at one moment.
type EngineReport struct {
	// StartedAtMS tells the starts of the engine apart, in Unix milliseconds.
	StartedAtMS     int64
	Holdings Holdings
	// PendingAdapters are the adapters in transit, as MODEL/ADAPTER.
	PendingAdapters []string
	// Busy tells whether an order for a model is being carried out.
	Busy bool
	// Sequence counts the orders that this start of the engine has accepted.
	Sequence        int64
	Queued, Running int
	Draining        bool
}

package agentapi

// Usage is the use of one model or adapter of an upstream by entry instances.
type Usage struct {
	// Sent is the number of requests sent to the upstream since the last report.
	Sent int `json:"sent,omitempty"`
	// InFlight is the number of running requests.
	InFlight int `json:"in_flight,omitempty"`
}

// ModelDemand is the demand for one model or adapter, whichever upstream serves it.
type ModelDemand struct {
	// Requests is an exponentially decayed count of requests.
	Requests float64 `json:"requests"`
	// PrefillMS is the decayed sum of the time in ms that an engine needs to read the
	// prompts.
	PrefillMS float64 `json:"prefill_ms,omitempty"`
}

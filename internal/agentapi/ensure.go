package agentapi

// EnsureRequest asks for a model, and an adapter unless that is empty, to be
// loaded.
type EnsureRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// WaitMS is how long the caller waits, in ms; 0 only records the request.
	WaitMS int64 `json:"wait_ms"`
	// Background loads come after those of waiting requests.
	Background bool `json:"background,omitempty"`
	// ExpectedDemand is the demand that a copy for the background would carry, on the
	// scale of Demand.Asked; it displaces only models that carry clearly less.
	ExpectedDemand float64 `json:"worth,omitempty"`
}

// EnsureResponse tells whether the model is loaded now.
type EnsureResponse struct {
	Loaded bool `json:"loaded"`
	// ReadyInMS is the estimated time until it is, in ms, when it is not.
	ReadyInMS int64  `json:"ready_in_ms,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

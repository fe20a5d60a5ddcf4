package agentapi

// EnsureRequest asks an agent to load a model, and an adapter if one is named.
type EnsureRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// WaitMS is how long the caller waits, in ms. With 0 the agent responds at
	// once.
	WaitMS int64 `json:"wait_ms"`
	// Background requests have lower priority than requests that callers wait for.
	Background bool `json:"background,omitempty"`
	// FromStore asks for a background load from the weight store that begins at once. The agent
	// declines it with a reason if the load would have to wait, so that another engine is asked.
	FromStore bool `json:"from_store,omitempty"`
	// ExpectedDemand is the demand that the copy loaded for a background request
	// would serve, on the scale of Demand.Requested. The copy replaces only models
	// with clearly less demand.
	ExpectedDemand float64 `json:"worth,omitempty"`
}

// EnsureResponse reports whether the model and adapter are loaded.
type EnsureResponse struct {
	Loaded bool `json:"loaded"`
	// ReadyInMS is the estimated time until they are loaded, in ms.
	ReadyInMS int64  `json:"ready_in_ms,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

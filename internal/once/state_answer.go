package once

// StateAnswer is the answer to all three: the state after the request.
type StateAnswer struct {
	State CallState `json:"state"`
	// Known is false when the identity has no state.
	Known bool `json:"known"`
}

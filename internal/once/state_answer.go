package once

// StateResponse is the answer to all three: the state after the request.
type StateResponse struct {
	State CallState `json:"state"`
	// Known is false when the identity has no state.
	Known bool `json:"known"`
}

package atmostonce

// StateResponse is the response to an IntentRequest, ResultRequest or
// StatusRequest: the state of the call after the request.
type StateResponse struct {
	State CallState `json:"state"`
	// Known is false if the call has no recorded state.
	Known bool `json:"known"`
}

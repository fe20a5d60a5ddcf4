package atmostonce

// SettleResponse is the response to a SettleRequest.
type SettleResponse struct {
	// Attempt repeats that of the request; a response about another attempt is dropped.
	Attempt string      `json:"attempt"`
	State   SettleState `json:"state"`
	Result  *Result     `json:"result,omitempty"`
}

package once

// SettleResponse is the answer to a SettleRequest.
type SettleResponse struct {
	// Attempt repeats the request's; an answer to another attempt is dropped.
	Attempt string      `json:"attempt"`
	State   SettleState `json:"state"`
	Result  *Result     `json:"result,omitempty"`
}

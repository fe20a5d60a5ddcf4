package dispatch

// PathCancel is the agents' path for cancelling attempts.
const PathCancel = "/attempts/cancel"

// Cancel asks an agent to end an attempt whose response the entry instance no
// longer needs.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// CancelResult is the response to a Cancel.
type CancelResult struct {
	// Found is false if the attempt was not running.
	Found bool `json:"found"`
}

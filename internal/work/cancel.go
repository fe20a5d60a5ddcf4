package work

// PathCancel is where agents take cancellations.
const PathCancel = "/attempts/cancel"

// Cancel asks an agent to end an attempt that its entry instance has given up.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// CancelResult is the answer to a Cancel.
type CancelResult struct {
	// Found is false when the attempt is not running.
	Found bool `json:"found"`
}

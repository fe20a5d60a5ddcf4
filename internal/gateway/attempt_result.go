package gateway

// attemptResult tells what follows an attempt.
type attemptResult int

const (
	// finished means that the request has ended; no further attempt follows.
	finished attemptResult = iota
	// retry means that another upstream may serve the request.
	retry
)

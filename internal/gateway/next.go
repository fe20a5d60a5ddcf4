package gateway

// next tells what follows an attempt.
type next int

const (
	// finished means that the caller has its answer.
	finished next = iota
	// again means that another upstream may serve the request.
	again
)

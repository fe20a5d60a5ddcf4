package admit

// Outcome tells how an admitted request ended at the upstream.
type Outcome int

// Outcomes of an admitted request.
const (
	// Completed means that the upstream answered; the limit grows.
	Completed Outcome = iota
	// Abandoned means that the request ended for a reason that says nothing
	// about the upstream, such as a cancellation by the caller. The limit stays.
	Abandoned
	// Broken means that the connection to the upstream broke. The upstream may
	// have crashed, so the limit returns to its start value.
	Broken
)

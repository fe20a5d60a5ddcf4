package fleetsim

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
)

// Result is the history of one run.
type Result struct {
	Start    time.Time
	Charges  []budget.Charge
	Outcomes []Outcome
	// Messages is the number of requests between nodes, and Bytes the size of
	// them and their answers, with headers.
	Messages int
	Bytes    int
	// Records is the number of records in the log at the end.
	Records uint64
	// FaultsApplied is the number of faults that were injected.
	FaultsApplied int
}

// Outcome is the result of one request.
type Outcome struct {
	At     time.Duration
	Team   string
	Node   int
	Tokens float64
	// Refused is the error of a refused request, nil if it was admitted.
	Refused error
	// Lost is set if the node died before it answered the request.
	Lost bool
	// Waited is the time that the node took to admit or refuse the request.
	Waited time.Duration
}

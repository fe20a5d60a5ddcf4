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
	// Messages and Bytes are what nodes sent to one another, headers included.
	Messages int
	Bytes    int
	// Records is the number of records in the log at the end.
	Records uint64
	// FaultsApplied is the number of faults that took effect.
	FaultsApplied int
}

// Outcome is the end of one request.
type Outcome struct {
	At     time.Duration
	Team   string
	Node   int
	Tokens float64
	// Refused is nil for an admitted request.
	Refused error
	// Lost tells that the node died while it held the request.
	Lost bool
	// Waited is the time until the outcome.
	Waited time.Duration
}

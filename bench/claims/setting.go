package claims

import "time"

// Setting holds the parameters of one run.
type Setting struct {
	Policy    Policy
	Claimants int
	Items     int
	// AppendsPerS is the number of appends that the log processes a second.
	AppendsPerS float64
	// Latency is the minimum time from the log's processing of an append to the arrival
	// of the claimant's next one. The maximum is twice that.
	Latency time.Duration
	// WakeWithin is the time within which all claimants learn that there is work.
	WakeWithin time.Duration
	// StaleShare is the fraction of claimants whose view lacks the last membership
	// change until ViewBound has passed.
	StaleShare float64
	// ChangedShare is the fraction of members that the change replaced.
	ChangedShare float64
	ViewBound    time.Duration
	Seed         uint64
}

// Outcome is the result of one run.
type Outcome struct {
	// Useful is the number of appends that won their item, one per item.
	Useful int
	// Voided is the number of appends for items that were already claimed.
	Voided int
	// Claimed is the time from the start until the last item was claimed.
	Claimed time.Duration
}

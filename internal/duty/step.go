package duty

// StepKind is what an instance does next.
type StepKind int

// Kinds of steps.
const (
	// Wait does nothing.
	Wait StepKind = iota
	// ReadLog reads the log, which also verifies a claim.
	ReadLog
	// Ping asks the holder whether it is alive.
	Ping
	// ClaimDuty appends a claim.
	ClaimDuty
	// Collect begins to collect the counts of a window.
	Collect
	// Record appends the report of a window.
	Record
	// Send sends the report of a window that is in the log.
	Send
	// RecordOrder appends the next new order of servers, and SendOrder sends one that is in the log.
	RecordOrder
	SendOrder
)

// Step is what an instance does next, and the window or the first window that it concerns.
type Step struct {
	Kind   StepKind
	Window int64
}

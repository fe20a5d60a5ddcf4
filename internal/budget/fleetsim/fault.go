package fleetsim

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
)

// FaultKind is a kind of injected fault, by its number in the design.
type FaultKind string

// Kinds of fault.
const (
	// Kill ends a node at a step (F1). Its end is recorded 10 s later.
	Kill FaultKind = "F1"
	// Replace ends a node and starts a new incarnation of it at once (F3).
	Replace FaultKind = "F3"
	// LogDown stops the log for everyone (F6).
	LogDown FaultKind = "F6"
	// LogDownForOne stops the log for one node (F6).
	LogDownForOne FaultKind = "F6-one"
	// LogSlow delays each call of the log by two seconds (F6).
	LogSlow FaultKind = "F6-slow"
	// Pause stops a node at a step and lets it go on later (F8).
	Pause FaultKind = "F8"
	// FalseRemoval records the end of a live node, as a lagging list causes (F12).
	FalseRemoval FaultKind = "F12"
	// Flap lets an instance join and go within a moment while one node is cut
	// off the log, so that the node sees both records at once (F12).
	Flap FaultKind = "F12-flap"
	// PartitionDC cuts a data centre from the log and from the others, and records
	// the end of its nodes (F13).
	PartitionDC FaultKind = "F13"
	// DisableDC takes a data centre out by configuration and returns it (F13).
	DisableDC FaultKind = "F13-out"
	// Overload lets the teams send five times their rates (F16).
	Overload FaultKind = "F16"
	// MessageFaults duplicates and delays messages between nodes (F18).
	MessageFaults FaultKind = "F18"
)

// Fault is one injected fault.
type Fault struct {
	Kind FaultKind
	// Node is the index of the node, or of the data centre.
	Node int
	// At is the time after the start of the load.
	At time.Duration
	// Duration is the duration.
	Duration time.Duration
	// Step is where Kill and Pause strike: at its first occurrence after At.
	Step budget.Step
}

package fleetsim

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
)

// FaultKind is a kind of injected fault. The values start with the number of the
// fault in the design.
type FaultKind string

// Kinds of fault.
const (
	// Kill stops a node for good (F1). Its removal is recorded 10 s later.
	Kill FaultKind = "F1"
	// Replace kills a node and starts a new incarnation of it at once (F3).
	Replace FaultKind = "F3"
	// LogDown makes the log unavailable to all nodes (F6).
	LogDown FaultKind = "F6"
	// LogDownForOne makes the log unavailable to one node (F6).
	LogDownForOne FaultKind = "F6-one"
	// LogSlow delays each call to the log by two seconds (F6).
	LogSlow FaultKind = "F6-slow"
	// Pause suspends a node for the fault's duration (F8).
	Pause FaultKind = "F8"
	// FalseRemoval records the removal of a live node, as happens when the
	// platform's instance list lags (F12).
	FalseRemoval FaultKind = "F12"
	// Flap has an instance join and leave while one node cannot read the log,
	// so that this node reads both records at once (F12).
	Flap FaultKind = "F12-flap"
	// PartitionDC cuts a data centre off from the log and from the other data
	// centres, and records the removal of its nodes (F13).
	PartitionDC FaultKind = "F13"
	// DisableDC configures a data centre as out for the fault's duration (F13).
	DisableDC FaultKind = "F13-out"
	// Overload makes the teams send five times their rates (F16).
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
	// Duration is 0 for faults without an end.
	Duration time.Duration
	// Step, if set, delays a Kill or Pause until the node first reaches this
	// step after At.
	Step budget.Step
}

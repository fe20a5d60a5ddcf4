package residency

import "context"

// Step is a point of the protocol between agent and engine at which a fault can
// occur. The fault matrix has a row for each.
type Step int

// The steps of a load, then those of an unload and of a release, in order.
const (
	// StepReserve is before memory is reserved.
	StepReserve Step = iota
	// StepSlot is after memory is reserved and before a slot is requested.
	StepSlot
	// StepCheck is after the slot is granted and before the view is checked.
	StepCheck
	// StepLoadSend is after the check and before the load order is sent.
	StepLoadSend
	// StepLoadAnswer is after the load order ended and before the engine's state is
	// read.
	StepLoadAnswer
	// StepLoadConfirm is after the engine's state was read following a load.
	StepLoadConfirm
	// StepUnloadSend is before an unload order is sent.
	StepUnloadSend
	// StepUnloadAnswer is after the unload order ended and before the engine's state
	// is read.
	StepUnloadAnswer
	// StepFence is before an order that only raises the engine's fencing token.
	StepFence
	// StepReport is before the release is appended.
	StepReport
	// StepReported is after the release was appended.
	StepReported
	stepCount
)

// stepHook is called at each step. Tests use it to pause or kill the agent.
type stepHook func(ctx context.Context, step Step, checkpoint string)

func noHook(context.Context, Step, string) {}

package atmostonce

// SettleState is the state of an attempt at its agent.
type SettleState string

// States of an attempt.
const (
	SettleFinished SettleState = "finished"
	SettleRunning  SettleState = "running"
	// SettleFenced: the attempt never ran and never will.
	SettleFenced SettleState = "fenced"
	// SettleUnknown: this incarnation cannot tell whether the attempt ran.
	SettleUnknown SettleState = "unknown"
)

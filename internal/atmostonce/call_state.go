package atmostonce

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// CallState is the recorded state of one call.
type CallState struct {
	CallID
	Digest Digest `json:"digest"`
	Phase  Phase  `json:"phase"`
	// Attempt is the only attempt that may be dispatched.
	Attempt string `json:"attempt"`
	// Target is the agent incarnation that the attempt is sent to.
	Target record.InstanceRef `json:"target"`
	// Author is the entry instance that dispatches the attempt.
	Author record.InstanceRef `json:"author"`
	// Offset is the offset of the record that set Attempt.
	Offset backing.Offset `json:"offset"`
	// Result is set in PhaseFinished.
	Result *Result `json:"result,omitempty"`
}

// MayDispatch reports whether attempt may be dispatched.
func (s CallState) MayDispatch(attempt string) bool {
	return s.Phase == PhaseRunning && s.Attempt == attempt
}

package once

import (
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// State is what the partition fold knows of one identity.
type State struct {
	Identity
	Digest Digest `json:"digest"`
	Phase  Phase  `json:"phase"`
	// Attempt is the one that the log allows; no other may be dispatched.
	Attempt string `json:"attempt"`
	// Target is the agent incarnation that the attempt is sent to.
	Target record.InstanceRef `json:"target"`
	// Author is the entry instance that dispatches the attempt.
	Author record.InstanceRef `json:"author"`
	// Offset is that of the record which set Attempt.
	Offset platform.Offset `json:"offset"`
	// Result is set in PhaseFinished.
	Result *Result `json:"result,omitempty"`
}

// Won reports whether attempt may be dispatched.
func (s State) Won(attempt string) bool {
	return s.Phase == PhaseRunning && s.Attempt == attempt
}

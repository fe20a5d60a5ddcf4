package attempt

import (
	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Dispatch is the part of a work request from which the table decides whether
// the attempt may run.
type Dispatch struct {
	atmostonce.CallID
	Attempt string `json:"attempt"`
	// Target is the agent incarnation that the intent names.
	Target record.InstanceRef `json:"target"`
}

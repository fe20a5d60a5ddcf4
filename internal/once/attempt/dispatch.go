package attempt

import (
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Dispatch is the part of a work request that the table judges.
type Dispatch struct {
	once.Identity
	Attempt string `json:"attempt"`
	// Target is the agent incarnation that the intent names.
	Target record.InstanceRef `json:"target"`
}

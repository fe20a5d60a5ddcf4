package once

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// SettleRequest is the body of POST /attempts/settle. The agent answers for good:
// an attempt that it has not seen is fenced.
type SettleRequest struct {
	Identity
	Attempt string `json:"attempt"`
	// Target is the incarnation that the attempt was sent to.
	Target record.InstanceRef `json:"target"`
}

package atmostonce

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// SettleRequest is the body of POST /attempts/settle. An agent that has not seen
// the attempt fences it, so that it can never run.
type SettleRequest struct {
	CallID
	Attempt string `json:"attempt"`
	// Target is the incarnation that the attempt was sent to.
	Target record.InstanceRef `json:"target"`
}

package atmostonce

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// IntentRequest is the body of POST /once/intent. If OldAttempt is set, Attempt
// replaces that fenced attempt; otherwise Attempt is the first attempt of the
// call or follows one recorded as not run.
type IntentRequest struct {
	CallID
	Digest     Digest             `json:"digest"`
	Attempt    string             `json:"attempt"`
	OldAttempt string             `json:"old,omitempty"`
	Target     record.InstanceRef `json:"target"`
	Author     record.InstanceRef `json:"author"`
}

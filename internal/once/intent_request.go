package once

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// IntentRequest is the body of POST /once/intent. With Old set it replaces the
// fenced attempt Old instead of opening the identity.
type IntentRequest struct {
	Identity
	Digest  Digest         `json:"digest"`
	Attempt string         `json:"attempt"`
	Old     string         `json:"old,omitempty"`
	Target  record.InstanceRef `json:"target"`
	Author  record.InstanceRef `json:"author"`
}

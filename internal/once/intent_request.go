package once

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// IntentRequest is the body of POST /once/intent. With Old set it replaces the
// fenced attempt Old instead of opening the identity.
type IntentRequest struct {
	CallID
	Digest  Digest         `json:"digest"`
	Attempt string         `json:"attempt"`
	Old     string         `json:"old,omitempty"`
	Target  record.HomeRef `json:"target"`
	Author  record.HomeRef `json:"author"`
}

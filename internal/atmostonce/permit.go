package atmostonce

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Permit allows one dispatch of one attempt to one agent incarnation.
type Permit struct {
	CallID
	Digest  Digest
	Attempt string
	Target  record.InstanceRef
}

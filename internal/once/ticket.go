package once

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Ticket allows one dispatch of one attempt to one agent incarnation.
type Ticket struct {
	Identity
	Digest  Digest
	Attempt string
	Target  record.InstanceRef
}

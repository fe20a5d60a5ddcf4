package atmostonce

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Call is a non-repeatable request that an entry instance is about to send.
type Call struct {
	CallID
	Digest Digest
	// Target is the agent incarnation chosen for the dispatch.
	Target record.InstanceRef
}

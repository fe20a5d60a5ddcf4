package controlstate

import (
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Homes is the placement of one checkpoint: the instances whose upstreams may
// hold it. Adding a home is rejected if Active and Releasing together would then
// exceed the checkpoint's maximum of replicas.
type Homes struct {
	// Offset is the offset of the record that set the active homes. It is the
	// fencing token of load orders for this checkpoint.
	Offset backing.Offset `json:"offset"`
	// Active are the homes that may load the checkpoint.
	Active []record.InstanceRef `json:"active,omitempty"`
	// Releasing are former homes that may still hold the checkpoint.
	Releasing []record.InstanceRef `json:"releasing,omitempty"`
}

// HasActive reports whether ref is an active home.
func (h Homes) HasActive(ref record.InstanceRef) bool { return slices.Contains(h.Active, ref) }

package fold

import (
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Homes are the upstreams that may hold one checkpoint. Active and Releasing
// together never exceed the checkpoint's maximum of replicas.
type Homes struct {
	// Offset is that of the record which set the homes; it is the fencing
	// number of every load order for them.
	Offset platform.Offset `json:"offset"`
	// Active homes may load the checkpoint.
	Active []record.InstanceRef `json:"active,omitempty"`
	// Releasing are former homes that may still hold it.
	Releasing []record.InstanceRef `json:"releasing,omitempty"`
}

// Has reports whether ref is an active home.
func (h Homes) Has(ref record.InstanceRef) bool { return slices.Contains(h.Active, ref) }

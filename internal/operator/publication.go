package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Publication is the result of a successful publication.
type Publication struct {
	// Version is the configuration version that has the changes.
	Version backing.Offset `json:"version"`
	// Changes lists the changes that took effect.
	Changes []record.EntryChange `json:"changes,omitempty"`
	// Unchanged reports that the current version already had the changes, so
	// nothing was appended.
	Unchanged bool `json:"unchanged,omitempty"`
}

package audit

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// Source provides an Archiver with the recent entries and the view of its
// instance.
type Source interface {
	// View returns the instance's current view of the control stream.
	View() *controlstate.View
	// Since returns the entries after the offset and whether none is missing.
	Since(offset backing.Offset) ([]Entry, bool)
}

package audit

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Source provides an Archiver with the recent entries and the view of its
// instance.
type Source interface {
	// View returns the instance's current view of the control stream.
	View() *fold.View
	// Since returns the entries after the offset and whether none is missing.
	Since(offset platform.Offset) ([]Entry, bool)
}

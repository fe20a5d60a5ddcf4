package budget

import "github.com/jacinthbend/jacinthbend/internal/controlstate"

// Fleet gives access to this instance's view of the fleet.
type Fleet interface {
	// View returns the newest view.
	View() *controlstate.View
	// MayWork reports whether the view is recent enough (at most MaxViewAge old)
	// for this instance to issue and spend tokens.
	MayWork() bool
}

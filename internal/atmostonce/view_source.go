package atmostonce

import (
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// ViewSource provides the instance's view of the fleet.
type ViewSource interface {
	View() *controlstate.View
	// MayWork is false while the view is older than ViewBound.
	MayWork() bool
}

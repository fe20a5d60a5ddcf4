package once

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// ViewSource provides the instance's view of the fleet.
type ViewSource interface {
	View() *fold.View
	// MayWork is false while the view is older than ViewBound.
	MayWork() bool
}

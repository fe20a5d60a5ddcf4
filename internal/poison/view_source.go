package poison

import (
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// ViewSource returns the instance's current view of the control stream.
type ViewSource interface {
	View() *controlstate.View
}

package poison

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// ViewSource is what the package needs of the instance's view.
type ViewSource interface {
	View() *fold.View
}

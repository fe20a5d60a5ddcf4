package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

type settled struct {
	found   bool
	verdict fold.ApplyResult
	offset  platform.Offset
}

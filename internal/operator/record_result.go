package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// recordResult is the result of the first record that was read with an id.
type recordResult struct {
	found  bool
	result fold.ApplyResult
	offset platform.Offset
}

package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// recordResult is the result of the first record that was read with an id.
type recordResult struct {
	found  bool
	result controlstate.ApplyResult
	offset backing.Offset
}

package operator

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// SnapshotLoader returns the view in the newest complete snapshot, or nil if
// there is none.
type SnapshotLoader func(ctx context.Context, log backing.Log) (*controlstate.View, error)

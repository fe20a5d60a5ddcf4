package operator

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// SnapshotLoader returns the view in the newest complete snapshot, or nil if
// there is none.
type SnapshotLoader func(ctx context.Context, log platform.Log) (*fold.View, error)

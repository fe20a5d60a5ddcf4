package backing

import (
	"context"
	"errors"
)

// WeightStore is the platform's rate-limited store of checkpoints.
type WeightStore interface {
	// Fetch transfers the checkpoint to the upstream, given by its address, and
	// returns when the transfer has ended. ErrThrottled means that the store did
	// not start it; after any other error the transfer may have taken place.
	Fetch(ctx context.Context, checkpoint, upstream string) error
}

// ErrThrottled means that the weight store refused a fetch because of its rate
// limit or concurrency limit.
var ErrThrottled = errors.New("weight store throttled the fetch")

package streamorigin

import (
	"context"

	"go.uber.org/zap"
)

// Options are the dependencies of a Tracker.
type Options struct {
	// Log has what instances remember beyond their ends. Without it, the instance counts as
	// the only one.
	Log Log
	// RefreshList reads the list of upstreams from the store and returns once it was observed; nil
	// if the list counts as current for maxListAge.
	RefreshList func(ctx context.Context) error
	// Peers are the other instances; may be nil.
	Peers Peers
	// Entries returns the number of entry instances; nil stands for one.
	Entries func() int
	// Logger may be nil.
	Logger *zap.Logger
}

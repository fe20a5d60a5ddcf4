package topic

import (
	"context"
	"time"
)

// RelayReader reads a topic from another instance.
type RelayReader interface {
	// ReadFromRelay returns the records from an offset on that another instance has
	// from the store. Without any it waits up to wait. It returns false if there
	// is no such instance, or it does not know.
	ReadFromRelay(ctx context.Context, t Name, from int64, wait time.Duration) (Page, bool)
}

// relayWait is how long a read from another instance waits; the next one begins
// as soon as it returns.
const relayWait = 550 * time.Millisecond

// RelayedSource is a source that reads the list of upstreams from another instance
// where one is fresh, and from the store otherwise. Calls to the store are
// priced, and each instance would read the same heartbeats. Records of operators
// are always read from the store: an instance that was cut off would learn of
// that only after a long wait, and keep others from a change.
type RelayedSource struct {
	store    Source
	reader   RelayReader
	answered func(t Name)
}

// NewRelayedSource returns a relay before store. Answered is called when the store
// itself answered.
func NewRelayedSource(store Source, reader RelayReader, answered func(t Name)) *RelayedSource {
	return &RelayedSource{store: store, reader: reader, answered: answered}
}

var _ Source = (*RelayedSource)(nil)

// List implements Source.
func (r *RelayedSource) List(ctx context.Context, t Name) (Page, error) {
	page, err := r.store.List(ctx, t)
	if err == nil {
		r.answered(t)
	}
	return page, err
}

// Read implements Source.
func (r *RelayedSource) Read(ctx context.Context, t Name, from int64, wait time.Duration) (Page, error) {
	if t == Upstreams {
		if page, ok := r.reader.ReadFromRelay(ctx, t, from, relayWait); ok {
			return page, nil
		}
	}
	page, err := r.store.Read(ctx, t, from, wait)
	if err == nil {
		r.answered(t)
	}
	return page, err
}

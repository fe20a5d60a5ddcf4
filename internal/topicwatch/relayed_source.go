package topicwatch

import (
	"context"
	"time"
)

// RelayReader reads a topic from the relay: the entry instance that reads the
// store on behalf of this one.
type RelayReader interface {
	// ReadFromRelay returns the records from offset from on that the relay has read
	// from the store. If there are none, it waits up to wait for one. It returns
	// false if this instance has no relay, or the relay does not answer or does not
	// have all of these records.
	ReadFromRelay(ctx context.Context, t Name, from int64, wait time.Duration) (Page, bool)
}

// relayWait is how long a read from the relay waits for records. It is just below
// the interval of upstreamSchedule, so the next read starts soon after one ends.
const relayWait = 550 * time.Millisecond

// RelayedSource reads the upstreams topic from the relay while the relay's records
// are fresh, and from the store otherwise. Calls to the store cost money, and
// without relays every instance would read the same heartbeats. All other topics
// are read from the store. For operator records this avoids delays: a relay that
// is cut off from the store notices it only at the end of a long poll, and its
// readers would get no changes until then.
type RelayedSource struct {
	store       Source
	relay       RelayReader
	onStoreRead func(t Name)
}

// NewRelayedSource returns a source that uses relay and store. It calls onStoreRead
// after each successful call to the store itself.
func NewRelayedSource(store Source, relay RelayReader, onStoreRead func(t Name)) *RelayedSource {
	return &RelayedSource{store: store, relay: relay, onStoreRead: onStoreRead}
}

var _ Source = (*RelayedSource)(nil)

// List implements Source.
func (r *RelayedSource) List(ctx context.Context, t Name) (Page, error) {
	page, err := r.store.List(ctx, t)
	if err == nil {
		r.onStoreRead(t)
	}
	return page, err
}

// Read implements Source.
func (r *RelayedSource) Read(ctx context.Context, t Name, from int64, wait time.Duration) (Page, error) {
	if t == Upstreams {
		if page, ok := r.relay.ReadFromRelay(ctx, t, from, relayWait); ok {
			return page, nil
		}
	}
	page, err := r.store.Read(ctx, t, from, wait)
	if err == nil {
		r.onStoreRead(t)
	}
	return page, err
}

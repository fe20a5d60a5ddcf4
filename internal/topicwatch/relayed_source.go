package topicwatch

import (
	"context"
	"time"
)

// RelayReader reads a topic from the relay: the entry instance that reads the
// store on behalf of this one.
type RelayReader interface {
	// ReadFromRelay returns the records from position from on that the relay has read
	// from the store. If there are none, it waits up to wait for one.
	ReadFromRelay(ctx context.Context, t Name, from Position, wait time.Duration) (Page, RelayResult)
	// IsRelay reports whether other instances read a topic from this one.
	IsRelay(t Name) bool
}

// RelayResult is the result of a read from the relay.
type RelayResult int

// Results of reads from the relay.
const (
	// NoRelay means that this instance reads the store itself.
	NoRelay RelayResult = iota
	// RelayFailed means that the relay does not answer, does not have all of the records or is
	// in another era.
	RelayFailed
	// Relayed means that the page has the records.
	Relayed
)

// relayWait is how long a read from the relay waits for records. It is just below
// the interval of upstreamSchedule, so the next read starts soon after one ends.
const relayWait = 550 * time.Millisecond

// RelayedSource reads the upstreams, operators and crashes topics from the relay while the
// relay's records are fresh, and from the store otherwise. Calls to the store cost
// money, and without relays every instance would read the same records. A relay's own
// reads of the store wait for at most relayWait, so that it notices soon that it is cut
// off; its readers would get no changes until then. Members are read from the store.
type RelayedSource struct {
	store       Source
	relay       RelayReader
	onStoreRead func(t Name, at time.Time)
}

// NewRelayedSource returns a source that uses relay and store. It calls onStoreRead
// with the time at which the store confirmed the records of each read.
func NewRelayedSource(store Source, relay RelayReader, onStoreRead func(t Name, at time.Time)) *RelayedSource {
	return &RelayedSource{store: store, relay: relay, onStoreRead: onStoreRead}
}

var _ Source = (*RelayedSource)(nil)

// List implements Source.
func (r *RelayedSource) List(ctx context.Context, t Name) (Page, error) {
	page, err := r.store.List(ctx, t)
	if err == nil {
		r.onStoreRead(t, time.Now())
	}
	return page, err
}

// Read implements Source.
func (r *RelayedSource) Read(ctx context.Context, t Name, from Position, wait time.Duration) (Page, error) {
	if t != Members {
		atRelay := relayWait
		if t == Crashes {
			atRelay = wait
		}
		page, result := r.relay.ReadFromRelay(ctx, t, from, atRelay)
		switch result {
		case Relayed:
			r.onStoreRead(t, time.Now().Add(-time.Duration(page.AgeMS)*time.Millisecond))
			return page, nil
		case RelayFailed:
			// The store may be in another era, which a long poll tells only when it ends.
			wait = min(wait, relayWait)
		}
	}
	if r.relay.IsRelay(t) {
		wait = min(wait, relayWait)
	}
	page, err := r.store.Read(ctx, t, from, wait)
	if err == nil {
		r.onStoreRead(t, time.Now())
	}
	return page, err
}

package topicwatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// linkedReader reads from another follower over a simulated link that can be cut.
type linkedReader struct {
	other *Follower
	cut   atomic.Bool
	// operators tells that the operators topic is read over the link too.
	operators bool
}

func (r *linkedReader) IsRelay(Name) bool { return false }

func (r *linkedReader) ReadFromRelay(ctx context.Context, t Name, from Position, wait time.Duration) (Page, RelayResult) {
	if t == Operators && !r.operators {
		return Page{}, NoRelay
	}
	if r.cut.Load() {
		sleep(ctx, wait)
		return Page{}, RelayFailed
	}
	if page, ok := r.other.ReadLocal(ctx, t, from, wait, MaxStaleness); ok {
		return page, Relayed
	}
	return Page{}, RelayFailed
}

// runRelayed runs a follower that reads the store and a second one that uses the
// first as its relay.
func runRelayed(t *testing.T, f func(check *is.I, s *fakeStore, link *linkedReader, relayStore *unreachableStore, second *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Operators, "config", "1")
		store.put(Upstreams, "a", "x")
		store.put(Upstreams, "b", "x")
		link := &linkedReader{operators: true}
		var first, second *Follower
		relayStore := &unreachableStore{Source: store}
		first = NewFollower(Options{Source: NewRelayedSource(relayStore, noRelay{}, func(t Name, at time.Time) { first.MarkStoreRead(t, at) }), Decoder: textDecoder{}, Logger: zap.NewNop()})
		second = NewFollower(Options{Source: NewRelayedSource(store, link, func(t Name, at time.Time) { second.MarkStoreRead(t, at) }), Decoder: textDecoder{}, Logger: zap.NewNop()})
		link.other = first
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		for _, fo := range []*Follower{first, second} {
			go func() { fo.Run(ctx, Operators, Upstreams); done <- struct{}{} }()
		}
		time.Sleep(3 * time.Second)
		f(is.New(t), store, link, relayStore, second)
		cancel()
		<-done
		<-done
	})
}

// noRelay is the RelayReader of an instance that reads the store itself.
type noRelay struct{}

func (noRelay) IsRelay(Name) bool { return true }

func (noRelay) ReadFromRelay(context.Context, Name, Position, time.Duration) (Page, RelayResult) {
	return Page{}, NoRelay
}

// TestRelayedRead guards against an instance that reads from a relay and goes on
// using a draining or removed upstream, and against reading the store in spite of
// a fresh relay.
func TestRelayedRead(t *testing.T) {
	runRelayed(t, func(check *is.I, s *fakeStore, _ *linkedReader, _ *unreachableStore, second *Follower) {
		check.Equal(len(second.View().Upstreams), 2)
		before := s.readCount(Upstreams)
		s.put(Upstreams, "a", "draining")
		s.put(Upstreams, "b", "")
		time.Sleep(700 * time.Millisecond)
		check.True(second.View().Upstreams["a"].Draining)
		check.Equal(len(second.View().Upstreams), 1)
		time.Sleep(10 * time.Second)
		check.True(s.readCount(Upstreams)-before < 20) // the reads of one instance, not of two
	})
}

// TestRelayUnreachable guards against an instance that uses a draining upstream for
// longer than the 2 s which the platform allows, because its relay is cut off from
// it or from the store.
func TestRelayUnreachable(t *testing.T) {
	runRelayed(t, func(check *is.I, s *fakeStore, link *linkedReader, _ *unreachableStore, second *Follower) {
		link.cut.Store(true)
		s.put(Upstreams, "a", "draining")
		time.Sleep(1800 * time.Millisecond)
		check.True(second.View().Upstreams["a"].Draining)
	})
	runRelayed(t, func(check *is.I, s *fakeStore, _ *linkedReader, relayStore *unreachableStore, second *Follower) {
		// Only the relay is cut off from the store.
		relayStore.unreachable.Store(true)
		s.put(Upstreams, "a", "draining")
		time.Sleep(1800 * time.Millisecond)
		check.True(second.View().Upstreams["a"].Draining)
	})
}

// unreachableStore is the store as seen by an instance that can be cut off from it:
// calls then time out.
type unreachableStore struct {
	Source
	unreachable atomic.Bool
}

func (l *unreachableStore) List(ctx context.Context, t Name) (Page, error) {
	if l.unreachable.Load() {
		sleep(ctx, time.Second)
		return Page{}, context.DeadlineExceeded
	}
	return l.Source.List(ctx, t)
}

func (l *unreachableStore) Read(ctx context.Context, t Name, from Position, wait time.Duration) (Page, error) {
	if l.unreachable.Load() {
		sleep(ctx, time.Second)
		return Page{}, context.DeadlineExceeded
	}
	return l.Source.Read(ctx, t, from, wait)
}

// TestRelayedOperators guards against an instance that reads the operators' records from
// a relay and learns of a change late: usually, when the relay is cut off from it, and
// when the relay is cut off from the store.
func TestRelayedOperators(t *testing.T) {
	for name, tt := range map[string]struct {
		fault func(link *linkedReader, relayStore *unreachableStore)
		bound time.Duration
	}{
		"no fault":              {func(*linkedReader, *unreachableStore) {}, 50 * time.Millisecond},
		"relay cut off":         {func(l *linkedReader, _ *unreachableStore) { l.cut.Store(true) }, 1500 * time.Millisecond},
		"relay without a store": {func(_ *linkedReader, s *unreachableStore) { s.unreachable.Store(true) }, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runRelayed(t, func(check *is.I, s *fakeStore, link *linkedReader, relayStore *unreachableStore, second *Follower) {
				reads := s.readCount(Operators)
				time.Sleep(10 * time.Second)
				check.True(s.readCount(Operators)-reads < 25) // the reads of the relay alone
				tt.fault(link, relayStore)
				s.put(Operators, "config", "2")
				time.Sleep(tt.bound)
				check.Equal(second.View().Config.Version, int64(2))
			})
		})
	}
}

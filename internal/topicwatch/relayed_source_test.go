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
}

func (r *linkedReader) ReadFromRelay(ctx context.Context, t Name, from int64, wait time.Duration) (Page, bool) {
	if r.cut.Load() {
		sleep(ctx, wait)
		return Page{}, false
	}
	return r.other.ReadLocal(ctx, t, from, wait)
}

// runRelayed runs a follower that reads the store and a second one that uses the
// first as its relay.
func runRelayed(t *testing.T, f func(check *is.I, s *fakeStore, link *linkedReader, relayStore *unreachableStore, second *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Operators, "config", "1")
		store.put(Upstreams, "a", "x")
		store.put(Upstreams, "b", "x")
		link := &linkedReader{}
		var first, second *Follower
		relayStore := &unreachableStore{Source: store}
		first = NewFollower(Options{Source: NewRelayedSource(relayStore, noRelay{}, func(t Name) { first.MarkStoreRead(t) }), Decoder: textDecoder{}, Logger: zap.NewNop()})
		second = NewFollower(Options{Source: NewRelayedSource(store, link, func(t Name) { second.MarkStoreRead(t) }), Decoder: textDecoder{}, Logger: zap.NewNop()})
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

func (noRelay) ReadFromRelay(context.Context, Name, int64, time.Duration) (Page, bool) {
	return Page{}, false
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

func (l *unreachableStore) Read(ctx context.Context, t Name, from int64, wait time.Duration) (Page, error) {
	if l.unreachable.Load() {
		sleep(ctx, time.Second)
		return Page{}, context.DeadlineExceeded
	}
	return l.Source.Read(ctx, t, from, wait)
}

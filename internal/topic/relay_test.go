package topic

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fromHere reads from another follower, as over a link that can be cut.
type fromHere struct {
	other *Follower
	cut   atomic.Bool
}

func (r *fromHere) ReadFromRelay(ctx context.Context, t Name, from int64, wait time.Duration) (Page, bool) {
	if r.cut.Load() {
		sleep(ctx, wait)
		return Page{}, false
	}
	return r.other.ReadLocal(ctx, t, from, wait)
}

// relayed runs a follower that reads the store and one that reads from it.
func relayed(t *testing.T, f func(check *is.I, s *fakeStore, link *fromHere, lost *losable, second *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Operators, "config", "1")
		store.put(Upstreams, "a", "x")
		store.put(Upstreams, "b", "x")
		link := &fromHere{}
		var first, second *Follower
		lost := &losable{Source: store}
		first = NewFollower(Options{Source: NewRelayedSource(lost, noReader{}, func(t Name) { first.MarkStoreRead(t) }), Decoder: plainDecoder{}, Logger: zap.NewNop()})
		second = NewFollower(Options{Source: NewRelayedSource(store, link, func(t Name) { second.MarkStoreRead(t) }), Decoder: plainDecoder{}, Logger: zap.NewNop()})
		link.other = first
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		for _, fo := range []*Follower{first, second} {
			go func() { fo.Run(ctx, Operators, Upstreams); done <- struct{}{} }()
		}
		time.Sleep(3 * time.Second)
		f(is.New(t), store, link, lost, second)
		cancel()
		<-done
		<-done
	})
}

// noReader is an instance that reads the store itself.
type noReader struct{}

func (noReader) ReadFromRelay(context.Context, Name, int64, time.Duration) (Page, bool) {
	return Page{}, false
}

// TestRelay guards against a leaving or removed upstream that an instance which
// reads from another one keeps in use, and against calls to the store that the
// relay is there to save.
func TestRelay(t *testing.T) {
	relayed(t, func(check *is.I, s *fakeStore, _ *fromHere, _ *losable, second *Follower) {
		check.Equal(len(second.View().Upstreams), 2)
		before := s.count(Upstreams)
		s.put(Upstreams, "a", "draining")
		s.put(Upstreams, "b", "")
		time.Sleep(700 * time.Millisecond)
		check.True(second.View().Upstreams["a"].Draining)
		check.Equal(len(second.View().Upstreams), 1)
		time.Sleep(10 * time.Second)
		check.True(s.count(Upstreams)-before < 20) // one instance's, not two
	})
}

// TestRelayLost guards against an instance that keeps a leaving upstream in use
// for longer than the platform's two seconds, because the one that it reads from
// is cut off from it or from the store.
func TestRelayLost(t *testing.T) {
	relayed(t, func(check *is.I, s *fakeStore, link *fromHere, _ *losable, second *Follower) {
		link.cut.Store(true)
		s.put(Upstreams, "a", "draining")
		time.Sleep(1800 * time.Millisecond)
		check.True(second.View().Upstreams["a"].Draining)
	})
	relayed(t, func(check *is.I, s *fakeStore, _ *fromHere, lost *losable, second *Follower) {
		// The first instance alone loses the store.
		lost.gone.Store(true)
		s.put(Upstreams, "a", "draining")
		time.Sleep(1800 * time.Millisecond)
		check.True(second.View().Upstreams["a"].Draining)
	})
}

// losable is a store that one instance can lose: it does not answer in time.
type losable struct {
	Source
	gone atomic.Bool
}

func (l *losable) List(ctx context.Context, t Name) (Page, error) {
	if l.gone.Load() {
		sleep(ctx, time.Second)
		return Page{}, context.DeadlineExceeded
	}
	return l.Source.List(ctx, t)
}

func (l *losable) Read(ctx context.Context, t Name, from int64, wait time.Duration) (Page, error) {
	if l.gone.Load() {
		sleep(ctx, time.Second)
		return Page{}, context.DeadlineExceeded
	}
	return l.Source.Read(ctx, t, from, wait)
}

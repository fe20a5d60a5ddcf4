package topic

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// fakeStore is a store with faults.
type fakeStore struct {
	mu     sync.Mutex
	topics map[Name][]Item
	// first is the oldest record still kept.
	first map[Name]int64
	down  bool
	// silent swallows calls, which are never answered.
	silent bool
	// reads counts reads by topic.
	reads map[Name]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{topics: make(map[Name][]Item), first: make(map[Name]int64), reads: make(map[Name]int)}
}

func (s *fakeStore) put(t Name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[t] = append(s.topics[t], Item{Key: key, Value: []byte(value), Offset: int64(len(s.topics[t]))})
}

func (s *fakeStore) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// swallowed waits as a call does that began at a time and is never answered.
func (s *fakeStore) swallowed(ctx context.Context, began time.Time, wait time.Duration) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		const timeout = 700 * time.Millisecond
		sleep(ctx, time.Until(began.Add(wait+timeout)))
	}
	return silent
}

func (s *fakeStore) count(t Name) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[t]
}

// compact drops all records but the newest of each key.
func (s *fakeStore) compact(t Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[t] = int64(len(s.topics[t]))
}

func (s *fakeStore) List(ctx context.Context, t Name) (Page, error) {
	if s.swallowed(ctx, time.Now(), 0) {
		return Page{}, errors.New("no answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Page{}, errors.New("down")
	}
	newest := make(map[string]Item)
	for _, it := range s.topics[t] {
		newest[it.Key] = it
	}
	p := Page{Next: int64(len(s.topics[t]))}
	for _, it := range newest {
		if len(it.Value) > 0 {
			p.Items = append(p.Items, it)
		}
	}
	return p, nil
}

func (s *fakeStore) Read(ctx context.Context, t Name, from int64, wait time.Duration) (Page, error) {
	s.mu.Lock()
	s.reads[t]++
	s.mu.Unlock()
	began := time.Now()
	for end := began.Add(wait); ; {
		if s.swallowed(ctx, began, wait) {
			return Page{}, errors.New("no answer")
		}
		s.mu.Lock()
		down, expired := s.down, from < s.first[t]
		items := append([]Item(nil), s.topics[t][min(from, int64(len(s.topics[t]))):]...)
		s.mu.Unlock()
		switch {
		case down:
			return Page{}, errors.New("down")
		case expired:
			return Page{}, ErrExpired
		case len(items) > 0 || !time.Now().Before(end):
			return Page{Items: items, Next: from + int64(len(items))}, nil
		}
		sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return Page{}, ctx.Err()
		}
	}
}

// plainDecoder reads values as text.
type plainDecoder struct{}

func (plainDecoder) Operator(it Item) (*fleet.Config, string, error) {
	if dc, ok := strings.CutPrefix(it.Key, "out/"); ok {
		return nil, dc, nil
	}
	v, err := strconv.ParseInt(string(it.Value), 10, 64)
	if err != nil {
		return nil, "", err
	}
	return &fleet.Config{Version: v}, "", nil
}

func (plainDecoder) Upstream(it Item) (*fleet.Upstream, error) {
	if string(it.Value) == "bad" {
		return nil, errors.New("bad entry")
	}
	return &fleet.Upstream{ID: it.Key, Draining: string(it.Value) == "draining"}, nil
}

func (plainDecoder) Member(it Item) (fleet.Member, error) {
	return fleet.Member{Name: it.Key, Role: fleet.RoleEntry}, nil
}

// play runs a follower against a calm store with version 1 and upstreams a, b.
func play(t *testing.T, fallback Source, f func(*is.I, *fakeStore, *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Operators, "config", "1")
		store.put(Upstreams, "a", "x")
		store.put(Upstreams, "b", "x")
		fo := NewFollower(Options{Source: store, Fallback: fallback, Decoder: plainDecoder{}, Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { fo.Run(ctx, Operators, Upstreams, Members); close(done) }()
		time.Sleep(50 * time.Millisecond)
		f(is.New(t), store, fo)
		cancel()
		<-done
	})
}

// TestFollow guards against a change that is not in force within the platform's
// bound of two seconds, on a calm store (H15, H13, H9).
func TestFollow(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		check.Equal(f.View().Config.Version, int64(1))
		check.Equal(len(f.View().Upstreams), 2)
		s.put(Operators, "config", "3")
		s.put(Operators, "out/z", "x")
		time.Sleep(100 * time.Millisecond)
		check.Equal(f.View().Config.Version, int64(3))
		check.True(f.View().Evacuated["z"])
		s.put(Operators, "out/z", "")
		s.put(Upstreams, "a", "draining")
		s.put(Upstreams, "b", "")
		time.Sleep(time.Second)
		check.True(!f.View().Evacuated["z"])
		check.True(f.View().Upstreams["a"].Draining)
		check.Equal(len(f.View().Upstreams), 1)
	})
}

// TestNoRollback guards against an older version that takes effect after a
// newer one (H15).
func TestNoRollback(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		s.put(Operators, "config", "5")
		time.Sleep(100 * time.Millisecond)
		s.put(Operators, "config", "4")
		time.Sleep(100 * time.Millisecond)
		check.Equal(f.View().Config.Version, int64(5))
	})
}

// TestBadRecord guards against a record of another writer that hides others or
// replaces what is known.
func TestBadRecord(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		s.put(Operators, "config", "not a number")
		s.put(Upstreams, "c", "bad")
		s.put(Upstreams, "d", "x")
		time.Sleep(time.Second)
		check.Equal(f.View().Config.Version, int64(1))
		_, ok := f.View().Upstreams["c"]
		check.True(!ok)
		check.Equal(len(f.View().Upstreams), 3)
	})
}

// TestExpired guards against a change that is lost because its record expired
// before it was read (F17).
func TestExpired(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		s.set(true)
		time.Sleep(100 * time.Millisecond)
		s.put(Operators, "config", "2")
		s.put(Upstreams, "b", "")
		s.compact(Operators)
		s.compact(Upstreams)
		s.set(false)
		time.Sleep(time.Second)
		check.Equal(f.View().Config.Version, int64(2))
		check.Equal(len(f.View().Upstreams), 1)
	})
}

// TestOutage guards against a view that is lost with the store, and against
// changes that are not in force after its return (F6).
func TestOutage(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		s.set(true)
		s.put(Operators, "config", "2")
		time.Sleep(20 * time.Second)
		check.Equal(f.View().Config.Version, int64(1))
		check.Equal(len(f.View().Upstreams), 2)
		s.set(false)
		time.Sleep(time.Second)
		check.Equal(f.View().Config.Version, int64(2))
	})
}

// TestSilence guards against a change that is not in force three seconds, the
// platform's time for contact, after a store that was silent answers again,
// however long it was silent.
func TestSilence(t *testing.T) {
	const contact = 3 * time.Second
	for span := 200 * time.Millisecond; span < 8*time.Second; span += 100 * time.Millisecond {
		play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
			s.setSilent(true)
			time.Sleep(span)
			s.setSilent(false)
			s.put(Operators, "config", "2")
			time.Sleep(contact)
			check.Equal(f.View().Config.Version, int64(2))
		})
	}
}

// TestLapsed guards against upstreams that are dropped because their entries
// lapsed with the store, and against one that is kept although it is gone.
func TestLapsed(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		s.set(true)
		time.Sleep(5 * time.Second)
		s.put(Upstreams, "a", "")
		s.put(Upstreams, "b", "")
		s.set(false)
		time.Sleep(time.Second)
		check.Equal(len(f.View().Upstreams), 2)
		s.put(Upstreams, "a", "x")
		time.Sleep(time.Second)
		_, ok := f.View().Upstreams["a"]
		check.True(ok)
		_, ok = f.View().Upstreams["b"]
		check.True(!ok)
	})
}

// TestRemovedAtOnce guards against the grace after an outage being given on a
// calm store.
func TestRemovedAtOnce(t *testing.T) {
	play(t, nil, func(check *is.I, s *fakeStore, f *Follower) {
		time.Sleep(5 * time.Second)
		s.put(Upstreams, "b", "")
		time.Sleep(upstreamPace.Pause + 10*time.Millisecond)
		check.Equal(len(f.View().Upstreams), 1)
	})
}

// TestFallback guards against an instance that alone has lost the store and
// goes on with old keys or leaving upstreams, and against older records of
// another instance that replace newer ones.
func TestFallback(t *testing.T) {
	others := newFakeStore()
	others.put(Operators, "config", "1")
	others.put(Operators, "config", "7")
	others.put(Upstreams, "a", "x")
	play(t, others, func(check *is.I, s *fakeStore, f *Follower) {
		s.set(true)
		time.Sleep(2 * time.Second)
		check.Equal(f.View().Config.Version, int64(7))
		// The others' list of upstreams is older than the own.
		check.Equal(len(f.View().Upstreams), 2)
	})
}

// TestIncompleteStart guards against a view in which the members are missing
// only because they have not been read, which would make every share too large.
func TestIncompleteStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		store := newFakeStore()
		store.put(Operators, "config", "1")
		f := NewFollower(Options{Source: store, Decoder: plainDecoder{}, Logger: zap.NewNop()})
		f.topics = []Name{Operators, Members}
		check.NoErr(f.step(t.Context(), Operators, operatorPace.Wait))
		check.True(f.View() == nil)
		check.NoErr(f.step(t.Context(), Members, memberPace.Wait))
		check.True(f.View() != nil)
	})
}

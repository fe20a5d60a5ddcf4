package topicwatch

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	mu     sync.Mutex
	topics map[Name][]Item
	// first is the offset of the oldest record still kept.
	first map[Name]int64
	down  bool
	// hanging makes calls time out without an answer.
	hanging bool
	reads   map[Name]int
	// era counts the restores from a copy, starting at 1.
	era int64
	// notWaking makes reads that wait get new records only at the end of their wait.
	notWaking bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{topics: make(map[Name][]Item), first: make(map[Name]int64), reads: make(map[Name]int), era: 1}
}

func (s *fakeStore) put(t Name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[t] = append(s.topics[t], Item{Key: key, Value: []byte(value), Offset: int64(len(s.topics[t]))})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) setHanging(hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = hanging
}

// waitIfHanging reports whether the store hangs. If so, it returns only when a call
// that began at began and waits for wait has timed out.
func (s *fakeStore) waitIfHanging(ctx context.Context, began time.Time, wait time.Duration) bool {
	s.mu.Lock()
	hanging := s.hanging
	s.mu.Unlock()
	if hanging {
		const timeout = 700 * time.Millisecond
		sleep(ctx, time.Until(began.Add(wait+timeout)))
	}
	return hanging
}

func (s *fakeStore) setNotWaking(notWaking bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notWaking = notWaking
}

func (s *fakeStore) readCount(t Name) int {
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
	if s.waitIfHanging(ctx, time.Now(), 0) {
		return Page{}, errors.New("no answer")
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return Page{}, errors.New("down")
	}
	return s.list(t), nil
}

func (s *fakeStore) list(t Name) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]Item)
	for _, it := range s.topics[t] {
		newest[it.Key] = it
	}
	p := Page{Next: int64(len(s.topics[t])), Era: s.era}
	for _, it := range newest {
		if len(it.Value) > 0 {
			it.Era = s.era // as another instance sends it
			p.Items = append(p.Items, it)
		}
	}
	return p
}

func (s *fakeStore) Read(ctx context.Context, t Name, position Position, wait time.Duration) (Page, error) {
	from := position.Offset
	s.mu.Lock()
	s.reads[t]++
	s.mu.Unlock()
	began := time.Now()
	for end := began.Add(wait); ; {
		if s.waitIfHanging(ctx, began, wait) {
			return Page{}, errors.New("no answer")
		}
		s.mu.Lock()
		down, expired, era, notWaking := s.down, from < s.first[t] || from > int64(len(s.topics[t])), s.era, s.notWaking
		items := append([]Item(nil), s.topics[t][min(from, int64(len(s.topics[t]))):]...)
		s.mu.Unlock()
		switch {
		case down:
			return Page{}, errors.New("down")
		case expired:
			sleep(ctx, time.Millisecond) // the round trip
			return Page{}, ErrExpired
		case len(items) > 0 && !notWaking || !time.Now().Before(end):
			return Page{Items: items, Next: from + int64(len(items)), Era: era}, nil
		}
		sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return Page{}, ctx.Err()
		}
	}
}

// textDecoder decodes values that are plain text.
type textDecoder struct{}

func (textDecoder) Operator(it Item) (*fleet.Config, string, error) {
	if dc, ok := strings.CutPrefix(it.Key, "out/"); ok {
		return nil, dc, nil
	}
	v, err := strconv.ParseInt(string(it.Value), 10, 64)
	if err != nil {
		return nil, "", err
	}
	return &fleet.Config{Version: v}, "", nil
}

func (textDecoder) Upstream(it Item) (*fleet.Upstream, error) {
	if string(it.Value) == "bad" {
		return nil, errors.New("bad entry")
	}
	return &fleet.Upstream{ID: it.Key, Draining: string(it.Value) == "draining"}, nil
}

func (textDecoder) Member(it Item) (fleet.Member, error) {
	return fleet.Member{Name: it.Key, Role: fleet.RoleEntry}, nil
}

package policy

import (
	"slices"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/routing"
)

// server simulates one upstream with its limit on requests in flight and its prefix
// cache.
type server struct {
	id       string
	mu       sync.Mutex
	inFlight int
	peak     int
	// cached holds the cached prefixes, least recently used first.
	cached []uint64
	seq    uint64
}

const (
	// serverMaxInFlight is the limit on requests in flight of one upstream.
	serverMaxInFlight = 64
	// serverCacheSize is the number of prefixes that an upstream caches.
	serverCacheSize = 16
)

// begin starts a request unless the limit is reached. It reports whether it started
// and whether its prefix was cached, and returns the cache events that it caused.
func (s *server) begin(prefix uint64) (ok, hit bool, events []routing.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= serverMaxInFlight {
		return false, false, nil
	}
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	if i := slices.Index(s.cached, prefix); i >= 0 {
		s.cached = append(slices.Delete(s.cached, i, i+1), prefix)
		return true, true, nil
	}
	s.cached = append(s.cached, prefix)
	events = append(events, s.event(prefix, false))
	if len(s.cached) > serverCacheSize {
		events = append(events, s.event(s.cached[0], true))
		s.cached = slices.Delete(s.cached, 0, 1)
	}
	return true, false, events
}

func (s *server) event(prefix uint64, evicted bool) routing.CacheEvent {
	s.seq++
	return routing.CacheEvent{Upstream: s.id, Seq: s.seq, Prefix: prefix, Evicted: evicted}
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

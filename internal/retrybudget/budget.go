// Package retrybudget bounds the arrivals at a service beyond the first of each
// request, over all instances together, so that failures do not multiply the
// load that causes them.
package retrybudget

import (
	"sync"
	"time"
)

// Bounds are the platform's, over all instances.
type Bounds struct {
	// Ratio of the requests for a service may be repeated in a window.
	Ratio float64
	// Slack repeats are allowed besides.
	Slack  float64
	Window time.Duration
}

// use is the part of the bound that is spent; the rest covers instances that
// are not known yet.
const use = 0.8

// Budget counts this instance's requests and repeats by service. It is safe
// for concurrent use.
type Budget struct {
	bounds Bounds

	mu       sync.Mutex
	entries  int
	services map[string]*window
}

// New returns an empty budget of one instance.
func New(b Bounds) *Budget {
	return &Budget{bounds: b, entries: 1, services: make(map[string]*window)}
}

// SetEntryCount sets the number of entry instances that share the slack.
func (b *Budget) SetEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, n)
}

// CountRequest counts a caller's request for a service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	w := b.of(service)
	w.requests.trim(now, b.bounds.Window)
	w.requests.add(now)
}

// AllowRetry counts a further arrival and reports whether it is allowed.
func (b *Budget) AllowRetry(service string) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service)
	w.requests.trim(now, b.bounds.Window)
	w.repeats.trim(now, b.bounds.Window)
	allowed := use * (b.bounds.Ratio*float64(len(w.requests)) + b.bounds.Slack/float64(b.entries))
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats.add(now)
	return true
}

func (b *Budget) of(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	return w
}

// Package retrybudget limits the retries per service over all instances together,
// so that failures do not amplify the load that causes them. Every time a request
// is sent to the service again counts as a retry.
package retrybudget

import (
	"sync"
	"time"
)

// Bounds are the limits on retries set by the platform. They hold for all
// instances together.
type Bounds struct {
	// Ratio is the number of retries allowed per request for a service, within a
	// window.
	Ratio float64
	// Slack is the number of retries per window that are allowed beyond Ratio.
	Slack  float64
	Window time.Duration
}

// usableFraction is the part of the bounds that the known instances may use. The
// rest is a reserve for instances that are not known yet.
const usableFraction = 0.8

// Budget counts the requests and retries of this instance by service. It is safe
// for concurrent use.
type Budget struct {
	bounds Bounds

	mu         sync.Mutex
	entryCount int
	services   map[string]*window
}

// New returns a budget without requests, for a single entry instance.
func New(b Bounds) *Budget {
	return &Budget{bounds: b, entryCount: 1, services: make(map[string]*window)}
}

// SetEntryCount sets the number of entry instances that share the slack.
func (b *Budget) SetEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryCount = max(1, n)
}

// CountRequest counts a client's request for a service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	win := b.window(service)
	win.requests.removeOlder(now, b.bounds.Window)
	win.requests.add(now)
}

// AllowRetry reports whether a request for the service may be sent again. If so,
// it counts the retry.
func (b *Budget) AllowRetry(service string) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	win := b.window(service)
	win.requests.removeOlder(now, b.bounds.Window)
	win.retries.removeOlder(now, b.bounds.Window)
	allowed := usableFraction * (b.bounds.Ratio*float64(len(win.requests)) + b.bounds.Slack/float64(b.entryCount))
	if float64(len(win.retries)+1) > allowed {
		return false
	}
	win.retries.add(now)
	return true
}

func (b *Budget) window(service string) *window {
	win, ok := b.services[service]
	if !ok {
		win = &window{}
		b.services[service] = win
	}
	return win
}

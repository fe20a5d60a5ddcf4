package policy

import (
	"slices"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/routing"
)

// leastReported is the baseline policy: it chooses the home with the lowest
// reported load.
type leastReported struct {
	mu      sync.Mutex
	reports map[string]int
}

// Choose implements entryRouter.
func (l *leastReported) Choose(q routing.Query) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := ""
	for _, id := range q.Homes {
		if slices.Contains(q.Tried, id) {
			continue
		}
		if best == "" || l.reports[id] < l.reports[best] {
			best = id
		}
	}
	return best, nil
}

// Done implements entryRouter.
func (l *leastReported) Done(string, routing.Result) {}

// Report implements entryRouter.
func (l *leastReported) Report(r routing.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[r.Upstream] = r.InFlight
}

// Cache implements entryRouter.
func (l *leastReported) Cache(routing.CacheEvent) {}

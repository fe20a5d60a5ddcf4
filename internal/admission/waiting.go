package admission

import (
	"cmp"
	"time"
)

// Waiting is a request that waits in this instance for tokens that are promised to it.
type Waiting struct {
	Urgency int
	// ObjectiveEnd is when its objective ends.
	ObjectiveEnd time.Time
	Tokens       float64
	// Bytes is the memory that it holds.
	Bytes int64
	// Evicted is closed if a request that comes before it needs its place.
	Evicted chan struct{}
}

// compareWaiting orders requests: the more urgent first, then by the time left of the objective,
// then by size.
func compareWaiting(a, b *Waiting) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.ObjectiveEnd.Compare(b.ObjectiveEnd), cmp.Compare(a.Tokens, b.Tokens))
}

package audit

import (
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// DefaultTrailEntries bounds a Trail. At 4,100 changes a day it is 6 hours,
// far longer than an operator's form stays open.
const DefaultTrailEntries = 1024

// Trail holds the newest entries in memory. It is safe for concurrent use.
type Trail struct {
	mu sync.Mutex
	// after is the offset after which the trail has every entry.
	after   platform.Offset
	limit   int
	entries []Entry
}

// NewTrail returns a trail that will observe every record after the offset
// and keeps up to limit entries.
func NewTrail(after platform.Offset, limit int) *Trail {
	return &Trail{after: after, limit: max(1, limit)}
}

// Observe adds the entry of a control record. Call it for every record in
// offset order with the verdict of the fold; repeated offsets are ignored.
func (t *Trail) Observe(offset platform.Offset, e record.Envelope, verdict fold.ApplyResult) {
	entry, ok := FromRecord(offset, e, verdict)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset <= t.newest() {
		return
	}
	t.entries = append(t.entries, entry)
	if excess := len(t.entries) - t.limit; excess > 0 {
		t.after = t.entries[excess-1].Offset
		t.entries = append([]Entry(nil), t.entries[excess:]...)
	}
}

// Restart forgets every entry. Call it when the view was replaced by a
// snapshot at the offset, so that records in between were never observed.
func (t *Trail) Restart(after platform.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.after = after
	t.entries = nil
}

func (t *Trail) newest() platform.Offset {
	if len(t.entries) == 0 {
		return t.after
	}
	return t.entries[len(t.entries)-1].Offset
}

// Since returns the entries after the offset, oldest first, and whether they
// are complete.
func (t *Trail) Since(offset platform.Offset) ([]Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, e := range t.entries {
		if e.Offset > offset {
			out = append(out, e)
		}
	}
	return out, offset >= t.after
}

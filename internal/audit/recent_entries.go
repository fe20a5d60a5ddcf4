package audit

import (
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// DefaultRecentEntries is the usual limit of RecentEntries. At 4,100 changes a
// day it covers 6 hours, far longer than an operator keeps a form open.
const DefaultRecentEntries = 1024

// RecentEntries holds the newest entries in memory. It is safe for concurrent use.
type RecentEntries struct {
	mu sync.Mutex
	// after is the offset after which no entry is missing.
	after   backing.Offset
	limit   int
	entries []Entry
}

// NewRecentEntries returns an empty RecentEntries that keeps up to limit entries.
// The caller must pass every record after the given offset to Observe.
func NewRecentEntries(after backing.Offset, limit int) *RecentEntries {
	return &RecentEntries{after: after, limit: max(1, limit)}
}

// Observe adds the entry for a control record, if it is a configuration change.
// Call it for every record in offset order. It ignores offsets that it has already
// seen.
func (r *RecentEntries) Observe(offset backing.Offset, e record.Envelope, verdict controlstate.ApplyResult) {
	entry, ok := FromRecord(offset, e, verdict)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset <= r.newest() {
		return
	}
	r.entries = append(r.entries, entry)
	if excess := len(r.entries) - r.limit; excess > 0 {
		r.after = r.entries[excess-1].Offset
		r.entries = append([]Entry(nil), r.entries[excess:]...)
	}
}

// Reset discards all entries. Call it when records up to the given offset were
// skipped, for example because the view was replaced by a snapshot.
func (r *RecentEntries) Reset(after backing.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.after = after
	r.entries = nil
}

func (r *RecentEntries) newest() backing.Offset {
	if len(r.entries) == 0 {
		return r.after
	}
	return r.entries[len(r.entries)-1].Offset
}

// Since returns the entries after the offset, oldest first, and whether none is
// missing.
func (r *RecentEntries) Since(offset backing.Offset) ([]Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Entry
	for _, e := range r.entries {
		if e.Offset > offset {
			out = append(out, e)
		}
	}
	return out, offset >= r.after
}

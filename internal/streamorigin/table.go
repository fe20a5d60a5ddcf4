package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEntries bounds each of the two generations of a table. An entry takes about 100 bytes.
const maxEntries = 1 << 15

// key identifies a stream. A hash has the same size for ids of any length.
type key uint64

func keyOf(id string) key { return key(xxhash.Sum64String(id)) }

// table holds entries for at least the retention time, unless there are more than maxEntries in
// that time.
type table struct {
	current, previous map[key]*entry
	rotatedAt         time.Time
}

func newTable() *table { return &table{current: make(map[key]*entry)} }

func (t *table) get(k key) *entry {
	if e, ok := t.current[k]; ok {
		return e
	}
	return t.previous[k]
}

// put adds an entry. A stream that two upstreams of different versions are said to have begun is
// ambiguous.
func (t *table) put(k key, e entry, now time.Time, retention time.Duration) {
	if len(t.current) >= maxEntries || now.Sub(t.rotatedAt) >= retention {
		t.current, t.previous, t.rotatedAt = make(map[key]*entry), t.current, now
	}
	if old := t.get(k); old != nil {
		e.at = old.at
		e.ambiguous = e.ambiguous || old.ambiguous || old.origin != e.origin
		if e.upstream == "" {
			e.upstream = old.upstream
		}
	}
	t.current[k] = &e
}

// each calls f for all entries.
func (t *table) each(f func(k key, e *entry)) {
	for k, e := range t.previous {
		if _, replaced := t.current[k]; !replaced {
			f(k, e)
		}
	}
	for k, e := range t.current {
		f(k, e)
	}
}

package routing

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxEntriesPerPrefix limits the number of upstreams kept per prefix.
const maxEntriesPerPrefix = 4

// prefixCache is an LRU cache from prompt prefixes to the upstreams that probably
// cache them.
type prefixCache struct {
	entries *lru.Cache[uint64, []prefixEntry]
	ttl     time.Duration
}

// prefixEntry records that an upstream probably caches a prefix.
type prefixEntry struct {
	upstream string
	// generation is the upstream's generation when the entry was made. The entry
	// is valid only while the upstream has the same generation.
	generation uint64
	// expires is when an entry without a confirming cache event becomes invalid.
	// It is zero for confirmed entries.
	expires time.Time
}

func newPrefixCache(size int, ttl time.Duration) *prefixCache {
	entries, err := lru.New[uint64, []prefixEntry](size)
	if err != nil {
		panic(err) // the size is below 1, which the defaults rule out
	}
	return &prefixCache{entries: entries, ttl: ttl}
}

// put records that u caches the prefix. A zero expires means that a cache event
// confirmed it. An unconfirmed entry does not replace a confirmed one.
func (c *prefixCache) put(prefix uint64, u *upstream, expires time.Time) {
	known, _ := c.entries.Get(prefix)
	if expires.IsZero() || !slices.ContainsFunc(known, func(e prefixEntry) bool { return e.matches(u) && e.expires.IsZero() }) {
		next := []prefixEntry{{u.id, u.generation, expires}}
		for _, e := range known {
			if e.upstream != u.id && len(next) < maxEntriesPerPrefix {
				next = append(next, e)
			}
		}
		c.entries.Add(prefix, next)
	}
}

// matches reports whether the entry belongs to u and its current generation.
func (e prefixEntry) matches(u *upstream) bool {
	return e.upstream == u.id && e.generation == u.generation
}

// remove records that u evicted the prefix.
func (c *prefixCache) remove(prefix uint64, u *upstream) {
	known, ok := c.entries.Get(prefix)
	if !ok {
		return
	}
	c.entries.Add(prefix, slices.DeleteFunc(slices.Clone(known), func(e prefixEntry) bool { return e.upstream == u.id }))
}

// get returns the entries of the prefix, newest first.
func (c *prefixCache) get(prefix uint64) []prefixEntry {
	entries, _ := c.entries.Get(prefix)
	return entries
}

package routing

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxHolders is the maximum number of holders kept per prefix.
const maxHolders = 4

// prefixCache is an LRU cache from prompt prefixes to the upstreams that probably
// cache them.
type prefixCache struct {
	holders *lru.Cache[uint64, []holder]
	ttl     time.Duration
}

// holder is an upstream that probably caches a prefix.
type holder struct {
	upstream string
	// generation is that of the upstream when the entry was made. The entry is
	// valid only while the upstream has the same generation.
	generation uint64
	// expires is when an entry without a confirming cache event becomes invalid.
	// It is zero for confirmed entries.
	expires time.Time
}

func newPrefixCache(size int, ttl time.Duration) *prefixCache {
	holders, err := lru.New[uint64, []holder](size)
	if err != nil {
		panic(err) // the size is below 1, which the defaults rule out
	}
	return &prefixCache{holders: holders, ttl: ttl}
}

// put records that u caches the prefix. A zero expires means that a cache event
// confirmed it. An unconfirmed entry does not replace a confirmed one.
func (c *prefixCache) put(prefix uint64, u *upstream, expires time.Time) {
	known, _ := c.holders.Get(prefix)
	if expires.IsZero() || !slices.ContainsFunc(known, func(h holder) bool { return h.matches(u) && h.expires.IsZero() }) {
		next := []holder{{u.id, u.generation, expires}}
		for _, h := range known {
			if h.upstream != u.id && len(next) < maxHolders {
				next = append(next, h)
			}
		}
		c.holders.Add(prefix, next)
	}
}

// matches reports whether the entry belongs to u and its current generation.
func (h holder) matches(u *upstream) bool { return h.upstream == u.id && h.generation == u.generation }

// remove records that u evicted the prefix.
func (c *prefixCache) remove(prefix uint64, u *upstream) {
	known, ok := c.holders.Get(prefix)
	if !ok {
		return
	}
	c.holders.Add(prefix, slices.DeleteFunc(slices.Clone(known), func(h holder) bool { return h.upstream == u.id }))
}

// get returns the holders of the prefix.
func (c *prefixCache) get(prefix uint64) []holder {
	holders, _ := c.holders.Get(prefix)
	return holders
}

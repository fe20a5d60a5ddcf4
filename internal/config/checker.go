package config

import (
	"cmp"
	"math"
	"regexp"
	"slices"
)

// Upper bounds that catch typing errors. They are far above the target scale of
// the fleet.
const (
	maxTokens       = 1e12
	maxReplicas     = 100_000
	maxMemoryMiB    = 1 << 30
	maxInFlight     = 1_000_000
	maxNoteBytes    = 200
	maxWeight       = 1_000_000
	maxVersionBytes = 128
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker validates one document and collects its problems.
type checker struct {
	doc      Document
	problems Problems
}

func (c *checker) add(rule Rule, loc location, value any, format string, args ...any) {
	c.problems.add(rule, loc.path(), value, format, args...)
}

func (c *checker) checkIDs() {
	for _, s := range sections {
		for _, id := range s.ids(c.doc) {
			if !idPattern.MatchString(id) {
				c.add(RuleFormat, locationOf(s.name(), id), id, "an id must match %s", idPattern)
			}
		}
	}
}

// checkRange adds a problem unless low <= value <= high. It rejects NaN.
func checkRange[N cmp.Ordered](c *checker, loc location, value, low, high N) {
	if !(value >= low && value <= high) {
		c.add(RuleRange, loc, value, "must be from %v to %v", low, high)
	}
}

func (c *checker) checkPositive(loc location, value, high float64) {
	if !(value > 0 && value <= high) {
		c.add(RuleRange, loc, value, "must be more than 0 and at most %v", high)
	}
}

func (c *checker) checkVersion(loc location, version string) {
	if len(version) > maxVersionBytes {
		c.add(RuleRange, loc, version, "must have at most %d bytes", maxVersionBytes)
	}
}

func (c *checker) checkTeamIDs(loc location, ids []string) {
	for i, id := range ids {
		if _, ok := c.doc.Teams[id]; !ok {
			c.add(RuleReference, loc.Index(i), id, "there is no such team")
		}
		if slices.Contains(ids[:i], id) {
			c.add(RuleRepeated, loc.Index(i), id, "repeated team")
		}
	}
}

// checkPoolRef returns the pool with the given id. It adds a problem and returns
// false if there is no such pool or if the pool is of another kind.
func (c *checker) checkPoolRef(loc location, id string, kind PoolKind) (Pool, bool) {
	pool, ok := c.doc.Pools[id]
	if !ok {
		c.add(RuleReference, loc, id, "there is no such pool")
		return pool, false
	}
	if pool.Kind != kind {
		c.add(RuleReference, loc, id, "must name a pool of kind %q, but this one is %q", kind, pool.Kind)
		return pool, false
	}
	return pool, true
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

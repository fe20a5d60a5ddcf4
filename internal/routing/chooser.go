package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Chooser chooses upstreams for one entry instance. It is safe for concurrent
// use.
type Chooser struct {
	opts Options

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[string]*upstream
	prefixes  *prefixCache
}

// New returns a chooser that takes its random numbers from rng. The caller must
// not use rng any more.
func New(opts Options, rng *rand.Rand) *Chooser {
	opts = opts.withDefaults()
	return &Chooser{
		opts:      opts,
		rng:       rng,
		upstreams: make(map[string]*upstream),
		prefixes:  newPrefixCache(opts.MaxPrefixes, opts.PrefixTTL),
	}
}

// Choose picks a home for an attempt and counts the attempt as in flight there
// until Done is called. It returns an *errkind.Error of kind upstream_unavailable
// if the query has no homes, and of kind upstream_busy if all homes are excluded
// or have been tried already.
func (c *Chooser) Choose(q Query) (string, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q.Homes) == 0 {
		return "", errkind.New(errkind.UpstreamUnavailable, "no upstream is assigned to the model")
	}
	best := c.pickOfTwo(&q, now)
	if best == nil {
		return "", c.busyError(&q, now)
	}
	if preferred := c.homeWithPrefix(&q, now, best); preferred != nil {
		best = preferred
	}
	best.ownInFlight++
	c.expectPrefixes(&q, best, now)
	return best.id, nil
}

// pickOfTwo returns the less loaded of two random eligible homes (power of two
// choices), or nil if no home is eligible.
func (c *Chooser) pickOfTwo(q *Query, now time.Time) *upstream {
	first := c.randomHome(q, now, nil)
	if first == nil {
		return nil
	}
	second := c.randomHome(q, now, first)
	if second != nil && second.load() < first.load() {
		return second
	}
	return first
}

// randomTries is the number of random tries before the homes are scanned in order.
const randomTries = 4

// randomHome returns a random eligible home other than except, or nil.
func (c *Chooser) randomHome(q *Query, now time.Time, except *upstream) *upstream {
	n := len(q.Homes)
	for range randomTries {
		u := c.upstream(q.Homes[c.rng.IntN(n)])
		if u != except && c.eligible(q, u, now) {
			return u
		}
	}
	start := c.rng.IntN(n)
	for i := range n {
		u := c.upstream(q.Homes[(start+i)%n])
		if u != except && c.eligible(q, u, now) {
			return u
		}
	}
	return nil
}

func (c *Chooser) eligible(q *Query, u *upstream, now time.Time) bool {
	return !u.excluded(now) && !slices.Contains(q.Tried, u.id)
}

// homeWithPrefix returns the eligible home that caches the longest prefix of the
// prompt, among those within the load bound. It returns nil if there is none.
func (c *Chooser) homeWithPrefix(q *Query, now time.Time, best *upstream) *upstream {
	for _, prefix := range q.Prefixes {
		for _, e := range c.prefixes.get(prefix) {
			u, ok := c.upstreams[e.upstream]
			if !ok || !e.matches(u) || !e.expires.IsZero() && now.After(e.expires) {
				continue
			}
			if c.eligible(q, u, now) && c.withinLoadBound(u, best) && slices.Contains(q.Homes, u.id) {
				return u
			}
		}
	}
	return nil
}

// withinLoadBound reports whether u has room for one more request and its load
// does not exceed that of best by more than Options.AffinityFactor and
// Options.AffinitySlack allow.
func (c *Chooser) withinLoadBound(u, best *upstream) bool {
	return u.load() <= 1 && u.load() <= c.opts.AffinityFactor*best.load()+c.opts.AffinitySlack
}

// expectPrefixes records that u is about to cache the prefixes of the request.
// Cache events arrive too late to keep a burst of requests with the same prefix
// together.
func (c *Chooser) expectPrefixes(q *Query, u *upstream, now time.Time) {
	for _, prefix := range q.Prefixes {
		c.prefixes.put(prefix, u, now.Add(c.opts.PrefixTTL))
	}
}

// busyError returns an upstream_busy error. Its RetryAfter is the time until the
// first excluded home can be chosen again.
func (c *Chooser) busyError(q *Query, now time.Time) error {
	wait := c.opts.MaxExclusion
	for _, id := range q.Homes {
		if u := c.upstream(id); !slices.Contains(q.Tried, id) {
			wait = min(wait, u.excludedUntil.Sub(now))
		}
	}
	wait = max(wait, c.opts.MinExclusion)
	return errkind.New(errkind.UpstreamBusy, "all upstreams of the model refused or failed recently").WithRetryAfter(wait)
}

func (c *Chooser) upstream(id string) *upstream {
	u, ok := c.upstreams[id]
	if !ok {
		u = &upstream{id: id, limit: defaultLimit}
		u.exclusionBackoff = &backoff.ExponentialBackOff{
			InitialInterval: c.opts.MinExclusion,
			Multiplier:      2,
			MaxInterval:     c.opts.MaxExclusion,
		}
		c.upstreams[id] = u
	}
	return u
}

// Retain removes the state of upstreams that are not live, except those with
// requests in flight.
func (c *Chooser) Retain(live func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, u := range c.upstreams {
		if u.ownInFlight == 0 && !live(id) {
			delete(c.upstreams, id)
		}
	}
}
